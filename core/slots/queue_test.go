package slots

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

var start = time.Unix(1_000_000, 0)

func request(id ID, rank catalog.Rank, call bool, deadline time.Duration) Request {
	return Request{ID: id, Rank: rank, Call: call, Deadline: start.Add(deadline), MaxWait: time.Minute}
}

func TestOrderOfWaitingRequests(t *testing.T) {
	q := NewQueue(start)
	q.SetSlots(1)
	if v := q.Offer(start, request(0, 0, false, time.Second)); v != Run {
		t.Fatalf("first request: %v, want run", v)
	}
	waiting := []Request{
		request(1, 2, false, 3*time.Second),
		request(2, 2, false, 2*time.Second),
		request(3, 2, true, 4*time.Second),
		request(4, 0, false, 5*time.Second),
	}
	for _, r := range waiting {
		if v := q.Offer(start, r); v != Wait {
			t.Fatalf("request %d: %v, want wait", r.ID, v)
		}
	}
	for _, want := range []ID{4, 3, 2, 1} {
		effects := q.Done(start, time.Millisecond, nil)
		if len(effects) != 1 || effects[0] != (Effect{ID: want, Verdict: Run}) {
			t.Fatalf("effects %v, want request %d to run", effects, want)
		}
	}
}

func TestRequestsThatCannotEndInTime(t *testing.T) {
	q := NewQueue(start)
	q.SetSlots(1)
	q.Offer(start, request(0, 0, false, time.Second))
	q.Done(start, 100*time.Millisecond, nil)
	if v := q.Offer(start.Add(2*time.Second), request(1, 0, false, time.Second)); v != TooLate {
		t.Errorf("after its deadline: %v, want too-late", v)
	}
	q.Offer(start, request(2, 0, false, time.Second))
	tooLate := request(3, 0, false, 120*time.Millisecond)
	tooLate.Expected = 50 * time.Millisecond
	if v := q.Offer(start, tooLate); v != TooLate {
		t.Errorf("would wait 100 ms and run 50 ms with a deadline in 120 ms: %v, want too-late", v)
	}
	shortMaxWait := request(4, 0, false, time.Second)
	shortMaxWait.MaxWait = 50 * time.Millisecond
	if v := q.Offer(start, shortMaxWait); v != Overloaded {
		t.Errorf("would wait longer than MaxWait: %v, want overloaded", v)
	}
	late := request(5, 0, false, 300*time.Millisecond)
	if v := q.Offer(start, late); v != Wait {
		t.Fatalf("can end in time: %v, want wait", v)
	}
	effects := q.Done(start.Add(400*time.Millisecond), 400*time.Millisecond, nil)
	if len(effects) != 1 || effects[0] != (Effect{ID: 5, Verdict: TooLate}) {
		t.Errorf("effects %v, want request 5 refused after its latest start", effects)
	}
}

func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	q := NewQueue(start)
	q.SetSlots(1)
	q.Offer(start, request(0, 0, false, time.Second))
	q.Offer(start, request(1, 0, false, time.Second))
	if !q.Cancel(start, 1) || q.Cancel(start, 1) {
		t.Error("a waiting request can be cancelled once")
	}
	if effects := q.Done(start, time.Millisecond, nil); len(effects) != 0 {
		t.Errorf("effects %v, want none", effects)
	}
}

// An instance with 25 slots is offered 1.7 times its capacity, a fifth of it
// urgent, like the deepest service of a chain at high load.
func TestUrgentRequestsRunUnderOverload(t *testing.T) {
	const (
		slotCount  = 25
		runTime    = 30 * time.Millisecond
		length     = 20 * time.Second
		loadFactor = 1.7
	)
	random := rand.New(rand.NewPCG(1, 2))
	q := NewQueue(start)
	q.SetSlots(slotCount)
	capacity := maxUtilization * slotCount / runTime.Seconds()
	interval := time.Duration(float64(time.Second) / (loadFactor * capacity))
	type running struct{ ends time.Time }
	var runs []running
	isUrgentID := make(map[ID]bool)
	var urgent, urgentRan, lessUrgentRan int
	started := func(now time.Time, id ID) {
		runs = append(runs, running{now.Add(runTime)})
		if isUrgentID[id] {
			urgentRan++
		} else {
			lessUrgentRan++
		}
	}
	var id ID
	for now := start; now.Before(start.Add(length)); now = now.Add(interval) {
		for len(runs) > 0 && !runs[0].ends.After(now) {
			ended := runs[0].ends
			runs = runs[1:]
			for _, e := range q.Done(ended, runTime, nil) {
				if e.Verdict == Run {
					started(ended, e.ID)
				}
			}
		}
		id++
		isUrgent := random.Float64() < 0.2
		isUrgentID[id] = isUrgent
		r := Request{ID: id, Deadline: now.Add(time.Second), Expected: runTime / 2, MaxWait: 100 * time.Millisecond}
		if isUrgent {
			urgent++
		} else {
			r.Rank = 2
		}
		if q.Offer(now, r) == Run {
			started(now, id)
		}
	}
	if share := float64(urgentRan) / float64(urgent); share < 0.99 {
		t.Errorf("%.3f of the urgent requests ran, want 0.99", share)
	}
	if rate := float64(urgentRan+lessUrgentRan) / length.Seconds(); rate < 0.95*capacity {
		t.Errorf("%.0f runs a second, want 0.95 of the capacity %.0f", rate, capacity)
	}
	if p := q.Pressure(start.Add(length)); p < 1 {
		t.Errorf("pressure %.2f under overload, want above 1", p)
	}
}

func TestPressureFallsWithTheLoad(t *testing.T) {
	q := NewQueue(start)
	q.SetSlots(10)
	for i := range 9 {
		q.Offer(start, request(ID(i), 0, false, time.Minute))
	}
	if p := q.Pressure(start.Add(time.Second)); p < 0.95 {
		t.Errorf("pressure %.2f with all slots taken, want near 1", p)
	}
	for range 9 {
		q.Done(start.Add(time.Second), time.Second, nil)
	}
	if p := q.Pressure(start.Add(2 * time.Second)); p > 0.05 {
		t.Errorf("pressure %.2f with no request, want near 0", p)
	}
}
