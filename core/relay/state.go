package relay

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

const (
	watchWait           = 30 * time.Second // time for which the platform may hold a watch open
	exchangeInterval    = time.Second
	auditInterval       = 10 * time.Second
	isolationTimeout    = 5 * time.Second        // without contact with a peer of the own zone
	secondRelayDelay    = 150 * time.Millisecond // of the second relay's announcement
	readsPerSecond      = 600                    // by the whole fleet, for first reads and retries; a part of the platform's call rate limit
	minRetry            = 500 * time.Millisecond // lower bound of the first retry interval
	maxRetry            = 30 * time.Second       // upper bound of every retry interval
	minRetryLimit       = 2 * time.Second        // lower bound of the longest retry interval
	bootTimeout         = 2 * time.Second        // for replies of ready peers, once the bootstrap values are read
	bootReplies         = 3                      // ready peers whose replies suffice
	otherZoneShare      = 0.25                   // of the exchanges
	maxInlineBody       = 4 << 10                // bytes that an announcement carries of one value
	maxReplyBytes       = 512 << 10              // bytes of bodies in one message, unless a single one is larger
	maxNames            = 16 << 10
	treeFanout          = 4   // nodes that fetch a large body from the same parent
	maxAnnounceAttempts = 4   // nodes of another zone that one announcement is sent to
	intervalJitter      = 0.2 // of an interval, to either side

	// Relays is the number of nodes in each zone that watch a value.
	Relays = 2
)

// Config configures a State.
type Config struct {
	Self member.InstanceID
	Zone member.Zone
	// Seed seeds the jitter and the choice of peers.
	Seed uint64
	// Bootstrap names the values that a starting node reads from the platform
	// itself. They give the caller the peers and the other names.
	Bootstrap []string
	// Parse validates a value; its result is returned in Applied. It must not
	// keep state.
	Parse func(Value) (any, error)
}

// entry is the state of one value.
type entry struct {
	name       string
	held       Value     // last accepted value; its revision is 0 if there is none
	known      uint64    // highest revision that some node accepted
	refused    uint64    // highest revision that Parse refused
	wanted     bool      // this node needs the value for itself
	rank       int       // in the rendezvous order of the own zone
	watch      watch     // reads at the platform
	announceAt time.Time // when a delayed announcement is due; zero if there is none
	fetch      *fetch    // fetch of the body from a peer, or nil
}

// State is the relay state of one node. It isn't safe for concurrent use.
type State struct {
	config  Config
	random  *rand.Rand
	entries map[string]*entry // by name
	list    []*entry          // all entries, urgent first
	hash    uint64            // of all known versions

	// The peers are those of the last SetPeers without this node.
	peers          []Peer
	zonePeers      []Peer // of the own zone
	otherZonePeers []Peer // of other zones
	peersByZone    map[member.Zone][]Peer
	zoneNames      []member.Zone // keys of peersByZone, sorted
	fleetSize      int           // nodes of the fleet, including this one

	lastContact  time.Time // last contact with a peer of the own zone
	isolated     bool      // no contact with a peer of the own zone for isolationTimeout
	nextExchange time.Time
	nextAudit    time.Time
	audit        string // name of the value to audit, or empty
	boot         boot
}

// New returns the state of a node that starts now and knows only the names of
// the bootstrap values.
func New(config Config, now time.Time) *State {
	s := &State{
		config:      config,
		random:      rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
		entries:     make(map[string]*entry),
		peersByZone: make(map[member.Zone][]Peer),
		boot:        newBoot(),
	}
	s.lastContact = now
	s.nextExchange = now.Add(s.fullJitter(exchangeInterval))
	s.nextAudit = now.Add(s.fullJitter(auditInterval))
	for _, name := range config.Bootstrap {
		s.entry(name).wanted = true
	}
	return s
}

