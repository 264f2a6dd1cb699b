package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

var start = time.Unix(1_000_000, 0)

// candidates returns n serving candidates distributed over the zones.
func candidates(n int, zones ...member.Zone) []Candidate {
	var out []Candidate
	for i := range n {
		out = append(out, Candidate{
			ID: member.InstanceID(fmt.Sprintf("i%d", i)), Zone: zones[i%len(zones)], Boot: 1,
		})
	}
	return out
}

func newTestTable(n int, zones ...member.Zone) *Table {
	t := NewTable(zones[0])
	t.Update(start, candidates(n, zones...))
	return t
}

// countPicks makes count picks, each finished at once as Abandoned, and returns
// the number of picks per instance.
func countPicks(t *Table, now time.Time, count int, req Request) map[member.InstanceID]int {
	seen := map[member.InstanceID]int{}
	for n := range count {
		c, err := t.Pick(now, splitMix64(uint64(n)), req)
		if err != nil {
			continue
		}
		seen[c.ID]++
		t.Finish(now, c, Outcome{Result: Abandoned})
	}
	return seen
}

// finish finishes one attempt at the instance with the given outcome.
func finish(tb testing.TB, t *Table, now time.Time, id member.InstanceID, o Outcome) {
	tb.Helper()
	c, err := t.Pin(now, id)
	if err != nil {
		tb.Fatal(err)
	}
	t.Finish(now, c, o)
}

func TestEvidence(t *testing.T) {
	report := func(state State, boot member.BootID) *Report { return &Report{State: state, Boot: boot} }
	connectRefused := Outcome{Result: ConnectFailed}
	tests := []struct {
		name     string
		outcomes []Outcome
		after    time.Duration
		request  Request
		picked   bool // whether i0 is picked at all
	}{
		{name: "no evidence", picked: true},
		{name: "excluded", request: Request{Exclude: []member.InstanceID{"i0"}}},
		{name: "connect refused", outcomes: []Outcome{connectRefused}},
		{name: "connect refused, before the probe", outcomes: []Outcome{connectRefused}, after: 900 * time.Millisecond, request: Request{Retryable: true}},
		{name: "connect refused, probe", outcomes: []Outcome{connectRefused}, after: time.Second, request: Request{Retryable: true}, picked: true},
		{name: "connect refused, probe that is not retryable", outcomes: []Outcome{connectRefused}, after: time.Second, picked: true},
		{name: "lost responses, not retryable", outcomes: []Outcome{{Result: Lost}, {Result: Lost}}, after: 4 * time.Second},
		{name: "lost responses, late probe", outcomes: []Outcome{{Result: Lost}, {Result: Lost}}, after: 5 * time.Second, picked: true},
		{name: "one lost response", outcomes: []Outcome{{Result: Lost}}, after: 100 * time.Millisecond, picked: true},
		{name: "two lost responses", outcomes: []Outcome{{Result: Lost}, {Result: Lost}}},
		{name: "failing fast", outcomes: []Outcome{{Result: Failed}, {Result: Failed}, {Result: Failed}, {Result: Failed}}},
		{name: "abandoned by the caller", outcomes: []Outcome{{Result: Abandoned}, {Result: Abandoned}}, picked: true},
		{name: "leaving", outcomes: []Outcome{{Report: report(Leaving, 1)}}, after: 19 * time.Second, request: Request{Retryable: true}},
		{name: "leaving, probe", outcomes: []Outcome{{Report: report(Leaving, 1)}}, after: 20 * time.Second, request: Request{Retryable: true}, picked: true},
		{name: "leaving, not retryable", outcomes: []Outcome{{Report: report(Leaving, 1)}}, after: 59 * time.Second},
		{name: "draining", outcomes: []Outcome{{Report: report(Draining, 1)}}, after: 9 * time.Second, request: Request{Retryable: true}},
		{name: "draining, probe", outcomes: []Outcome{{Report: report(Draining, 1)}}, after: 10 * time.Second, request: Request{Retryable: true}, picked: true},
		{name: "serving again", outcomes: []Outcome{{Report: report(Draining, 1)}, {Report: report(Serving, 1)}}, picked: true},
		{name: "long waits timed out", outcomes: []Outcome{{Result: TimedOut, Latency: time.Second}, {Result: TimedOut, Latency: time.Second}}},
		{name: "short waits timed out", outcomes: []Outcome{{Result: TimedOut, Latency: time.Millisecond}, {Result: TimedOut, Latency: time.Millisecond}}, picked: true},
		{name: "restarted after leaving", outcomes: []Outcome{{Report: report(Leaving, 1)}, {Report: report(Serving, 2)}}, picked: true},
		{name: "recovered", outcomes: []Outcome{connectRefused, {Result: Completed}}, picked: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTestTable(4, "a")
			for _, o := range tt.outcomes {
				finish(t, table, start, "i0", o)
			}
			now := start.Add(tt.after)
			table.Update(now, candidates(4, "a")) // the list lags and still has the instance as serving
			if got := countPicks(table, now, 400, tt.request)["i0"] > 0; got != tt.picked {
				t.Errorf("i0 picked = %v, want %v", got, tt.picked)
			}
		})
	}
}

