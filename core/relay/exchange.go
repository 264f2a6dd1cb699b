package relay

import (
	"time"

	"github.com/toucancove/toucancove/core/member"
)

func (s *State) tickExchange(now time.Time, fx *Effects) {
	if now.Before(s.nextExchange) {
		return
	}
	s.nextExchange = now.Add(s.withJitter(exchangeInterval))
	if peer, ok := s.exchangePeer(); ok {
		s.sendDigest(peer, s.hash, fx)
	}
}

// exchangePeer returns a random peer for the next exchange, of another zone
// with probability otherZoneShare.
func (s *State) exchangePeer() (Peer, bool) {
	if len(s.peers) == 0 {
		return Peer{}, false
	}
	choice := s.zonePeers
	if len(choice) == 0 || (len(s.otherZonePeers) > 0 && s.random.Float64() < otherZoneShare) {
		choice = s.otherZonePeers
	}
	return choice[s.random.IntN(len(choice))], true
}

func (s *State) sendDigest(to Peer, hash uint64, fx *Effects) {
	message := s.Probe(to.ID)
	message.Digest.Hash = hash
	fx.Digests = append(fx.Digests, message)
}

// Probe returns a digest to send to a node that may not be in the list of
// SetPeers. Its result is reported like that of any other digest.
func (s *State) Probe(to member.InstanceID) DigestTo {
	return DigestTo{To: to, Digest: Digest{From: s.config.Self, Zone: s.config.Zone, Hash: s.hash}}
}

// HandleDigest handles the digest of a peer and returns the reply.
func (s *State) HandleDigest(now time.Time, message Digest) DigestReply {
	s.recordContact(now, message.From)
	reply := DigestReply{Ready: s.boot.ready, Same: message.Hash == s.hash && message.Hash != 0}
	if !reply.Same {
		reply.Known = s.Known()
	}
	return reply
}

// DigestAnswered handles the reply to a digest: it fetches the values that are
// newer at the peer and announces to the peer those that are newer here.
func (s *State) DigestAnswered(now time.Time, request DigestTo, reply DigestReply) Effects {
	var fx Effects
	s.recordContact(now, request.To)
	s.boot.recordReply(request.To, reply.Ready)
	if reply.Same {
		return fx
	}
	from := s.originOf(request.To)
	peerRevisions := make(map[string]uint64, len(reply.Known))
	for _, v := range reply.Known {
		peerRevisions[v.Name] = v.Revision
		s.reconcile(now, v, request.To, from)
	}
	s.announceNewer(request.To, peerRevisions, &fx)
	s.tickFetch(now, &fx)
	return fx
}

// DigestFailed handles the failure of a digest.
func (s *State) DigestFailed(_ time.Time, request DigestTo) Effects {
	s.boot.recordReply(request.To, false)
	return Effects{}
}

// reconcile records a version that a peer knows and starts to fetch it if it is
// newer and this node stores the value.
func (s *State) reconcile(now time.Time, v Version, peer member.InstanceID, from origin) {
	e := s.entry(v.Name)
	if e == nil {
		return
	}
	s.learn(e, v)
	if !s.keeps(e) {
		return
	}
	s.startFetch(now, e, peer, from)
	if e.fetch != nil && e.fetch.attempt == 0 && from == fromZone {
		e.fetch.attempt = 1 // skips the tree: the peer that replied has the revision
	}
}

// announceNewer announces to a peer the versions that are newer here than its
// own. A starting node announces nothing.
func (s *State) announceNewer(to member.InstanceID, peerRevisions map[string]uint64, fx *Effects) {
	var newer []Value
	size := 0
	for _, e := range s.list {
		if e.known <= peerRevisions[e.name] {
			continue
		}
		v := Value{Version: Version{Name: e.name, Revision: e.known}}
		if e.held.Revision == e.known && size+len(e.held.Body) <= maxReplyBytes {
			v.Body = e.held.Body
			size += len(v.Body)
		}
		newer = append(newer, v)
	}
	if len(newer) > 0 && s.boot.ready {
		s.announce(Peer{ID: to, Zone: s.zoneOf(to)}, newer, maxAnnounceAttempts, fx)
	}
}

// originOf returns the origin of values that come from a node.
func (s *State) originOf(id member.InstanceID) origin {
	if s.zoneOf(id) == s.config.Zone {
		return fromZone
	}
	return fromOtherZone
}

// zoneOf returns the zone of a peer, or an empty one for an unknown node.
func (s *State) zoneOf(id member.InstanceID) member.Zone {
	for _, p := range s.peers {
		if p.ID == id {
			return p.Zone
		}
	}
	return ""
}
