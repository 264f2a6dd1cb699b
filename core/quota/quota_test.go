package quota

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// TestSuspendedMinterMintsNothingAfterResume suspends the only minter until
// another one has taken over. It then receives a pull before the new list, and
// must not mint the tokens of the time that it was suspended.
func TestSuspendedMinterMintsNothingAfterResume(t *testing.T) {
	timing := quickTiming(1)
	n, err := NewNode("a", 1, timing, simStart)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.SetLimit(testWorkspace, Limit{Rate: 10 * PerSecond, Burst: 10}); err != nil {
		t.Fatal(err)
	}
	n.SetList(simStart, List{Members: []member.InstanceID{"a"}, StableFor: time.Hour}, &Effects{})
	for _, c := range []struct {
		at    time.Duration
		mints bool
	}{
		{timing.IsolateAfter, true},
		{timing.IsolateAfter + time.Hour, false},
	} {
		var fx Effects
		n.Handle(simStart.Add(c.at), "b", &Pull{Workspace: testWorkspace, Nonce: Nonce{Boot: 9, Seq: 1}, Ahead: time.Second}, &fx)
		stream := fx.Sends[0].Message.(*Stream)
		// A process mints nothing for Horizon after its start.
		if got := stream.Until > 0 && len(stream.Lots) > 0; got != c.mints {
			t.Errorf("after %v without contact: minted %v, want %v", c.at, stream.Lots, c.mints)
		}
	}
}

// TestRestartedMinterWaitsForHorizon restarts the only minter just after
// it handed out the tokens of the next Horizon. It must not mint them again.
func TestRestartedMinterWaitsForHorizon(t *testing.T) {
	limit := Limit{Rate: 10 * PerSecond, Burst: 1000}
	s := newSim(1, 1, limit, quickTiming(1), buildNode)
	var total Amount
	pull := func() {
		var fx Effects
		s.nodes[0].d.Handle(s.time(), "pooler", &Pull{Workspace: testWorkspace, Nonce: Nonce{Boot: 9, Seq: 1}, Ahead: time.Second}, &fx)
		for _, l := range fx.Sends[0].Message.(*Stream).Lots {
			total += l.Rate.over(l.To - l.From)
		}
	}
	s.runUntil(time.Second)
	pull()
	s.start(s.nodes[0], time.Hour)
	pull()
	if most := limit.Rate.over(time.Second + s.timing.Horizon); total == 0 || total > most {
		t.Errorf("minted %d picotokens in the first second and its horizon, want at most %d", total, most)
	}
}

func TestSharesSumToTheRate(t *testing.T) {
	order := []member.InstanceID{"a", "b", "c", "d", "e", "f", "g"}
	for size := 1; size <= len(order); size++ {
		var sum Rate
		for _, id := range order {
			sum += share(1003, order[:size], id)
		}
		if sum != 1003 {
			t.Errorf("the shares of %d minters sum to %d", size, sum)
		}
	}
}

// TestRetryAfterIsExact retries a refused request just before the Retry-After
// time, which must not be granted, and at that time, which must be.
func TestRetryAfterIsExact(t *testing.T) {
	for _, early := range []time.Duration{time.Millisecond, 0} {
		s := newSim(1, 1, Limit{Rate: 2 * PerSecond, Burst: 3}, quickTiming(1), buildNode)
		s.runUntil(3 * time.Second)
		n := s.nodes[0]
		for range 5 {
			s.request(n)
			s.runUntil(s.now + 10*time.Millisecond)
		}
		d, err := n.d.Ask(s.time(), testWorkspace, 99, 0, &n.fx)
		retryAfter := d.RetryAfter
		if d.Verdict == Pending && len(n.fx.Refusals) == 1 {
			retryAfter = n.fx.Refusals[0].RetryAfter
		}
		if err != nil || len(s.admitted) != 3 || retryAfter <= 0 {
			t.Fatalf("admitted %d, then %+v, %+v, %v", len(s.admitted), d, n.fx, err)
		}
		n.fx.Reset()
		s.runUntil(s.now + retryAfter - early)
		if _, err := n.d.Ask(s.time(), testWorkspace, 100, 0, &n.fx); err != nil {
			t.Fatal(err)
		}
		if got := len(n.fx.Granted) == 1; got != (early == 0) {
			t.Errorf("%v before the end of Retry-After of %v: granted %v", early, retryAfter, got)
		}
	}
}

