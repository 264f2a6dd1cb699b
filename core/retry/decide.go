package retry

import "time"

// Reason is why an attempt is retried or not. The text is stable and is used in
// logs and metrics.
type Reason string

// Reasons of a decision.
const (
	// NotRun: the request did not run, so another attempt is safe.
	NotRun Reason = "not-run"
	// Idempotent: the request may have run, and may run again.
	Idempotent Reason = "idempotent"
	// Final: another instance would give the same response.
	Final Reason = "final"
	// OutcomeUnknown: the request may have run and must not run twice.
	OutcomeUnknown Reason = "outcome-unknown"
	// Pinned: a ticket allows one instance only.
	Pinned Reason = "pinned"
	// ResponseBegun: a part of the response has been sent to the caller.
	ResponseBegun Reason = "answer-begun"
	// BodyGone: the request body was streamed and can't be sent again.
	BodyGone Reason = "body-gone"
	// AttemptsSpent: no attempts of the root request are left for this call.
	AttemptsSpent Reason = "attempts-spent"
	// DeadlineNear: the time to the deadline is shorter than an attempt is
	// expected to take.
	DeadlineNear Reason = "deadline-near"
	// BudgetSpent: the retry budget of the destination is exhausted.
	BudgetSpent Reason = "budget-spent"
)

// Effect is whether a failed attempt may have been executed.
type Effect uint8

// Effects of a failed attempt.
const (
	// MayHaveRun: nothing proves that the request did not run.
	MayHaveRun Effect = iota
	// DidNotRun: no byte reached an upstream, or the upstream reported that it
	// did not run the request.
	DidNotRun
)

// Failure is a failed attempt.
type Failure struct {
	Effect Effect
	// Final failures would be the same at any instance: a refused key, an
	// exhausted quota, a malformed request.
	Final bool
	// ResponseBegun is set if a part of the response has been sent to the caller.
	ResponseBegun bool
}

// Request holds the properties of a request on which the decision depends.
type Request struct {
	Idempotent bool
	// Pinned requests carry a ticket, which names the only instance that may run
	// them.
	Pinned bool
	// BodyGone is set if the body was streamed and can't be sent again.
	BodyGone bool
	// Deadline is the deadline of the request at this hop.
	Deadline time.Time
	// Expected is how long an attempt is expected to take.
	Expected time.Duration
}

// Decision is whether a failed attempt is retried, and why.
type Decision struct {
	Retry  bool
	Reason Reason
}

// Decide returns whether the request is retried at another instance. It charges
// the retry budget only if it allows the retry. The caller then takes the
// attempt from a with Next.
func Decide(now time.Time, r Request, f Failure, a *AttemptBudget, b *Budget) Decision {
	if reason := forbiddenReason(r, f); reason != "" {
		return Decision{Reason: reason}
	}
	if a.Left() == 0 {
		return Decision{Reason: AttemptsSpent}
	}
	if now.Add(r.Expected).After(r.Deadline) || !now.Before(r.Deadline) {
		return Decision{Reason: DeadlineNear}
	}
	if !b.Take(now) {
		return Decision{Reason: BudgetSpent}
	}
	if f.Effect == DidNotRun {
		return Decision{Retry: true, Reason: NotRun}
	}
	return Decision{Retry: true, Reason: Idempotent}
}

// forbiddenReason returns the reason why the request must not be retried, or "".
func forbiddenReason(r Request, f Failure) Reason {
	switch {
	case f.ResponseBegun:
		return ResponseBegun
	case f.Final:
		return Final
	case r.Pinned:
		return Pinned
	case f.Effect == MayHaveRun && !r.Idempotent:
		return OutcomeUnknown
	case r.BodyGone:
		return BodyGone
	}
	return ""
}

// hopMargin is the time reserved at each hop for returning the response.
const hopMargin = 2 * time.Millisecond

// HopBudget returns the time budget of an attempt sent to the next hop: the time
// left at this hop minus hopMargin, or half of the time left if that is longer,
// so that this hop can still respond before its own deadline. It is never
// negative.
func HopBudget(now, deadline time.Time) time.Duration {
	left := deadline.Sub(now)
	if left <= 0 {
		return 0
	}
	return left - min(hopMargin, left/2)
}
