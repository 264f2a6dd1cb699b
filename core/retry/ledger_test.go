package retry

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// graph runs one root request in a call graph of nodes, each with its own
// ledger.
type graph struct {
	ledgers    map[Key]*Ledger // by depth and replica, which is stored in Request
	depth      int
	fanOut     int
	upstream   int  // attempts that each upstream makes per call
	duplicated bool // each call gets 4 attempts of its own, instead of a part
	chance     func(percent int) bool
	runs       map[string]int
	retries    int
}

func (g *graph) ledger(depth, replica int) *Ledger {
	node := Key{Request: RequestID{byte(replica)}, Depth: uint8(depth)}
	if g.ledgers[node] == nil {
		g.ledgers[node] = NewLedger(DefaultMaxRequests)
	}
	return g.ledgers[node]
}

// call makes attempts until one succeeds or none is left.
func (g *graph) call(path string, depth int, s *AttemptBudget) bool {
	if g.chance(5) {
		return false // refused by the entry before any attempt
	}
	first := true
	for replica := 0; ; replica++ {
		delegated, ok := s.Next()
		if !ok {
			return false
		}
		if !first {
			g.retries++
		}
		first = false
		unused, done := g.run(path, depth, replica%3, delegated)
		if g.chance(20) {
			continue // the response is lost, and the unused attempts with it
		}
		s.Return(delegated, unused)
		if done {
			return true
		}
	}
}

// run delivers one attempt to an upstream, which makes its calls.
func (g *graph) run(path string, depth, replica int, attempts uint8) (unused uint8, ok bool) {
	if g.chance(10) {
		return attempts - 1, false // refused by the guard before it runs
	}
	g.runs[path]++
	if depth == g.depth {
		return attempts - 1, g.chance(50)
	}
	key := Key{Request: RequestID{1}, Depth: uint8(depth)}
	l := g.ledger(depth, replica)
	if err := l.Open(start, key, attempts, start.Add(time.Second)); err != nil {
		return attempts - 1, false
	}
	ok = true
	for kind := range g.fanOut {
		ok = g.upstreamCall(l, key, path, depth, kind) && ok
	}
	return l.Close(key), ok
}

func (g *graph) upstreamCall(l *Ledger, key Key, path string, depth, kind int) bool {
	for n := range g.upstream {
		s, err := l.Call(start, key, CallKey(kind))
		if err != nil {
			return false
		}
		if g.duplicated {
			s = NewAttemptBudget(4)
		}
		if n > 0 {
			g.retries++
		}
		done := g.call(path+"/"+strconv.Itoa(kind), depth+1, &s)
		l.Return(key, s.Unused())
		if done {
			return true
		}
	}
	return false
}

func newGraph(depth, fanOut, upstream int, chance func(int) bool) *graph {
	return &graph{
		ledgers: map[Key]*Ledger{}, runs: map[string]int{},
		depth: depth, fanOut: fanOut, upstream: upstream, chance: chance,
	}
}

func TestAttemptsAreBoundedInAnyGraph(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fanOut := rapid.IntRange(1, 3).Draw(t, "fan-out")
		depth := rapid.IntRange(1, 13/fanOut).Draw(t, "depth")
		attempts := rapid.IntRange(1, 8).Draw(t, "attempts")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		g := newGraph(depth, fanOut, rapid.IntRange(1, 4).Draw(t, "upstream attempts"),
			func(percent int) bool { return rng.IntN(100) < percent })
		s := NewAttemptBudget(uint8(attempts))
		g.call("", 1, &s)
		for path, runs := range g.runs {
			if runs > attempts {
				t.Fatalf("%d runs of %q, more than the root's %d attempts", runs, path, attempts)
			}
		}
		if g.retries > attempts-1 {
			t.Fatalf("%d retries in the graph, more than %d", g.retries, attempts-1)
		}
	})
}

