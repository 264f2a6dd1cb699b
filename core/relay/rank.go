package relay

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/toucancove/toucancove/core/member"
)

// Peer is a node of the fleet.
type Peer struct {
	ID   member.InstanceID
	Zone member.Zone
}

// urgentPrefix is the name prefix of the values that precede all others in a
// batch.
const urgentPrefix = "keys/"

// weight returns the rendezvous weight of a node for a value; the node with the
// highest weight comes first.
func weight(name string, id member.InstanceID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(name)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

// rankIn returns the rank of id, counted from 0, in the rendezvous order of the
// peers and id.
func rankIn(name string, id member.InstanceID, peers []Peer) int {
	own, rank := weight(name, id), 0
	for _, p := range peers {
		if p.ID != id && precedes(weight(name, p.ID), p.ID, own, id) {
			rank++
		}
	}
	return rank
}

func precedes(w uint64, id member.InstanceID, than uint64, thanID member.InstanceID) bool {
	if w != than {
		return w > than
	}
	return id < thanID
}

// ordered returns the peers in the rendezvous order of a value, as a new slice.
func ordered(name string, peers []Peer) []Peer {
	type weighted struct {
		Peer
		weight uint64
	}
	list := make([]weighted, len(peers))
	for i, p := range peers {
		list[i] = weighted{p, weight(name, p.ID)}
	}
	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
	})
	order := make([]Peer, len(list))
	for i, w := range list {
		order[i] = w.Peer
	}
	return order
}

// compareNames orders urgent values before others, then by name.
func compareNames(a, b string) int {
	urgentA, urgentB := strings.HasPrefix(a, urgentPrefix), strings.HasPrefix(b, urgentPrefix)
	if urgentA != urgentB {
		if urgentA {
			return -1
		}
		return 1
	}
	return cmp.Compare(a, b)
}

// versionHash returns the hash of one version. State.hash is the exclusive or
// of the hashes of all known versions.
func versionHash(name string, revision uint64) uint64 {
	if revision == 0 {
		return 0
	}
	return xxhash.Sum64String(name) * (2*revision + 1)
}
