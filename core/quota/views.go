package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucancove/toucancove/core/member"
)

// List is a list of instances that the platform published.
type List struct {
	Members []member.InstanceID
	// StableFor is how long the list is known to have been unchanged. A
	// restarted node need not wait for HoldOff if that is longer. The caller
	// sets it for the first list.
	StableFor time.Duration
}

// view is a list that is in force from a time until that of the next view.
type view struct {
	at      time.Duration
	members []member.InstanceID
}

// rendezvous returns the first n members in rendezvous order for the
// workspace.
func rendezvous(ws Workspace, members []member.InstanceID, n int) []member.InstanceID {
	type scored struct {
		id    member.InstanceID
		score uint64
	}
	all := make([]scored, len(members))
	for i, id := range members {
		all[i] = scored{id: id, score: xxhash.Sum64String(string(ws) + "\x00" + string(id))}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score > b.score || (a.score == b.score && a.id < b.id) {
			return -1
		}
		return 1
	})
	order := make([]member.InstanceID, 0, min(n, len(all)))
	for _, s := range all[:min(n, len(all))] {
		order = append(order, s.id)
	}
	return order
}

// share returns the part of the rate that the instance mints, or 0 if it is not
// in the order. The shares of all instances in the order sum to the rate.
func share(rate Rate, order []member.InstanceID, id member.InstanceID) Rate {
	i := slices.Index(order, id)
	if i < 0 {
		return 0
	}
	n := Rate(len(order))
	if Rate(i) < rate%n {
		return rate/n + 1
	}
	return rate / n
}

// views holds the lists that are or were in force, the oldest first.
type views struct {
	all []view
	// version is incremented with each change.
	version uint64
}

// add puts a list in force and removes the lists that were replaced before keep.
func (v *views) add(at time.Duration, members []member.InstanceID, keep time.Duration) {
	v.all = append(v.all, view{at: at, members: members})
	v.version++
	for len(v.all) > 1 && v.all[1].at <= keep {
		v.all = v.all[1:]
	}
}

// viewShare is a minter's share under one view.
type viewShare struct {
	at    time.Duration
	share Rate
}

// smallestShare returns the smallest share of the views in force at any time from
// since on. It returns 0 if the view in force at since is not known.
func smallestShare(shares []viewShare, since time.Duration) Rate {
	if len(shares) == 0 || shares[0].at > since {
		return 0
	}
	smallest := shares[len(shares)-1].share
	for i := len(shares) - 1; i >= 0; i-- {
		smallest = min(smallest, shares[i].share)
		if shares[i].at <= since {
			break
		}
	}
	return smallest
}
