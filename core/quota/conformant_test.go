package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

const (
	fleetSize = 24
	seeds     = 5
	warmUp    = 4 * time.Second
	faultAt   = 10 * time.Second
	caseEnds  = 22 * time.Second
)

var benchLimits = []Limit{
	{2 * PerSecond, 4}, {20 * PerSecond, 20}, {200 * PerSecond, 100}, {500 * PerSecond, 25}, {1000 * PerSecond, 200},
}

// conformant sends bursts of requests at the load, a percentage of the rate. A
// token bucket with the limit filters them, so that every refusal is wrongful.
func conformant(s *sim, load int64, end time.Duration) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(s.limit.Rate)*100+uint64(load)))
	filter := tokenBucket{level: Amount(s.limit.Burst) * Token, last: simStart}
	spread := max(1, s.limit.Burst/2)
	mean := time.Duration(100*1000*(1+spread)/2) * time.Second / time.Duration(int64(s.limit.Rate)*load)
	var sendBurst func()
	sendBurst = func() {
		for range 1 + rng.Int64N(spread) {
			if filter.take(s.time(), s.limit) {
				s.request(s.nodes[rng.IntN(len(s.nodes))])
			}
		}
		if gap := time.Duration(-float64(mean) * math.Log(1-rng.Float64())); s.now+gap < end {
			s.at(s.now+gap, sendBurst)
		}
	}
	s.at(warmUp, sendBurst)
}

// scenario injects a fault at faultAt.
type scenario struct {
	name string
	run  func(s *sim)
}

var scenarios = []scenario{
	{"healthy", func(*sim) {}},
	{"minterLost", func(s *sim) { s.crash(1) }},
	{"poolerLost", func(s *sim) { s.crash(0) }},
	{"zoneCut", func(s *sim) {
		zoneSplit := func(a, b int) bool { return (a%3 == 0) != (b%3 == 0) }
		s.at(faultAt, func() { s.partitioned = zoneSplit })
		s.at(faultAt+5*time.Second, func() { s.partitioned = func(int, int) bool { return false } })
	}},
}

// crash crashes the instance at the rank in rendezvous order. The platform
// delists it after a second.
func (s *sim) crash(rank int) {
	id := rendezvous(testWorkspace, s.members, fleetSize)[rank]
	s.at(faultAt, func() { s.nodes[s.index(id)].down = true })
	s.at(faultAt+time.Second, func() {
		left := slices.DeleteFunc(slices.Clone(s.members), func(m member.InstanceID) bool { return m == id })
		s.publish(left, func(int) time.Duration { return time.Second })
	})
}

func runConformant(seed uint64, limit Limit, load int64, minters int, sc scenario, build func(*sim, *simNode) decider) *sim {
	timing := DefaultTiming()
	timing.MaxMinters = minters
	s := newSim(seed, fleetSize, limit, timing, build)
	sc.run(s)
	conformant(s, load, caseEnds)
	s.runUntil(caseEnds + time.Second)
	return s
}

// countFrom counts the refusals at or after the time.
func countFrom(refused []time.Duration, at time.Duration) (count int) {
	for _, t := range refused {
		if t >= at {
			count++
		}
	}
	return count
}

// TestConformantRequestsAreAdmitted checks that no request within the limit is
// refused while there is no fault.
func TestConformantRequestsAreAdmitted(t *testing.T) {
	for _, limit := range benchLimits {
		for _, load := range []int64{50, 95} {
			for seed := range uint64(seeds) {
				s := runConformant(seed, limit, load, 16, scenarios[0], buildNode)
				if len(s.refused) > 0 || s.pending > 0 || len(s.admitted) != s.requests {
					t.Errorf("%+v at %d%%, seed %d: %d refused, %d admitted of %d, refused at %v", limit, load, seed,
						len(s.refused), len(s.admitted), s.requests, s.refused[:min(5, len(s.refused))])
				}
			}
		}
	}
}

// TestPoolerLostRecoversWithinASecond checks that no request within the limit is
// refused later than a second after the pooler crashes.
func TestPoolerLostRecoversWithinASecond(t *testing.T) {
	poolerLostRecovers(t, benchLimits, 50, 95)
}

