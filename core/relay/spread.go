package relay

import (
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// origin is where a value was received from. It determines the nodes to which
// the value is announced.
type origin uint8

const (
	fromPlatform origin = iota
	fromOtherZone
	fromZone
)

// accept stores and announces a value if it is newer and parses.
func (s *State) accept(now time.Time, value Value, from origin, fx *Effects) {
	e := s.entry(value.Name)
	if e == nil || value.Revision <= max(e.held.Revision, e.refused) {
		return
	}
	if value.Revision < e.known && s.boot.ready {
		return // some node accepted a newer revision; going back to an older one is not allowed
	}
	parsed, err := s.config.Parse(value)
	if err != nil {
		e.refused = value.Revision
		fx.Refuse = append(fx.Refuse, Refused{Version: value.Version, Err: err})
		return
	}
	e.held = value
	e.watch.missing = false
	s.learn(e, value.Version)
	if e.fetch != nil && e.fetch.revision <= value.Revision {
		e.fetch = nil
	}
	fx.Apply = append(fx.Apply, Applied{Value: value, Parsed: parsed})
	s.disseminate(now, e, from, fx)
}

// learn raises the known revision of an entry.
func (s *State) learn(e *entry, version Version) {
	if version.Revision <= e.known {
		return
	}
	s.hash ^= versionHash(version.Name, e.known) ^ versionHash(version.Name, version.Revision)
	e.known = version.Revision
}

// disseminate announces a newly accepted value. The second relay of the zone
// delays its announcement and cancels it if a peer of the zone announces the
// value in the meantime.
func (s *State) disseminate(now time.Time, e *entry, from origin, fx *Effects) {
	switch {
	case from == fromZone:
		e.announceAt = time.Time{}
	case !s.boot.ready && (from == fromOtherZone || e.rank >= Relays):
		// The peers that this starting node got the value from know it already.
	case from == fromOtherZone:
		s.announceToOwnZone(e.held, fx)
	case e.rank == 0 || e.rank >= Relays:
		s.announceToOwnZone(e.held, fx)
		s.announceToOtherZones(e.held, fx)
	default:
		e.announceAt = now.Add(secondRelayDelay)
	}
}

// tickAnnounce sends the delayed announcements that are due.
func (s *State) tickAnnounce(now time.Time, fx *Effects) {
	for _, e := range s.list {
		if e.announceAt.IsZero() || now.Before(e.announceAt) {
			continue
		}
		e.announceAt = time.Time{}
		s.announceToOwnZone(e.held, fx)
		s.announceToOtherZones(e.held, fx)
	}
}

// announceToOwnZone announces a value to all peers of the own zone.
func (s *State) announceToOwnZone(value Value, fx *Effects) {
	for _, p := range s.zonePeers {
		s.announce(p, []Value{value}, 0, fx)
	}
}

// announceToOtherZones announces a value to the first node of each other zone.
func (s *State) announceToOtherZones(value Value, fx *Effects) {
	for _, zone := range s.zoneNames {
		if zone != s.config.Zone {
			s.announce(ordered(value.Name, s.peersByZone[zone])[0], []Value{value}, 0, fx)
		}
	}
}

func (s *State) announce(to Peer, values []Value, attempt int, fx *Effects) {
	message := Announce{From: s.config.Self, Zone: s.config.Zone}
	for _, v := range values {
		if len(v.Body) > maxInlineBody {
			v.Body = nil
		}
		message.Values = append(message.Values, v)
	}
	fx.Announces = append(fx.Announces, AnnounceTo{To: to.ID, Zone: to.Zone, Announce: message, attempt: attempt})
}

// AnnounceFailed handles the failure to deliver an announcement. In another
// zone it fails over to the next node in the rendezvous order.
func (s *State) AnnounceFailed(_ time.Time, failed AnnounceTo) Effects {
	var fx Effects
	if failed.Zone == s.config.Zone || failed.attempt+1 >= maxAnnounceAttempts || len(failed.Announce.Values) == 0 {
		return fx
	}
	order := ordered(failed.Announce.Values[0].Name, s.peersByZone[failed.Zone])
	for i, p := range order {
		if p.ID == failed.To && i+1 < len(order) {
			next := order[i+1]
			fx.Announces = append(fx.Announces, AnnounceTo{
				To: next.ID, Zone: next.Zone, Announce: failed.Announce, attempt: failed.attempt + 1,
			})
			break
		}
	}
	return fx
}

// HandleAnnounce handles an announcement from a peer.
func (s *State) HandleAnnounce(now time.Time, message Announce) Effects {
	var fx Effects
	s.recordContact(now, message.From)
	from := fromZone
	if message.Zone != s.config.Zone {
		from = fromOtherZone
	}
	for _, v := range message.Values {
		s.handleAnnounced(now, v, from, message.From, &fx)
	}
	s.tickFetch(now, &fx)
	return fx
}

func (s *State) handleAnnounced(now time.Time, v Value, from origin, peer member.InstanceID, fx *Effects) {
	e := s.entry(v.Name)
	if e == nil {
		return
	}
	if from == fromZone && v.Revision >= e.held.Revision {
		e.announceAt = time.Time{} // a peer announces it to the zone already
	}
	isNew := v.Revision > e.known
	s.learn(e, v.Version)
	switch {
	case len(v.Body) > 0 && s.keeps(e):
		s.accept(now, v, from, fx)
	case s.keeps(e):
		s.startFetch(now, e, peer, from)
	case isNew && from == fromOtherZone:
		s.announceToOwnZone(v, fx)
	}
}

// keeps reports whether this node stores the body of a value.
func (s *State) keeps(e *entry) bool { return e.wanted || e.rank < Relays }
