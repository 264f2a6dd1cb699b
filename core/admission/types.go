package admission

import (
	"time"

	"github.com/toucancove/toucancove/core/target"
)

// ID identifies one offer at one guard. The caller chooses it; it must not be
// in use by another queued or running request.
type ID uint64

// Request is a request offered to the controller.
type Request struct {
	ID ID
	// Rank is the position of the request's class; zero is served first.
	Rank target.Rank
	// Workspace is the tenant that the request runs for.
	Workspace string
	// Share is the weight of the workspace relative to other workspaces of the
	// class, such as its rate. A value that isn't positive counts as 1.
	Share float64
	// Root is set if no service has worked on the request's call chain yet. Only
	// such requests are refused because of overload in deeper services: refusing
	// a later request of the chain would waste the work done for it so far.
	Root bool
	// Deadline is the time by which the request must have completed.
	Deadline time.Time
}

// Verdict is the immediate result of an offer.
type Verdict uint8

// Verdicts of an offer.
const (
	// Run means that the caller starts the request now.
	Run Verdict = iota
	// Queued means that an effect will start or refuse the request later.
	Queued
	// Refused means that the request is not run.
	Refused
)

// Reason says why a request was refused.
type Reason uint8

// Reasons of a refusal.
const (
	// NoReason is the zero value, used where nothing was refused.
	NoReason Reason = iota
	// Overload means that the queue is full of requests that run before this one:
	// of more urgent ranks or of workspaces that were served less.
	Overload
	// NoBudget means that the time left until the deadline can't cover the
	// expected wait and service time.
	NoBudget
	// Downstream means that a deeper service refuses this rank at present.
	Downstream
)

// String returns the machine-readable name of the reason.
func (r Reason) String() string {
	switch r {
	case Overload:
		return "overload"
	case NoBudget:
		return "no-budget"
	case Downstream:
		return "downstream-overload"
	default:
		return "none"
	}
}

// Decision is the result of an offer.
type Decision struct {
	Verdict Verdict
	// Reason is set if the verdict is Refused.
	Reason Reason
	// RetryAfter is the time after which a retry is worthwhile, if refused.
	RetryAfter time.Duration
}

// EffectKind is the kind of an effect on a queued request.
type EffectKind uint8

// Kinds of effects.
const (
	// Start means that the caller starts the queued request now.
	Start EffectKind = iota
	// Refuse means that the caller refuses the queued request.
	Refuse
)

// Effect is an instruction about a request that was queued before.
type Effect struct {
	Kind EffectKind
	ID   ID
	// Reason and RetryAfter are set if the kind is Refuse.
	Reason     Reason
	RetryAfter time.Duration
}

// Outcome is how a run ended.
type Outcome uint8

// Outcomes of a run.
const (
	// Succeeded means that the upstream sent a complete response.
	Succeeded Outcome = iota
	// Failed means that the upstream sent an error or no complete response.
	Failed
	// Shed means that the upstream itself refused the request.
	Shed
	// Cancelled means that the caller disconnected or the deadline passed during
	// the run.
	Cancelled
	// RefusedDownstream means that the run failed because a deeper service
	// refused a call that the upstream made for it.
	RefusedDownstream
)

// Completion reports the end of a run.
type Completion struct {
	ID      ID
	Outcome Outcome
	// DeeperTime is the time that the upstream spent waiting for its own calls to
	// other services during the run.
	DeeperTime time.Duration
	// Congested is set if the response to one of these calls was marked as
	// congested. See Controller.Congested.
	Congested bool
}