// SetPeers replaces the peers. The list may include this node. Size is the
// number of nodes of the fleet, or an estimate of it while not all are known;
// it bounds the rate of reads.
func (s *State) SetPeers(now time.Time, peers []Peer, size int) {
	s.peers, s.zonePeers, s.otherZonePeers = nil, nil, nil
	s.peersByZone = make(map[member.Zone][]Peer)
	for _, p := range peers {
		if p.ID == s.config.Self {
			continue
		}
		s.peers = append(s.peers, p)
		s.peersByZone[p.Zone] = append(s.peersByZone[p.Zone], p)
		if p.Zone == s.config.Zone {
			s.zonePeers = append(s.zonePeers, p)
		} else {
			s.otherZonePeers = append(s.otherZonePeers, p)
		}
	}
	s.zoneNames = slices.Sorted(maps.Keys(s.peersByZone))
	s.fleetSize = max(size, len(s.peers)+1)
	for _, e := range s.list {
		s.setRank(now, e)
	}
}

// SetNames sets the names of all values of the fleet, which this node may
// relay, and of those that it needs for itself.
func (s *State) SetNames(now time.Time, all, wanted []string) {
	for _, name := range all {
		s.entry(name)
	}
	for _, e := range s.entries {
		e.wanted = false
	}
	for _, name := range slices.Concat(wanted, s.config.Bootstrap) {
		if e := s.entry(name); e != nil {
			e.wanted = true
		}
	}
	for _, name := range all {
		e := s.entries[name]
		if e != nil && !e.watch.listed {
			e.watch.listed = true
			e.watch.next = now.Add(s.fullJitter(s.readSpread()))
		}
	}
}

// setRank updates the rank of an entry and reschedules its next read if this
// node becomes a relay, or if the read is later than the read spread, which may
// have become shorter.
func (s *State) setRank(now time.Time, e *entry) {
	rank := rankIn(e.name, s.config.Self, s.zonePeers)
	becomesRelay := rank < Relays && e.rank >= Relays && e.watch.next.Before(now)
	beyondSpread := e.watch.failures == 0 && e.watch.next.Sub(now) > s.readSpread()
	if becomesRelay || beyondSpread {
		e.watch.next = now.Add(s.fullJitter(s.readSpread()))
	}
	e.rank = rank
}

// entry returns the entry of a name and creates it if necessary. It returns nil
// for a new name if there are maxNames entries already.
func (s *State) entry(name string) *entry {
	if e, ok := s.entries[name]; ok {
		return e
	}
	if len(s.entries) >= maxNames {
		return nil
	}
	e := &entry{name: name, held: Value{Version: Version{Name: name}}}
	e.rank = rankIn(name, s.config.Self, s.zonePeers)
	s.entries[name] = e
	at, _ := slices.BinarySearchFunc(s.list, name, func(e *entry, name string) int { return compareNames(e.name, name) })
	s.list = slices.Insert(s.list, at, e)
	return e
}

// Held returns the versions of the values that the node holds, urgent first.
func (s *State) Held() []Version {
	var list []Version
	for _, e := range s.list {
		if e.held.Revision > 0 {
			list = append(list, e.held.Version)
		}
	}
	return list
}

// Known returns the highest known version of each value, urgent first.
func (s *State) Known() []Version {
	var list []Version
	for _, e := range s.list {
		if e.known > 0 {
			list = append(list, Version{Name: e.name, Revision: e.known})
		}
	}
	return list
}

// Tick returns the effects that are due. It must be called several times a
// second.
func (s *State) Tick(now time.Time) Effects {
	var fx Effects
	s.tickBoot(now, &fx)
	s.tickAnnounce(now, &fx)
	s.tickFetch(now, &fx)
	s.tickExchange(now, &fx)
	s.tickWatch(now, &fx)
	return fx
}

// fullJitter returns a random duration between 0 and limit.
func (s *State) fullJitter(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit) + 1))
}

// withJitter returns the interval, lengthened or shortened at random by up to
// the share intervalJitter.
func (s *State) withJitter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (1 - intervalJitter + 2*intervalJitter*s.random.Float64()))
}

// backoff returns a random delay (full jitter) of up to base, doubled for each
// failure after the first and capped at limit.
func (s *State) backoff(base, limit time.Duration, failures int) time.Duration {
	interval := base
	for range failures - 1 {
		interval = min(2*interval, limit)
	}
	return s.fullJitter(min(interval, limit))
}

// recordContact records contact with a node if it is a peer of the own zone.
func (s *State) recordContact(now time.Time, id member.InstanceID) {
	for _, p := range s.zonePeers {
		if p.ID == id {
			s.lastContact = now
			return
		}
	}
}
