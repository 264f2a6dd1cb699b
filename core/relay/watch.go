package relay

import "time"

// watch is the state of the reads of one value at the platform.
type watch struct {
	listed   bool // SetNames listed the value among those of the fleet
	inFlight bool
	waiting  bool // the read in flight is a long poll
	missing  bool // the platform responded that it doesn't have the value
	failures int  // consecutive failed reads
	next     time.Time
}

func (s *State) tickWatch(now time.Time, fx *Effects) {
	s.checkIsolation(now)
	s.chooseAudit(now)
	bootstrapOnly := s.bootstrapOnly(now)
	for _, e := range s.list {
		if e.watch.inFlight || now.Before(e.watch.next) {
			continue
		}
		switch {
		case bootstrapOnly && !s.isBootstrap(e.name):
		case s.watches(e):
			s.read(e, s.withJitter(watchWait), fx)
		case s.audit == e.name:
			s.audit = ""
			s.read(e, 0, fx)
		}
	}
}

// watches reports whether this node must watch the value at the platform: it is
// a relay of the value, it is isolated and needs the value, or it does not hold
// this bootstrap value yet.
func (s *State) watches(e *entry) bool {
	if !e.watch.listed && !s.isBootstrap(e.name) {
		return false
	}
	return e.rank < Relays || (e.wanted && s.isolated) || (s.isBootstrap(e.name) && e.held.Revision == 0)
}

// chooseAudit chooses a random value to read from the platform when an audit is
// due, even if other nodes are its relays.
func (s *State) chooseAudit(now time.Time) {
	if now.Before(s.nextAudit) || len(s.list) == 0 {
		return
	}
	s.nextAudit = now.Add(s.withJitter(auditInterval))
	if e := s.list[s.random.IntN(len(s.list))]; e.wanted && e.watch.listed {
		s.audit = e.name
	}
}

// read starts a read of the platform. It does not wait if the node has no
// revision of the value.
func (s *State) read(e *entry, wait time.Duration, fx *Effects) {
	after := max(e.held.Revision, e.refused)
	if after == 0 {
		wait = 0
	}
	e.watch.inFlight, e.watch.waiting = true, wait > 0
	fx.Reads = append(fx.Reads, Read{Name: e.name, After: after, Wait: wait})
}

// ReadDone handles the result of a read. The value is used only with ReadFound.
func (s *State) ReadDone(now time.Time, name string, status ReadStatus, value Value) Effects {
	var fx Effects
	e, ok := s.entries[name]
	if !ok {
		return fx
	}
	before := max(e.held.Revision, e.refused)
	e.watch.inFlight = false
	e.watch.missing = status == ReadNotFound
	if status == ReadFound && value.Name == name {
		s.accept(now, value, fromPlatform, &fx)
	}
	advanced := max(e.held.Revision, e.refused) > before
	switch {
	case status == ReadNotModified || advanced:
		e.watch.failures = 0
		e.watch.next = now
	case status == ReadFound && value.Revision == before:
		// A peer sent the value while the read was in flight.
		e.watch.failures = 0
		e.watch.next = now.Add(s.fullJitter(minRetry))
	default:
		e.watch.failures++
		e.watch.next = now.Add(s.backoff(s.retryBase(), s.retryLimit(), e.watch.failures))
	}
	return fx
}

// checkIsolation updates whether this node is isolated and, when it becomes so,
// schedules its reads. They are spread over time so that a zone whose nodes are
// all isolated stays within readsPerSecond.
func (s *State) checkIsolation(now time.Time) {
	isolated := len(s.zonePeers) > 0 && now.Sub(s.lastContact) > isolationTimeout
	if isolated && !s.isolated {
		reads := len(s.list) * (len(s.zonePeers) + 1)
		spread := max(time.Duration(reads)*time.Second/readsPerSecond, minRetry)
		for _, e := range s.list {
			if e.rank >= Relays && e.watch.next.Before(now) {
				e.watch.next = now.Add(s.fullJitter(spread))
			}
		}
	}
	s.isolated = isolated
}

// readSpread returns the time in which all watches of the fleet can start at
// readsPerSecond. While a node knows only some of the peers, it is a relay of
// more values, so the time grows with the ratio of the fleet's size to the
// known nodes.
func (s *State) readSpread() time.Duration {
	zones := len(s.peersByZone)
	if _, ok := s.peersByZone[s.config.Zone]; !ok {
		zones++
	}
	watches := len(s.list) * Relays * zones * max(s.fleetSize, 1) / (len(s.peers) + 1)
	return time.Duration(watches) * time.Second / readsPerSecond
}

// retryBase returns the base interval of the retry backoff.
func (s *State) retryBase() time.Duration {
	return min(max(s.readSpread(), minRetry), maxRetry)
}

// retryLimit returns the longest interval of the retry backoff.
func (s *State) retryLimit() time.Duration {
	return min(max(4*s.readSpread(), minRetryLimit), maxRetry)
}