// TestPoolerLostRecoversForShortLifetimes covers the limits with a token
// lifetime of at most half a second, at a load that the remaining minters can
// cover: the burst is refilled within a second too.
func TestPoolerLostRecoversForShortLifetimes(t *testing.T) {
	poolerLostRecovers(t, benchLimits[2:], 50)
}

func poolerLostRecovers(t *testing.T, limits []Limit, loads ...int64) {
	t.Helper()
	for _, limit := range limits {
		for _, load := range loads {
			for seed := range uint64(seeds) {
				s := runConformant(seed, limit, load, 16, scenarios[2], buildNode)
				if late := countFrom(s.refused, faultAt+time.Second); late > 0 {
					t.Errorf("%+v at %d%%, seed %d: %d wrongful refusals after the first second", limit, load, seed, late)
				}
			}
		}
	}
}

// TestNewFirstPoolerTakesOver delists the pooler while it continues to run. No
// request within the limit may be refused.
func TestNewFirstPoolerTakesOver(t *testing.T) {
	for _, limit := range benchLimits {
		s := runConformant(3, limit, 50, 16, scenario{run: func(s *sim) {
			pooler := rendezvous(testWorkspace, s.members, 1)[0]
			s.at(faultAt, func() {
				left := slices.DeleteFunc(slices.Clone(s.members), func(m member.InstanceID) bool { return m == pooler })
				s.publish(left, func(i int) time.Duration { return time.Duration(i) * time.Millisecond })
			})
		}}, buildNode)
		if len(s.refused) > 0 {
			t.Errorf("%+v: %d refused, first at %v", limit, len(s.refused), s.refused[0])
		}
	}
}

// TestSlowPoolerIsNotReplaced suspends the pooler for 30 ms every half second,
// which is shorter than UnresponsiveAfter. Entries must not fail over: a second
// pooler would divide the tokens between the two.
func TestSlowPoolerIsNotReplaced(t *testing.T) {
	const every, pause = 500 * time.Millisecond, 30 * time.Millisecond
	s := runConformant(3, Limit{Rate: 400 * PerSecond, Burst: 200}, 60, 16, scenario{run: func(s *sim) {
		pooler := s.nodes[s.index(rendezvous(testWorkspace, s.members, 1)[0])]
		for at := faultAt; at < caseEnds; at += every {
			s.at(at, func() { pooler.suspendedUntil = s.now + pause })
		}
	}}, buildNode)
	for _, at := range s.refused {
		if (at-faultAt)%every > 2*pause {
			t.Fatalf("%d refusals, one at %v, %v after the last pause", len(s.refused), at, (at-faultAt)%every)
		}
	}
}

// TestBaselinesFail checks that the workloads detect the faults of the baselines:
// a static split refuses requests within the limit, and a leased owner admits
// more than the limit.
func TestBaselinesFail(t *testing.T) {
	limit := Limit{Rate: 20 * PerSecond, Burst: 20}
	if s := runConformant(3, limit, 95, 16, scenarios[0], buildSplit); len(s.refused) == 0 {
		t.Error("a static split refused nothing within the rate")
	}
	s := newSim(3, 4, limit, quickTiming(1), buildOwner)
	owner := rendezvous(testWorkspace, s.members, 1)[0]
	s.partitioned = func(a, b int) bool { return a != b && (s.nodes[a].id == owner) != (s.nodes[b].id == owner) }
	s.at(time.Second, func() {
		left := slices.DeleteFunc(slices.Clone(s.members), func(m member.InstanceID) bool { return m == owner })
		s.publish(left, func(i int) time.Duration { return time.Duration(s.index(owner)-i) * time.Duration(s.index(owner)-i) })
	})
	flood(s, 4, 3*time.Second)
	s.runUntil(3 * time.Second)
	if x := excess(limit, s.admitted); x <= 0 {
		t.Error("a leased owner admitted nothing over the limit")
	}
}