// TestCreditCountsFromReceiptAndExpiresFromIssue checks that the time from which
// received tokens can be spent counts from receipt, and their expiry from the
// issue of the nonce.
func TestCreditCountsFromReceiptAndExpiresFromIssue(t *testing.T) {
	limit := Limit{Rate: 10 * PerSecond, Burst: 10} // a lifetime of 1 s
	const issued, received = 100 * time.Millisecond, 300 * time.Millisecond
	for _, c := range []struct {
		name string
		at   time.Duration
		want Amount
	}{
		{"on receipt nothing has been minted", received, 0},
		{"one token after its minting time", received + 100*time.Millisecond, Token},
		{"both tokens at the end of the lot", received + 200*time.Millisecond, 2 * Token},
		{"the first token expires one lifetime after the issue", issued + 1100*time.Millisecond, Token},
		{"both tokens have expired", issued + 1200*time.Millisecond, 0},
	} {
		var b bucket
		credit(&b, limit, received, issued, time.Nanosecond, []Lot{{Rate: limit.Rate, From: 0, To: 200 * time.Millisecond}})
		if got := b.available(c.at, c.at, limit.lifetime()); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
		credit(&b, limit, received, issued, 30*time.Millisecond, []Lot{{Rate: 1, To: time.Millisecond}})
		if rounded := b.lots[1].slack; rounded != 210*time.Millisecond {
			t.Errorf("%s: slack of 200 ms rounded to %v", c.name, rounded)
		}
	}
}

// TestExcessBeyondListLagIsBounded delays the list of the only minter by more
// than ListLag, while its successor mints already. The excess over the limit is
// at most the minter's share times (lag + Horizon - HoldOff).
func TestExcessBeyondListLagIsBounded(t *testing.T) {
	limit := Limit{Rate: 100 * PerSecond, Burst: 20}
	timing := quickTiming(1)
	const beyond = 700 * time.Millisecond
	order := rendezvous(testWorkspace, []member.InstanceID{"i00", "i01", "i02"}, 3)
	successor := order[1:]
	// The old minter can hand out tokens of the next Horizon until its list
	// arrives; the successor starts HoldOff after it received its own list.
	late := timing.HoldOff - timing.Horizon + beyond
	allowed := limit.Rate.over(beyond)
	run := func(lag time.Duration) Amount {
		s := newSim(7, 3, limit, timing, buildNode)
		s.at(time.Second, func() {
			s.publish(slices.Clone(successor), func(i int) time.Duration {
				if s.nodes[i].id == order[0] {
					return lag
				}
				return 0
			})
		})
		// The old minter is partitioned from the other nodes, so that each side
		// has its own pooler. It wrongly assumes that its list is current.
		s.partitioned = func(a, b int) bool { return (s.nodes[a].id == order[0]) != (s.nodes[b].id == order[0]) }
		s.published = nil
		flood(s, 4, 5*time.Second)
		s.at(0, s.reportContactAlways)
		s.runUntil(5 * time.Second)
		return excess(limit, s.admitted)
	}
	if x := run(timing.ListLag); x > 0 {
		t.Errorf("excess of %d within the bound", x)
	}
	x := run(late)
	t.Logf("excess %.2f tokens, allowed %.2f", float64(x)/float64(Token), float64(allowed)/float64(Token))
	if x <= 0 || x > allowed {
		t.Errorf("excess of %d picotokens past the bound, want over 0 and at most %d", x, allowed)
	}
}

// reportContactAlways makes every node report contact, also if its list lags.
func (s *sim) reportContactAlways() {
	for _, n := range s.nodes {
		s.on(n, func() { n.d.Contact(s.time(), s.time()) })
	}
	s.at(s.now+20*time.Millisecond, s.reportContactAlways)
}

func TestLocalGrantDoesNotAllocate(t *testing.T) {
	s := newSim(1, 1, Limit{Rate: 1_000_000 * PerSecond, Burst: 1_000_000}, quickTiming(1), buildNode)
	s.runUntil(2 * time.Second)
	n := s.nodes[0]
	w := n.d.(*Node).workspaces[testWorkspace]
	w.entry.held.add(lot{rate: s.limit.Rate, from: s.now - 500*time.Millisecond, to: s.now})
	id := RequestID(0)
	allocs := testing.AllocsPerRun(1000, func() {
		id++
		d, err := n.d.Ask(s.time(), testWorkspace, id, 0, &n.fx)
		if err != nil || d.Verdict != Granted {
			t.Fatal(d, err)
		}
	})
	if allocs != 0 {
		t.Errorf("%v allocations", allocs)
	}
}

func TestTimingAndLimitsAreValidated(t *testing.T) {
	short := DefaultTiming()
	short.HoldOff = short.Horizon + short.ListLag + short.IsolateAfter - 1
	if _, err := NewNode("a", 1, short, simStart); !errors.Is(err, ErrHoldOffTooShort) {
		t.Errorf("short hold-off: %v", err)
	}
	for _, l := range []Limit{{0, 1}, {1, 0}, {MaxRate + 1, 1}, {1, MaxBurst}, {PerSecond, MaxBurst + 1}} {
		var invalid *InvalidLimitError
		if err := l.Validate(); !errors.As(err, &invalid) {
			t.Errorf("%+v: %v", l, err)
		}
	}
}
