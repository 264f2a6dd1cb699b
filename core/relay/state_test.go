package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// testFleet returns peers spread evenly over zones z0, z1 and so on.
func testFleet(nodes, zones int) []Peer {
	var peers []Peer
	for i := range nodes {
		peers = append(peers, Peer{ID: member.InstanceID(fmt.Sprintf("n%d", i)), Zone: member.Zone(fmt.Sprintf("z%d", i%zones))})
	}
	return peers
}

// readyState returns a ready node with the given names.
func readyState(self Peer, peers []Peer, names []string) *State {
	now := time.Unix(0, 0)
	s := New(Config{Self: self.ID, Zone: self.Zone, Parse: parseTest}, now)
	s.SetPeers(now, peers, len(peers))
	s.SetNames(now, names, names)
	s.boot.ready = true
	return s
}

func testValue(name string, revision uint64) Value {
	return Value{Version: Version{name, revision}, Body: []byte(fmt.Sprintf("%s@%d", name, revision))}
}

func TestAcceptOnlyNewest(t *testing.T) {
	const name = "keys/0"
	tests := []struct {
		name                      string
		held, known, refused, got uint64
		body                      string
		applied, refuse           bool
	}{
		{name: "first", got: 3, applied: true},
		{name: "newer", held: 2, known: 2, got: 3, applied: true},
		{name: "same", held: 3, known: 3, got: 3},
		{name: "older", held: 4, known: 4, got: 3},
		{name: "newer, but peers accepted a still newer one", held: 2, known: 4, got: 3},
		{name: "first, but peers accepted a newer one", known: 4, got: 3},
		{name: "refused before", held: 2, known: 2, refused: 3, got: 3},
		{name: "doesn't parse", held: 2, known: 2, got: 3, body: "bad", refuse: true},
	}
	for _, tt := range tests {
		peers := testFleet(4, 2)
		s := readyState(peers[0], peers, []string{name})
		e := s.entries[name]
		e.held.Revision, e.refused = tt.held, tt.refused
		s.learn(e, Version{name, tt.known})
		value := testValue(name, tt.got)
		if tt.body != "" {
			value.Body = []byte(tt.body)
		}
		fx := s.ReadDone(time.Unix(1, 0), name, ReadFound, value)
		if (len(fx.Apply) == 1) != tt.applied || (len(fx.Refuse) == 1) != tt.refuse {
			t.Errorf("%s: applied %d, refused %d; want %v, %v", tt.name, len(fx.Apply), len(fx.Refuse), tt.applied, tt.refuse)
		}
	}
}

func TestAnnouncementFailsOver(t *testing.T) {
	const name = "fleet"
	peers := testFleet(12, 3)
	first := ordered(name, peers[:1])[0]
	for _, p := range peers { // the first relay of zone z0
		if p.Zone == "z0" && rankIn(name, p.ID, filter(peers, "z0")) == 0 {
			first = p
		}
	}
	s := readyState(first, peers, []string{name})
	fx := s.ReadDone(time.Unix(1, 0), name, ReadFound, testValue(name, 1))
	announcedTo := map[member.InstanceID]AnnounceTo{}
	for _, a := range fx.Announces {
		announcedTo[a.To] = a
	}
	for _, zone := range []member.Zone{"z1", "z2"} {
		order := ordered(name, filter(peers, zone))
		if _, ok := announcedTo[order[0].ID]; !ok {
			t.Errorf("no announcement to the first node of %s", zone)
		}
		next := s.AnnounceFailed(time.Unix(2, 0), announcedTo[order[0].ID])
		if len(next.Announces) != 1 || next.Announces[0].To != order[1].ID {
			t.Errorf("announcements %v after a failure; want one to %s", next.Announces, order[1].ID)
		}
	}
	if len(announcedTo) != 3+2 {
		t.Errorf("announcements to %d nodes; want the zone's 3 and one in each other zone", len(announcedTo))
	}
}

func filter(peers []Peer, zone member.Zone) []Peer {
	var list []Peer
	for _, p := range peers {
		if p.Zone == zone {
			list = append(list, p)
		}
	}
	return list
}

// The second relay announces a value only if the first one has not announced it
// within secondRelayDelay.
func TestSecondRelayDelaysAnnouncement(t *testing.T) {
	const name = "fleet"
	for _, firstAnnounced := range []bool{true, false} {
		peers := testFleet(4, 1)
		order := ordered(name, peers)
		s := readyState(order[1], peers, []string{name})
		now := time.Unix(1, 0)
		fx := s.ReadDone(now, name, ReadFound, testValue(name, 1))
		if len(fx.Announces) != 0 {
			t.Error("the second relay announced at once")
		}
		if firstAnnounced {
			s.HandleAnnounce(now, Announce{From: order[0].ID, Zone: order[0].Zone, Values: []Value{testValue(name, 1)}})
		}
		later := s.Tick(now.Add(secondRelayDelay))
		if announced := len(later.Announces) > 0; announced == firstAnnounced {
			t.Errorf("first relay announced %v: second relay announced %v", firstAnnounced, announced)
		}
	}
}

// The first reads and the retries of all watches in a fleet of 2,200 nodes stay
// below the platform's limit.
func TestSpreadOfReadsAtFullSize(t *testing.T) {
	names := []string{"fleet"}
	for i := range 200 {
		names = append(names, fmt.Sprintf("services/%d", i), fmt.Sprintf("instances/%d", i))
	}
	for i := range 8 {
		names = append(names, fmt.Sprintf("keys/%d", i))
	}
	const zones = 20
	all := testFleet(2200, zones)
	watches := float64(len(names) * Relays * zones)
	for _, tt := range []struct {
		name    string
		peers   []Peer
		watches float64
	}{
		{"all peers known", all, watches},
		{"one service known", all[:11], float64(len(names) * len(all))}, // each node may assume that it is a relay
	} {
		s := New(Config{Self: all[0].ID, Zone: all[0].Zone, Parse: parseTest}, time.Unix(0, 0))
		s.SetPeers(time.Unix(0, 0), tt.peers, len(all))
		s.SetNames(time.Unix(0, 0), names, names)
		if rate := tt.watches / s.readSpread().Seconds(); rate > maxReadRate {
			t.Errorf("%s: %.0f first reads per second", tt.name, rate)
		}
	}
	s := readyState(all[0], all, names)
	if rate := watches / (s.retryBase().Seconds()); rate > maxReadRate {
		t.Errorf("%.0f retries per second", rate)
	}
	if rate := watches / watchWait.Seconds(); rate > maxReadRate {
		t.Errorf("%.0f watches per second without changes", rate)
	}
}

// A value that becomes wanted after its revision became known is fetched.
func TestValueWantedLateIsFetched(t *testing.T) {
	const name = "services/late"
	peers := testFleet(8, 1)
	last := ordered(name, peers)[7] // not a relay
	now := time.Unix(1, 0)
	s := readyState(last, peers, []string{"fleet"})
	s.HandleAnnounce(now, Announce{From: peers[0].ID, Zone: "z0", Values: []Value{testValue(name, 3)}})
	s.SetNames(now, []string{"fleet", name}, []string{"fleet", name})
	fx := s.Tick(now)
	if len(fx.Fetches) != 1 || fx.Fetches[0].Fetch.Wanted[0] != (Version{name, 3}) {
		t.Errorf("fetches %v; want one of the value at the known revision", fx.Fetches)
	}
}
