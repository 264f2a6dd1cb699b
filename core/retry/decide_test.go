package retry

import (
	"testing"
	"time"
)

func TestDecide(t *testing.T) {
	idempotent := Request{Idempotent: true, Deadline: start.Add(time.Second)}
	nonIdempotent := Request{Deadline: start.Add(time.Second)}
	with := func(r Request, change func(*Request)) Request { change(&r); return r }
	notRun := Failure{Effect: DidNotRun}
	tests := []struct {
		name     string
		request  Request
		failure  Failure
		attempts uint8
		spent    bool
		want     Decision
	}{
		{"not run", nonIdempotent, notRun, 1, false, Decision{true, NotRun}},
		{"idempotent", idempotent, Failure{}, 1, false, Decision{true, Idempotent}},
		{"unknown outcome", nonIdempotent, Failure{}, 1, false, Decision{false, OutcomeUnknown}},
		{"final", idempotent, Failure{Effect: DidNotRun, Final: true}, 1, false, Decision{false, Final}},
		{"ticket", with(nonIdempotent, func(r *Request) { r.Pinned = true }), notRun, 1, false, Decision{false, Pinned}},
		{"response begun", idempotent, Failure{ResponseBegun: true}, 1, false, Decision{false, ResponseBegun}},
		{"body gone", with(idempotent, func(r *Request) { r.BodyGone = true }), notRun, 1, false, Decision{false, BodyGone}},
		{"no attempts", nonIdempotent, notRun, 0, false, Decision{false, AttemptsSpent}},
		{"deadline past", with(idempotent, func(r *Request) { r.Deadline = start }), notRun, 1, false, Decision{false, DeadlineNear}},
		{"deadline too near", with(idempotent, func(r *Request) { r.Expected = 2 * time.Second }), notRun, 1, false, Decision{false, DeadlineNear}},
		{"budget spent", nonIdempotent, notRun, 1, true, Decision{false, BudgetSpent}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Budget
			for tt.spent && b.Take(start) {
			}
			s := NewAttemptBudget(tt.attempts)
			if got := Decide(start, tt.request, tt.failure, &s, &b); got != tt.want {
				t.Errorf("Decide = %+v, want %+v", got, tt.want)
			}
		})
	}
}

func TestBudget(t *testing.T) {
	takeAll := func(b *Budget, now time.Time) (n int) {
		for b.Take(now) {
			n++
		}
		return n
	}
	var b Budget
	if got := takeAll(&b, start); got != budgetMinRetries {
		t.Errorf("%d retries without successes, want the minimum %d", got, budgetMinRetries)
	}
	for range 1000 {
		b.Succeeded(start)
	}
	if got := takeAll(&b, start); got != 100 {
		t.Errorf("%d retries after 1000 successes, want 100", got)
	}
	if got := takeAll(&b, start.Add(time.Hour)); got != budgetMinRetries {
		t.Errorf("%d retries an hour later, want the minimum %d", got, budgetMinRetries)
	}
}

func TestHopBudgetShrinks(t *testing.T) {
	left := 300 * time.Millisecond
	for hop := range 13 {
		next := HopBudget(start, start.Add(left))
		if next >= left || next <= 0 {
			t.Fatalf("hop %d: %v of %v left", hop, next, left)
		}
		left = next
	}
	left = time.Second
	for range 26 { // 13 calls deep, two nodes each
		left = HopBudget(start, start.Add(left))
	}
	if left < 900*time.Millisecond {
		t.Errorf("%v of 1s left at the deepest upstream, want at least 900ms", left)
	}
	if got := HopBudget(start, start.Add(-time.Second)); got != 0 {
		t.Errorf("budget past the deadline = %v, want 0", got)
	}
}