func TestListStates(t *testing.T) {
	table := newTestTable(2, "a")
	list := candidates(2, "a")
	list[0].State = Leaving
	table.Update(start, list)
	if seen := countPicks(table, start, 100, Request{}); seen["i0"] != 0 || seen["i1"] != 100 {
		t.Errorf("picks = %v, want i1 only", seen)
	}
	table.Update(start, nil)
	if _, err := table.Pick(start, 1, Request{}); !errors.Is(err, ErrNoInstance) {
		t.Errorf("Pick from an empty table: %v, want ErrNoInstance", err)
	}
	if _, err := table.Pin(start, "i0"); !errors.Is(err, ErrNoInstance) {
		t.Errorf("Pin of an unknown instance: %v, want ErrNoInstance", err)
	}
}

func TestEjectionIsCapped(t *testing.T) {
	for n := 1; n <= 7; n++ {
		table := newTestTable(n, "a")
		for i := range n {
			finish(t, table, start, member.InstanceID(fmt.Sprintf("i%d", i)), Outcome{Result: ConnectFailed})
		}
		if got := table.ejectedCount(); got != n/2 {
			t.Errorf("%d of %d instances ejected, want %d", got, n, n/2)
		}
		table.Update(start, candidates(2, "a"))
		if got := table.ejectedCount(); got > 1 {
			t.Errorf("%d of 2 instances ejected after the list shrank", got)
		}
	}
}

func TestEjectedInstanceIsUsedIfOthersLeave(t *testing.T) {
	failures := []Outcome{{Result: Lost}, {Result: Lost}, {Result: ConnectFailed}}
	leave := func(table *Table) { finish(t, table, start, "i1", Outcome{Report: &Report{Boot: 1, State: Leaving}}) }
	for _, leaveFirst := range []bool{true, false} {
		table := newTestTable(2, "a")
		if leaveFirst {
			leave(table)
		}
		for _, o := range failures {
			finish(t, table, start, "i0", o)
		}
		if !leaveFirst {
			leave(table)
		}
		if seen := countPicks(table, start, 10, Request{}); seen["i0"] != 10 {
			t.Errorf("picks = %v, want i0 only: the other instance is leaving (first: %v)", seen, leaveFirst)
		}
	}
}

func TestProbeRunsOnceAndBacksOff(t *testing.T) {
	table := newTestTable(4, "a")
	finish(t, table, start, "i0", Outcome{Result: ConnectFailed})
	now := start.Add(minBackoff)
	probe, err := table.Pick(now, 1, Request{Retryable: true})
	if err != nil || !probe.Probe || probe.ID != "i0" {
		t.Fatalf("Pick = %+v, %v; want a probe of i0", probe, err)
	}
	if seen := countPicks(table, now, 100, Request{Retryable: true}); seen["i0"] != 0 {
		t.Errorf("%d picks while a probe was in flight, want 0", seen["i0"])
	}
	table.Finish(now, probe, Outcome{Result: ConnectFailed})
	if seen := countPicks(table, now.Add(2*minBackoff-1), 100, Request{Retryable: true}); seen["i0"] != 0 {
		t.Errorf("%d picks before twice the backoff, want 0", seen["i0"])
	}
	if seen := countPicks(table, now.Add(2*minBackoff), 100, Request{Retryable: true}); seen["i0"] == 0 {
		t.Error("no probe after twice the backoff")
	}
}

