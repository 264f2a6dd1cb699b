package quota

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucancove/toucancove/core/member"
)

// quickTiming returns short times, so that the list can change several times in
// one run.
func quickTiming(minters int) Timing {
	t := DefaultTiming()
	t.ListLag = 300 * time.Millisecond
	t.IsolateAfter = 200 * time.Millisecond
	t.Horizon = 250 * time.Millisecond
	t.HoldOff = t.ListLag + t.IsolateAfter + t.Horizon
	t.MaxMinters = minters
	return t
}

const boundRun = 6 * time.Second

// flood sends requests to random nodes in bursts, at a multiple of the rate.
func flood(s *sim, factor int64, end time.Duration) {
	mean := time.Second * 1000 / time.Duration(int64(s.limit.Rate)*factor)
	var next func()
	next = func() {
		for range 1 + s.rng.IntN(6) {
			s.request(s.nodes[s.rng.IntN(len(s.nodes))])
		}
		if s.now < end {
			s.at(s.now+time.Duration(s.rng.Int64N(int64(7*mean)))+1, next)
		}
	}
	s.at(0, next)
}

// fault is one randomly generated fault.
type fault struct {
	kind     int
	node     int
	at       time.Duration
	duration time.Duration
	mask     uint64
}

func drawFaults(t *rapid.T, nodes int) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind:     rapid.IntRange(0, 4).Draw(t, "kind"),
			node:     rapid.IntRange(0, nodes-1).Draw(t, "node"),
			at:       time.Duration(rapid.Int64Range(0, int64(boundRun)).Draw(t, "at")),
			duration: time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "lasts")),
			mask:     rapid.Uint64().Draw(t, "mask"),
		}
	}), 0, 8).Draw(t, "faults")
}

// inject schedules a fault.
func (s *sim) inject(f fault) {
	n := s.nodes[f.node]
	switch f.kind {
	case 0: // suspend the process; the platform may delist the instance meanwhile
		s.at(f.at, func() { n.suspendedUntil = max(n.suspendedUntil, s.now+f.duration) })
		s.delistAndRejoin(f, f.mask%2 == 0)
	case 1: // crash, and restart at the same address
		s.at(f.at, func() { n.down = true })
		s.at(f.at+f.duration, func() { s.start(n, 0) })
	case 2: // network partition
		s.at(f.at, func() { s.partition(f.mask) })
		s.at(f.at+f.duration, func() { s.partitioned = func(int, int) bool { return false } })
		s.delistAndRejoin(f, s.minority(f.mask)>>f.node&1 == 1)
	case 3: // the platform delists the instance and lists it again
		s.delistAndRejoin(f, true)
	case 4: // planned shutdown and restart
		s.at(f.at, func() {
			if q, ok := n.d.(*Node); ok && !n.down {
				s.on(n, func() { q.Leave(s.time(), &n.fx) })
			}
		})
		s.at(f.at+f.duration/2, func() { n.down = true })
		s.at(f.at+f.duration, func() { s.start(n, 0) })
	}
}

// minority returns the smaller side of a partition as a bit set. It can't reach
// the platform either.
func (s *sim) minority(mask uint64) uint64 {
	in := 0
	for i := range s.nodes {
		in += int(mask >> i & 1)
	}
	if 2*in < len(s.nodes) {
		return mask
	}
	return ^mask
}

func (s *sim) partition(mask uint64) {
	small := s.minority(mask)
	s.partitioned = func(a, b int) bool {
		if a == b {
			return small>>a&1 == 1
		}
		return mask>>a&1 != mask>>b&1
	}
}

func (s *sim) delistAndRejoin(f fault, delist bool) {
	if !delist {
		return
	}
	id := s.nodes[f.node].id
	lag := func(int) time.Duration { return time.Duration(s.rng.Int64N(int64(s.timing.ListLag))) }
	s.at(f.at+time.Duration(f.mask%1000)*time.Millisecond, func() {
		s.publish(slices.DeleteFunc(slices.Clone(s.members), func(m member.InstanceID) bool { return m == id }), lag)
	})
	s.at(f.at+f.duration+s.timing.ListLag, func() {
		if !slices.Contains(s.members, id) {
			s.publish(append(slices.Clone(s.members), id), lag)
		}
	})
}

// boundCase generates a fleet, a limit and faults, and returns the finished run.
func boundCase(t *rapid.T, build func(*sim, *simNode) decider) *sim {
	size := rapid.IntRange(2, 7).Draw(t, "size")
	limit := Limit{
		Rate:  Rate(rapid.Int64Range(1500, 400_000).Draw(t, "rate")),
		Burst: rapid.Int64Range(1, 60).Draw(t, "burst"),
	}
	s := newSim(rapid.Uint64().Draw(t, "seed"), size, limit, quickTiming(rapid.IntRange(1, 5).Draw(t, "minters")), build)
	s.loss = rapid.IntRange(0, 200).Draw(t, "loss")
	s.dup = rapid.IntRange(0, 200).Draw(t, "dup")
	spread := rapid.Int64Range(1, int64(30*time.Millisecond)).Draw(t, "spread")
	s.delay = func() time.Duration { return time.Duration(s.rng.Int64N(spread)) }
	for _, f := range drawFaults(t, size) {
		s.inject(f)
	}
	flood(s, 3, boundRun)
	s.runUntil(boundRun)
	return s
}

// TestWindowBoundHoldsUnderFaults checks that random faults, message loss and
// duplicates never cause more requests to be admitted than rate·W + burst in any
// window W.
func TestWindowBoundHoldsUnderFaults(t *testing.T) {
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		s := boundCase(t, buildNode)
		if x := excess(s.limit, s.admitted); x > 0 {
			t.Fatalf("admitted %d picotokens over the limit %+v", x, s.limit)
		}
		admitted += len(s.admitted)
	})
	if admitted == 0 {
		t.Fatal("nothing was admitted in any run")
	}
}
