package relay

import (
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// boot is the state of the start of a node.
type boot struct {
	ready    bool
	deadline time.Time // for replies of peers; set once the bootstrap values are read
	asked    map[member.InstanceID]bool
	pending  int // digests without a reply yet
	replies  int // replies of ready peers
}

func newBoot() boot { return boot{asked: make(map[member.InstanceID]bool)} }

// Ready reports whether the node holds what its peers knew when it started, and
// may serve. It never becomes false again.
func (s *State) Ready() bool { return s.boot.ready }

// recordReply records the reply of a peer to the digest of a starting node, or
// its failure.
func (b *boot) recordReply(id member.InstanceID, ready bool) {
	if b.ready || !b.asked[id] {
		return
	}
	b.pending = max(b.pending-1, 0)
	if ready {
		b.replies++
	}
}

// tickBoot asks peers for their revisions until enough ready ones replied, and
// updates whether the node is ready.
func (s *State) tickBoot(now time.Time, fx *Effects) {
	if s.boot.ready {
		return
	}
	if s.boot.deadline.IsZero() && s.bootstrapSettled() {
		s.boot.deadline = now.Add(bootTimeout)
	}
	for _, p := range s.unasked(bootReplies - s.boot.replies - s.boot.pending) {
		s.boot.asked[p.ID] = true
		s.boot.pending++
		s.sendDigest(p, 0, fx)
	}
	s.boot.ready = s.bootstrapSettled() && s.enoughReplies(now) && s.caughtUp(now)
}

// unasked returns up to limit random peers that have not been asked yet, those
// of the own zone first.
func (s *State) unasked(limit int) []Peer {
	if limit <= 0 {
		return nil
	}
	var ownZone, otherZones []Peer
	for _, p := range s.peers {
		switch {
		case s.boot.asked[p.ID]:
		case p.Zone == s.config.Zone:
			ownZone = append(ownZone, p)
		default:
			otherZones = append(otherZones, p)
		}
	}
	s.random.Shuffle(len(ownZone), func(i, j int) { ownZone[i], ownZone[j] = ownZone[j], ownZone[i] })
	s.random.Shuffle(len(otherZones), func(i, j int) { otherZones[i], otherZones[j] = otherZones[j], otherZones[i] })
	choice := slices.Concat(ownZone, otherZones)
	return choice[:min(limit, len(choice))]
}

// enoughReplies reports whether enough ready peers replied, no peer is left to
// ask, or the deadline has passed.
func (s *State) enoughReplies(now time.Time) bool {
	if s.boot.replies >= bootReplies {
		return true
	}
	if s.boot.pending == 0 && len(s.unasked(1)) == 0 {
		return true
	}
	return !s.boot.deadline.IsZero() && !now.Before(s.boot.deadline)
}

// bootstrapSettled reports whether each bootstrap value is held or missing at
// the platform.
func (s *State) bootstrapSettled() bool {
	for _, name := range s.config.Bootstrap {
		e := s.entries[name]
		if e.held.Revision == 0 && !e.watch.missing {
			return false
		}
	}
	return true
}

// caughtUp reports whether the node holds, or has refused, all wanted values at
// the known revisions. A value without a known revision is waited for until the
// deadline, unless a ready peer replied or the platform doesn't have the value.
func (s *State) caughtUp(now time.Time) bool {
	for _, e := range s.list {
		if !e.wanted || (e.held.Revision > 0 && e.held.Revision >= e.known) || e.refused >= max(e.known, 1) {
			continue
		}
		unknown := e.known == 0 && (e.watch.missing || s.boot.replies > 0 || !now.Before(s.boot.deadline))
		if !unknown {
			return false
		}
	}
	return true
}

// bootstrapOnly reports whether only the bootstrap values may be read from the
// platform yet, since the others may come from peers.
func (s *State) bootstrapOnly(now time.Time) bool {
	if s.boot.ready {
		return false
	}
	if !s.bootstrapSettled() {
		return true
	}
	return len(s.peers) > 0 && !s.enoughReplies(now)
}

func (s *State) isBootstrap(name string) bool { return slices.Contains(s.config.Bootstrap, name) }
