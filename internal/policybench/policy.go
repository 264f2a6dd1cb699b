package policybench

import (
	"time"

	"github.com/toucancove/toucancove/core/admission"
	"github.com/toucancove/toucancove/core/target"
)

// Guard is the part of an admission controller that the simulation calls. The
// methods have the meaning of those of admission.Controller.
type Guard interface {
	Offer(now time.Time, req admission.Request, effects []admission.Effect) (admission.Decision, []admission.Effect)
	Done(now time.Time, end admission.Completion, effects []admission.Effect) []admission.Effect
	Cancel(id admission.ID)
	Tick(now time.Time, effects []admission.Effect) []admission.Effect
	Hint(now time.Time) admission.Hint
	Congested(rank target.Rank) bool
}

// Policy is a policy of overload control.
type Policy uint8

// Policies that are compared.
const (
	// Learned is the policy of this project: core/admission with its adaptive
	// concurrency limit, early refusal, deadlines, cancellation and bounded
	// retries.
	Learned Policy = iota
	// NoOrder is Learned without priorities of classes and fairness between
	// workspaces.
	NoOrder
	// FixedFIFO has a static concurrency limit, the slots of the server, which an
	// operator would have to know, and a bounded FIFO queue.
	FixedFIFO
	// NoControl runs every request immediately, up to the connections of the server.
	NoControl
)

// Policies lists all policies.
var Policies = []Policy{Learned, NoOrder, FixedFIFO, NoControl}

// String returns the name of the policy.
func (p Policy) String() string {
	return [...]string{"learned", "no-order", "fixed-fifo", "no-control"}[p]
}

// propagates reports whether deadlines, cancellation, load hints and the bound on
// retries are propagated along the call chain.
func (p Policy) propagates() bool { return p == Learned || p == NoOrder }

func (p Policy) guard(now time.Time, slots, connections int) Guard {
	cfg := admission.Config{Ranks: Ranks, MaxInFlight: connections}
	switch p {
	case Learned:
		return admission.NewController(now, cfg)
	case NoOrder:
		return unordered{admission.NewController(now, cfg)}
	case FixedFIFO:
		return &fifo{limit: slots, bound: fifoQueuePerSlot * slots}
	default:
		return &fifo{limit: connections}
	}
}

// unordered is a controller that does not see the rank and workspace of requests.
type unordered struct{ *admission.Controller }

func (u unordered) Offer(now time.Time, req admission.Request, effects []admission.Effect) (admission.Decision, []admission.Effect) {
	req.Rank, req.Workspace = 0, ""
	return u.Controller.Offer(now, req, effects)
}

func (u unordered) Congested(target.Rank) bool { return u.Controller.Congested(0) }

// fifoQueuePerSlot is the length of FixedFIFO's queue, in requests per slot.
const fifoQueuePerSlot = 10

// fifo is a static concurrency limit with a bounded FIFO queue.
type fifo struct {
	limit, bound, inFlight int
	queue                  []admission.ID
}

func (f *fifo) Offer(_ time.Time, req admission.Request, effects []admission.Effect) (admission.Decision, []admission.Effect) {
	switch {
	case f.inFlight < f.limit:
		f.inFlight++
		return admission.Decision{Verdict: admission.Run}, effects
	case len(f.queue) < f.bound:
		f.queue = append(f.queue, req.ID)
		return admission.Decision{Verdict: admission.Queued}, effects
	default:
		return admission.Decision{Verdict: admission.Refused, Reason: admission.Overload}, effects
	}
}

func (f *fifo) Done(_ time.Time, _ admission.Completion, effects []admission.Effect) []admission.Effect {
	f.inFlight--
	if len(f.queue) == 0 {
		return effects
	}
	id := f.queue[0]
	f.queue = f.queue[1:]
	f.inFlight++
	return append(effects, admission.Effect{Kind: admission.Start, ID: id})
}

func (f *fifo) Cancel(admission.ID) {}

func (f *fifo) Congested(target.Rank) bool { return false }

func (f *fifo) Tick(_ time.Time, effects []admission.Effect) []admission.Effect { return effects }

func (f *fifo) Hint(time.Time) admission.Hint {
	return admission.Hint{Limit: f.limit, InFlight: f.inFlight}
}