// TestLateReportDoesNotEndLeaving finishes an attempt that was in flight when
// the instance began to leave with a report that it is still serving.
func TestLateReportDoesNotEndLeaving(t *testing.T) {
	serving := Outcome{Report: &Report{Boot: 1}}
	listed := candidates(2, "a")
	listed[0].State = Leaving
	for name, leave := range map[string]func(*Table){
		"published": func(table *Table) { table.Update(start.Add(1), listed) },
		"reported": func(table *Table) {
			finish(t, table, start.Add(1), "i0", Outcome{Report: &Report{Boot: 1, State: Leaving}})
		},
	} {
		table := newTestTable(2, "a")
		late := mustPin(t, table, start, "i0")
		leave(table)
		table.Finish(start.Add(2), late, serving)
		if seen := countPicks(table, start.Add(3), 100, Request{}); seen["i0"] != 0 {
			t.Errorf("%s: %d requests to the leaving instance, want 0", name, seen["i0"])
		}
	}
}

func TestLeavingInstanceGetsOneProbe(t *testing.T) {
	table := newTestTable(2, "a")
	finish(t, table, start, "i0", Outcome{Report: &Report{Boot: 1, State: Leaving}})
	now := start.Add(DefaultPolicy.LeavingProbeDelay)
	table.Update(now, candidates(2, "a"))
	probe, err := table.Pick(now, 1, Request{Retryable: true})
	if err != nil || !probe.Probe {
		t.Fatalf("Pick = %+v, %v; want a probe", probe, err)
	}
	if seen := countPicks(table, now, 100, Request{Retryable: true}); seen["i0"] != 0 {
		t.Errorf("%d requests besides the probe, want 0", seen["i0"])
	}
	table.Finish(now, probe, Outcome{Result: ConnectFailed})
	if seen := countPicks(table, now.Add(DefaultPolicy.LeavingProbeDelay-1), 100, Request{Retryable: true}); seen["i0"] != 0 {
		t.Errorf("%d requests soon after a failed probe, want 0", seen["i0"])
	}
}

func TestHungInstanceIsAvoidedBeforeTimeout(t *testing.T) {
	table := newTestTable(3, "a")
	mustPin(t, table, start, "i0")
	if seen := countPicks(table, start.Add(minHangTimeout+1), 300, Request{}); seen["i0"] != 0 {
		t.Errorf("%d picks of the unresponsive instance, want 0", seen["i0"])
	}
	zones := newTestTable(2, "a", "b")
	for range minHungRequests {
		mustPin(t, zones, start, "i0")
	}
	if seen := countPicks(zones, start.Add(minHangTimeout/4+1), 100, Request{}); seen["i0"] != 0 {
		t.Errorf("%d picks of the own zone, whose instance is unresponsive with several requests in flight, want 0", seen["i0"])
	}
}