func BenchmarkConformant(b *testing.B) {
	builds := []struct {
		name    string
		minters int
		build   func(*sim, *simNode) decider
	}{
		{"tokens16", 16, buildNode}, {"tokens4", 4, buildNode}, {"split", 1, buildSplit}, {"owner", 1, buildOwner},
	}
	for _, sc := range scenarios {
		for _, limit := range benchLimits {
			for _, load := range []int64{50, 95} {
				for _, bu := range builds {
					b.Run(fmt.Sprintf("%s/%d-%d/%d%%/%s", sc.name, limit.Rate/PerSecond, limit.Burst, load, bu.name), func(b *testing.B) {
						var s *sim
						for range b.N {
							s = worst(limit, load, bu.minters, sc, bu.build)
						}
						report(b, s)
					})
				}
			}
		}
	}
}

// worst runs all seeds and returns the run with the most refusals.
func worst(limit Limit, load int64, minters int, sc scenario, build func(*sim, *simNode) decider) (worst *sim) {
	for seed := range uint64(seeds) {
		s := runConformant(seed, limit, load, minters, sc, build)
		if worst == nil || len(s.refused) > len(worst.refused) {
			worst = s
		}
	}
	return worst
}

func report(b *testing.B, s *sim) {
	seconds := (caseEnds - warmUp).Seconds() * fleetSize
	b.ReportMetric(float64(len(s.refused))/float64(s.requests)*100, "%wrongful")
	b.ReportMetric(float64(countFrom(s.refused, faultAt+time.Second)), "wrongful-after-1s")
	b.ReportMetric(float64(s.localGrants)/float64(s.requests)*100, "%local")
	b.ReportMetric(float64(s.asks)/float64(s.requests), "asks/req")
	b.ReportMetric(float64(s.calls)/seconds, "calls/s/node")
	b.ReportMetric(float64(s.bytes)/seconds, "B/s/node")
	b.ReportMetric(float64(excess(s.limit, s.admitted))/float64(Token), "excess")
	b.ReportMetric(0, "ns/op")
}

func BenchmarkLocalAsk(b *testing.B) {
	s := newSim(1, 1, Limit{Rate: MaxRate, Burst: MaxBurst}, quickTiming(1), buildNode)
	n := s.nodes[0]
	w := n.d.(*Node).workspaces[testWorkspace]
	b.ReportAllocs()
	for i := range b.N {
		if i%1000 == 0 {
			w.entry.held.lots = append(w.entry.held.lots[:0], lot{rate: MaxRate, from: -2 * time.Millisecond, to: 0})
		}
		if d, err := n.d.Ask(s.time(), testWorkspace, RequestID(i), 0, &n.fx); err != nil || d.Verdict != Granted {
			b.Fatal(d, err)
		}
	}
}

// BenchmarkLocalRefusal measures a refusal by the entry, without an ask, while
// the workspace has no tokens.
func BenchmarkLocalRefusal(b *testing.B) {
	s := newSim(1, 1, Limit{Rate: PerSecond, Burst: 1}, quickTiming(1), buildNode)
	n := s.nodes[0]
	n.d.(*Node).workspaces[testWorkspace].entry.refuseUntil = time.Hour
	b.ReportAllocs()
	for i := range b.N {
		if d, err := n.d.Ask(s.time(), testWorkspace, RequestID(i), 0, &n.fx); err != nil || d.Verdict != Refused {
			b.Fatal(d, err)
		}
	}
}

// BenchmarkPooledAsk measures one ask from the entry to the pooler and its
// answer.
func BenchmarkPooledAsk(b *testing.B) {
	timing := DefaultTiming()
	s := newSim(1, fleetSize, Limit{Rate: 1000 * PerSecond, Burst: 200}, timing, buildNode)
	s.at(warmUp, func() { s.request(s.nodes[1]) })
	s.runUntil(warmUp + 100*time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		s.request(s.nodes[1])
		s.runUntil(s.now + 10*time.Millisecond)
	}
	if len(s.refused) > 0 {
		b.Fatal(s.refused[0])
	}
}
