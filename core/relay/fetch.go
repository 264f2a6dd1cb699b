package relay

import (
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

const (
	fetchRetry    = 50 * time.Millisecond
	maxFetchRetry = time.Second
	// reporterAttempts is the number of attempts before peers other than the one
	// that reported the revision are asked.
	reporterAttempts = 2
)

// fetch is the state of the fetch of a body.
type fetch struct {
	revision uint64 // lowest revision that is useful
	from     origin
	reporter member.InstanceID // peer that reported the revision
	attempt  int               // step in the order of fetchSource; each failed attempt adds one
	inFlight bool
	next     time.Time // of the next attempt
}

// startFetch starts to fetch the known revision of a value, unless it is held or
// refused already.
func (s *State) startFetch(now time.Time, e *entry, reporter member.InstanceID, from origin) {
	if e.known <= max(e.held.Revision, e.refused) {
		return
	}
	if e.fetch != nil {
		e.fetch.revision = e.known
		e.fetch.reporter = reporter
		return
	}
	e.fetch = &fetch{revision: e.known, from: from, reporter: reporter, next: now}
}

// startKnownFetch starts to fetch a value whose revision became known before
// this node had to store it. It skips the tree and the reporter, since any peer
// may have the value.
func (s *State) startKnownFetch(now time.Time, e *entry) {
	if e.fetch == nil && s.keeps(e) && e.known > max(e.held.Revision, e.refused) {
		e.fetch = &fetch{revision: e.known, from: fromZone, attempt: reporterAttempts, next: now}
	}
}

// tickFetch sends the fetches that are due, in one message for each peer.
func (s *State) tickFetch(now time.Time, fx *Effects) {
	var order []member.InstanceID
	wanted := make(map[member.InstanceID][]Version)
	for _, e := range s.list {
		s.startKnownFetch(now, e)
		if e.fetch == nil || e.fetch.inFlight || now.Before(e.fetch.next) {
			continue
		}
		source, ok := s.fetchSource(e)
		if !ok {
			e.fetch.next = now.Add(s.backoff(fetchRetry, maxFetchRetry, e.fetch.attempt+1))
			continue
		}
		e.fetch.inFlight = true
		if _, seen := wanted[source]; !seen {
			order = append(order, source)
		}
		wanted[source] = append(wanted[source], Version{Name: e.name, Revision: e.fetch.revision})
	}
	for _, source := range order {
		fx.Fetches = append(fx.Fetches, FetchFrom{
			To:    source,
			Fetch: Fetch{From: s.config.Self, Wanted: wanted[source]},
		})
	}
}

// fetchSource chooses the peer to fetch from: first the parent in the tree of
// the zone if the value was announced in the zone, then the peer that reported
// the revision, then alternately a relay of the zone and a random peer.
func (s *State) fetchSource(e *entry) (member.InstanceID, bool) {
	f := e.fetch
	if f.from == fromZone && f.attempt == 0 {
		if parent, ok := s.treeParent(e.name, e.rank); ok {
			return parent, true
		}
	}
	if f.attempt < reporterAttempts {
		return f.reporter, true
	}
	if len(s.peers) == 0 {
		return "", false
	}
	if f.attempt%2 == 0 && len(s.zonePeers) > 0 {
		order := ordered(e.name, s.zonePeers)
		return order[s.random.IntN(min(Relays, len(order)))].ID, true
	}
	return s.peers[s.random.IntN(len(s.peers))].ID, true
}

// treeParent returns the parent of the node with this rank in the tree along
// which the nodes of the zone fetch a value. The node of rank 0 is the root.
func (s *State) treeParent(name string, rank int) (member.InstanceID, bool) {
	if rank == 0 {
		return "", false
	}
	// zonePeers lacks this node, which does not change the index of the parent:
	// the parent always has a lower rank.
	return ordered(name, s.zonePeers)[(rank-1)/treeFanout].ID, true
}

// HandleFetch answers the fetch of a peer with the values that this node holds.
func (s *State) HandleFetch(now time.Time, message Fetch) FetchReply {
	s.recordContact(now, message.From)
	var reply FetchReply
	size := 0
	for _, v := range message.Wanted {
		e, ok := s.entries[v.Name]
		if !ok || e.held.Revision < v.Revision || e.held.Revision == 0 {
			continue
		}
		if size > 0 && size+len(e.held.Body) > maxReplyBytes {
			reply.More = true
			continue
		}
		size += len(e.held.Body)
		reply.Values = append(reply.Values, e.held)
	}
	return reply
}

// FetchAnswered handles the reply to a fetch.
func (s *State) FetchAnswered(now time.Time, request FetchFrom, reply FetchReply) Effects {
	var fx Effects
	s.recordContact(now, request.To)
	s.endFetches(now, request, reply.More)
	for _, v := range reply.Values {
		if slices.ContainsFunc(request.Fetch.Wanted, func(w Version) bool { return w.Name == v.Name }) {
			s.acceptFetched(now, v, &fx)
		}
	}
	s.tickFetch(now, &fx)
	return fx
}

// acceptFetched accepts a value from a reply if it is still being fetched, and
// ends the fetch if the value is refused.
func (s *State) acceptFetched(now time.Time, v Value, fx *Effects) {
	e := s.entries[v.Name]
	if e == nil || e.fetch == nil {
		return
	}
	s.accept(now, v, e.fetch.from, fx)
	if e.refused >= e.fetchRevision() {
		e.fetch = nil
	}
}

// fetchRevision returns the revision that is being fetched, or the known one.
func (e *entry) fetchRevision() uint64 {
	if e.fetch == nil {
		return e.known
	}
	return e.fetch.revision
}

// FetchFailed handles the failure of a fetch.
func (s *State) FetchFailed(now time.Time, request FetchFrom) Effects {
	var fx Effects
	s.endFetches(now, request, false)
	return fx
}

// endFetches ends the attempts of a request. A value that the reply lacks is
// fetched again: after a backoff, or at once from the same peer if that left
// values out of its reply.
func (s *State) endFetches(now time.Time, request FetchFrom, more bool) {
	for _, v := range request.Fetch.Wanted {
		e, ok := s.entries[v.Name]
		if !ok || e.fetch == nil || !e.fetch.inFlight {
			continue
		}
		e.fetch.inFlight = false
		if more {
			e.fetch.next = now
			continue
		}
		e.fetch.attempt++
		e.fetch.next = now.Add(s.backoff(fetchRetry, maxFetchRetry, e.fetch.attempt))
	}
}