func TestHung(t *testing.T) {
	late := start.Add(minHangTimeout)
	tests := []struct {
		name    string
		waiting int
		leaving bool      // whether the other instance is leaving
		after   []Outcome // of attempts finished while the others wait
		before  []Outcome // of attempts finished before the others are sent
		now     time.Time
		want    bool
	}{
		{name: "one request waits", waiting: 1, now: late},
		{name: "several wait", waiting: minHungRequests, now: late, want: true},
		{name: "several wait, no other instance serving", waiting: minHungRequests, leaving: true, now: late},
		{name: "several wait, not for long", waiting: minHungRequests, now: late.Add(-1)},
		{name: "one timed out", waiting: minHungRequests, after: []Outcome{{Result: TimedOut, Latency: time.Second}}, now: late, want: true},
		{name: "one got a response", waiting: minHungRequests, after: []Outcome{{Result: Completed}}, now: late},
		{name: "one waits after lost responses", waiting: 1, before: []Outcome{{Result: Lost}, {Result: Lost}}, now: late, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTestTable(2, "a")
			for _, o := range tt.before {
				finish(t, table, start, "i0", o)
			}
			var c Choice
			for range tt.waiting {
				c = mustPin(t, table, start, "i0")
			}
			if tt.leaving {
				finish(t, table, start, "i1", Outcome{Report: &Report{Boot: 1, State: Leaving}})
			}
			for _, o := range tt.after {
				table.Finish(late, mustPin(t, table, start, "i0"), o)
			}
			if got := table.Hung(tt.now, c, nil); got != tt.want {
				t.Errorf("Hung = %v, want %v", got, tt.want)
			}
		})
	}
}

// TestServiceWideFailureEjectsNone lets all instances fail in random order,
// as they do when a service that they depend on is slow.
func TestServiceWideFailureEjectsNone(t *testing.T) {
	for _, outcome := range []Outcome{{Result: Failed}, {Result: Lost}, {Result: TimedOut, Latency: time.Second}} {
		for seed := range uint64(20) {
			table := newTestTable(6, "a", "b")
			rng := rand.New(rand.NewPCG(seed, 1))
			for range 60 {
				finish(t, table, start, member.InstanceID(fmt.Sprintf("i%d", rng.IntN(6))), outcome)
			}
			for _, s := range table.Statuses(start) {
				if s.Ejected || s.Suspect {
					t.Errorf("%s ejected: %v, suspect: %v after result %d everywhere (seed %d)", s.ID, s.Ejected, s.Suspect, outcome.Result, seed)
				}
			}
		}
	}
}

func TestZonePreference(t *testing.T) {
	tests := []struct {
		name         string
		delay        time.Duration
		extraLatency time.Duration // additional latency of the own zone above 10 ms, not in its reports
		age          time.Duration
		own          bool
	}{
		{name: "idle", own: true},
		{name: "delay below the cost of the other zone", delay: 2 * time.Millisecond, own: true},
		{name: "delay above the cost of the other zone", delay: 8 * time.Millisecond},
		{name: "reports of zero, twice as slow", extraLatency: 10 * time.Millisecond, own: true},
		{name: "reports of zero, far slower", extraLatency: 40 * time.Millisecond},
		{name: "old report", delay: 8 * time.Millisecond, age: 5 * time.Second, own: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTestTable(4, "a", "b")
			for n := range 4 * minZoneSamples {
				i := n % 4
				guard := 10 * time.Millisecond
				delay := time.Duration(0)
				if i%2 == 0 {
					guard, delay = guard+tt.extraLatency, tt.delay
				}
				finish(t, table, start, member.InstanceID(fmt.Sprintf("i%d", i)), Outcome{
					Latency: guard + time.Duration(i%2)*3*time.Millisecond,
					Report:  &Report{Boot: 1, QueueDelay: delay, GuardTime: guard},
				})
			}
			seen := countPicks(table, start.Add(tt.age), 100, Request{})
			if own := seen["i0"]+seen["i2"] == 100; own != tt.own {
				t.Errorf("picks = %v, want own zone only: %v", seen, tt.own)
			}
		})
	}
}

func TestIdleOwnZoneIsKeptDespiteLatencyVariance(t *testing.T) {
	table := newTestTable(4, "a", "b")
	rng := rand.New(rand.NewPCG(1, 1))
	now, otherZone := start, 0
	for n := range 20_000 {
		now = now.Add(time.Millisecond)
		c, err := table.Pick(now, rng.Uint64(), Request{})
		if err != nil {
			t.Fatal(err)
		}
		if c.Zone != "a" {
			otherZone++
		}
		latency := time.Duration(rng.ExpFloat64() * float64(10*time.Millisecond))
		if n == 0 {
			latency = time.Microsecond
		}
		table.Finish(now, c, Outcome{Latency: latency, Report: &Report{Boot: 1, GuardTime: latency}})
	}
	if otherZone > 0 {
		t.Errorf("%d of 20000 requests left an idle zone, want 0", otherZone)
	}
}

