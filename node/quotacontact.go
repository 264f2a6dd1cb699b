package node

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// contactSampleSize is the number of peers that a node probes, round robin.
const contactSampleSize = 3

// contactTracker estimates from a random sample of the listed peers whether the
// node is in contact with a majority of the instances, including itself.
type contactTracker struct {
	peers  []contactPeer
	probes int // probes so far; selects the next peer
}

type contactPeer struct {
	id member.InstanceID
	// lastContact is when the last probe that the peer replied to was sent.
	// Replies of a peer with a newer list don't count.
	lastContact time.Time
}

// updatePeers replaces the peers in the sample that are no longer listed.
func (c *contactTracker) updatePeers(self member.InstanceID, listed []member.InstanceID) {
	c.peers = slices.DeleteFunc(c.peers, func(p contactPeer) bool { return !slices.Contains(listed, p.id) })
	for _, i := range rand.Perm(len(listed)) {
		id := listed[i]
		known := slices.ContainsFunc(c.peers, func(p contactPeer) bool { return p.id == id })
		if len(c.peers) < contactSampleSize && id != self && !known {
			c.peers = append(c.peers, contactPeer{id: id})
		}
	}
}

// nextPeer returns the next peer to probe, or false if there is none.
func (c *contactTracker) nextPeer() (member.InstanceID, bool) {
	if len(c.peers) == 0 {
		return "", false
	}
	c.probes++
	return c.peers[c.probes%len(c.peers)].id, true
}

// recordReply records that a peer replied to a probe sent at the given time.
func (c *contactTracker) recordReply(id member.InstanceID, sent time.Time) {
	for i := range c.peers {
		if c.peers[i].id == id {
			c.peers[i].lastContact = sent
		}
	}
}

// lastMajorityContact returns when the node was last in contact with more than
// half of the group that the sample and the node itself form.
func (c *contactTracker) lastMajorityContact() time.Time {
	times := make([]time.Time, len(c.peers))
	for i, p := range c.peers {
		times[i] = p.lastContact
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	needed := (len(times) + 1) / 2
	return times[needed-1]
}