func TestLedger(t *testing.T) {
	key, expires := Key{Request: RequestID{7}, Depth: 2}, start.Add(time.Second)
	open := func(l *Ledger, attempts uint8) {
		if err := l.Open(start, key, attempts, expires); err != nil {
			t.Fatal(err)
		}
	}
	call := func(l *Ledger, now time.Time, kind CallKey) error { _, err := l.Call(now, key, kind); return err }
	tests := []struct {
		name string
		do   func(l *Ledger) error
		want error
	}{
		{"call of an unknown request", func(l *Ledger) error { return call(l, start, 1) }, ErrNotOpen},
		{"first call of each kind is free", func(l *Ledger) error { open(l, 1); return errors.Join(call(l, start, 1), call(l, start, 2)) }, nil},
		{"repeat without attempts", func(l *Ledger) error { open(l, 1); _ = call(l, start, 1); return call(l, start, 1) }, ErrAttemptsSpent},
		{"second delivery makes its own calls", func(l *Ledger) error {
			open(l, 1)
			open(l, 1)
			return errors.Join(call(l, start, 1), call(l, start, 1))
		}, nil},
		{"call after the response", func(l *Ledger) error { open(l, 1); l.Close(key); return call(l, start, 1) }, nil},
		{"repeat after the response", func(l *Ledger) error {
			open(l, 4)
			_ = call(l, start, 1)
			l.Close(key)
			l.Return(key, 3)
			return call(l, start, 1)
		}, ErrAttemptsSpent},
		{"call after the deadline", func(l *Ledger) error { open(l, 4); return call(l, expires, 1) }, ErrNotOpen},
		{"too many kinds of calls", func(l *Ledger) error {
			open(l, 4)
			for kind := range CallKey(MaxCalls) {
				_ = call(l, start, kind)
			}
			return call(l, start, MaxCalls)
		}, ErrTooManyCalls},
		{"full", func(l *Ledger) error {
			open(l, 1)
			_ = l.Open(start, Key{Depth: 1}, 1, expires)
			return l.Open(start, Key{Depth: 3}, 1, expires)
		}, ErrLedgerFull},
		{"expired entries are dropped", func(l *Ledger) error {
			open(l, 1)
			l.Close(key)
			_ = l.Open(start, Key{Depth: 1}, 1, expires)
			return l.Open(expires, Key{Depth: 3}, 1, expires.Add(time.Second))
		}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := tt.do(NewLedger(2)); !errors.Is(err, tt.want) {
				t.Errorf("error %v, want %v", err, tt.want)
			}
		})
	}
}

// BenchmarkChain reports the runs at the deepest upstream for one root request
// with 4 attempts, if every run there fails and each upstream makes 3 attempts:
// the highest number of 20 seeds with attempts divided by the ledger, and for
// comparison the number if each call gets 4 attempts of its own.
func BenchmarkChain(b *testing.B) {
	for depth := 3; depth <= 13; depth += 2 {
		b.Run("hops="+strconv.Itoa(depth), func(b *testing.B) {
			for range b.N {
				worst := 0
				for seed := range uint64(20) {
					rng := rand.New(rand.NewPCG(seed, 1))
					g := newGraph(depth, 1, 3, func(percent int) bool { return percent < 50 && rng.IntN(100) < percent })
					s := NewAttemptBudget(4)
					g.call("", 1, &s)
					for _, runs := range g.runs {
						worst = max(worst, runs)
					}
				}
				b.ReportMetric(float64(worst), "most-runs")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
	b.Run("hops=3/copied", func(b *testing.B) {
		for range b.N {
			g := newGraph(3, 1, 3, func(int) bool { return false })
			g.duplicated = true
			s := NewAttemptBudget(4)
			g.call("", 1, &s)
			b.ReportMetric(float64(g.runs["/0/0"]), "most-runs")
			b.ReportMetric(0, "ns/op")
		}
	})
}

func BenchmarkLedger(b *testing.B) {
	l, now := NewLedger(DefaultMaxRequests), start
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		key := Key{Request: RequestID{byte(i), byte(i >> 8), byte(i >> 16)}}
		if err := l.Open(now, key, 4, now.Add(time.Second)); err != nil {
			b.Fatal(err)
		}
		if _, err := l.Call(now, key, 1); err != nil {
			b.Fatal(err)
		}
		l.Close(key)
	}
}

// TestFinishedRequestsAreEvicted opens many more requests than the ledger
// holds, all finished but with distant deadlines. They must be evicted for new
// requests.
func TestFinishedRequestsAreEvicted(t *testing.T) {
	const bound = 8
	l := NewLedger(bound)
	key := func(n int) Key { return Key{Request: RequestID{byte(n), byte(n >> 8)}} }
	for n := range 100 * bound {
		if err := l.Open(start, key(n), 3, start.Add(time.Hour)); err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		l.Close(key(n))
	}
	if l.Len() > bound {
		t.Fatalf("%d requests held, bound %d", l.Len(), bound)
	}
	if _, err := l.Call(start, key(0), 1); !errors.Is(err, ErrNotOpen) {
		t.Fatalf("call for a dropped request: %v, want ErrNotOpen", err)
	}
	for n := range bound {
		if err := l.Open(start, key(1000+n), 3, start.Add(time.Hour)); err != nil {
			t.Fatalf("running request %d: %v", n, err)
		}
	}
	if err := l.Open(start, key(2000), 3, start.Add(time.Hour)); !errors.Is(err, ErrLedgerFull) {
		t.Fatalf("request above the bound: %v, want ErrLedgerFull", err)
	}
}