func TestStaleReportDecaysToTypicalDelay(t *testing.T) {
	table := newTestTable(2, "a")
	busy := Outcome{Latency: 10 * time.Millisecond, Report: &Report{Boot: 1, QueueDelay: 40 * time.Millisecond}}
	finish(t, table, start, "i0", Outcome{Latency: 10 * time.Millisecond, Report: &Report{Boot: 1}})
	now := start
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		finish(t, table, now, "i1", busy)
	}
	table.Finish(now, mustPin(t, table, now, "i0"), Outcome{Result: Abandoned})
	if typical, got := table.queueDelay.value, table.find("i0").queueDelay.estimate(now, table.queueDelay.value); got != typical {
		t.Errorf("queue delay of zero reported 5 s ago is estimated as %v, want the typical %v", got, typical)
	}
}

func mustPin(tb testing.TB, t *Table, now time.Time, id member.InstanceID) Choice {
	tb.Helper()
	c, err := t.Pin(now, id)
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

func TestSlowStart(t *testing.T) {
	table := newTestTable(3, "a")
	table.Update(start, candidates(4, "a"))
	equalShare := 1000.0
	for _, tt := range []struct {
		age time.Duration
		max float64
	}{{0, 0.3}, {DefaultPolicy.SlowStart / 2, 0.8}} {
		if got := float64(countPicks(table, start.Add(tt.age), 4000, Request{})["i3"]); got == 0 || got > tt.max*equalShare {
			t.Errorf("new instance picked %v times at age %v, want 1 to %v", got, tt.age, tt.max*equalShare)
		}
	}
	if got := float64(countPicks(table, start.Add(DefaultPolicy.SlowStart), 4000, Request{})["i3"]); got < 0.8*equalShare {
		t.Errorf("instance picked %v times after its slow start, want about %v", got, equalShare)
	}
	alone := newTestTable(1, "a")
	alone.Update(start, []Candidate{{ID: "new", Zone: "a"}})
	if seen := countPicks(alone, start, 50, Request{}); seen["new"] != 50 {
		t.Errorf("picks = %v, want the only instance each time", seen)
	}
}

func TestEqualInstancesGetEqualShares(t *testing.T) {
	for n := 2; n <= 5; n++ {
		equalShare := 4000 / n
		for id, got := range countPicks(newTestTable(n, "a"), start, 4000, Request{}) {
			if got < equalShare*8/10 || got > equalShare*12/10 {
				t.Errorf("%s of %d equal instances picked %d times of 4000, want about %d", id, n, got, equalShare)
			}
		}
	}
}

// TestFailingMajorityIsEjected lets three of four instances fail 70% of their
// requests although they report no problem. The fourth fails none and can carry
// the load, so the failing majority must be ejected.
func TestFailingMajorityIsEjected(t *testing.T) {
	table := NewTableWith("a", ChainPolicy)
	table.Update(start, candidates(4, "a"))
	random := rand.New(rand.NewPCG(1, 5))
	const length, detection = 6 * time.Second, 2 * time.Second
	failed, sent := 0, 0
	for at := time.Duration(0); at < length; at += 5 * time.Millisecond {
		now := start.Add(at)
		c, err := table.Pick(now, random.Uint64(), Request{Retryable: true})
		if err != nil {
			t.Fatal(err)
		}
		o := Outcome{Result: Completed, Latency: 30 * time.Millisecond}
		if c.ID != "i3" && random.Float64() < 0.7 {
			o = Outcome{Result: Failed, Latency: time.Millisecond}
		}
		table.Finish(now, c, o)
		if at < detection {
			continue
		}
		sent++
		if o.Result == Failed {
			failed++
		}
	}
	if share := float64(failed) / float64(sent); share > 0.1 {
		t.Errorf("%.2f of %d requests failed after the failing instances were detected, want at most 0.1", share, sent)
	}
}
