package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/admission"
	"github.com/toucancove/toucancove/core/target"
)

// admitTickInterval is the time between ticks of the admission controller while
// requests are queued.
const admitTickInterval = 5 * time.Millisecond

// AdaptiveAdmitter admits requests up to an adaptive concurrency limit and
// queues or refuses the others in the order of their classes. It is safe for
// concurrent use.
type AdaptiveAdmitter struct {
	mu         sync.Mutex
	controller *admission.Controller
	lastID     admission.ID
	// waiting holds, for each queued request, the channel that receives the
	// decision on it.
	waiting map[admission.ID]chan admission.Effect
	// effects is a buffer that is reused by the calls of the controller.
	effects []admission.Effect
	timer   *time.Timer
	// armed is set while the timer runs.
	armed bool
}

// NewAdaptiveAdmitter returns an admitter whose limit never exceeds maxInFlight
// concurrent requests.
func NewAdaptiveAdmitter(maxInFlight int) *AdaptiveAdmitter {
	a := &AdaptiveAdmitter{
		controller: admission.NewController(time.Now(), admission.Config{
			Ranks: target.MaxClasses + 1, MaxInFlight: maxInFlight,
		}),
		waiting: make(map[admission.ID]chan admission.Effect),
	}
	a.timer = time.AfterFunc(time.Hour, a.tick)
	a.timer.Stop()
	return a
}

// Admit implements Admitter.
func (a *AdaptiveAdmitter) Admit(ctx context.Context, r AdmissionRequest) (Admission, error) {
	id, decision, decided := a.offer(r)
	switch decision.Verdict {
	case admission.Run:
		return &adaptiveAdmission{admitter: a, id: id}, nil
	case admission.Refused:
		return nil, admissionRefusal(decision.Reason, decision.RetryAfter)
	}
	select {
	case effect := <-decided:
		return a.resolve(effect)
	case <-ctx.Done():
		a.cancelWaiting(id, decided)
		cause := &ExchangeError{Stage: StageConnect, Err: context.Cause(ctx)}
		return nil, exchangeRefusal(ctx, cause, r.Deadline)
	}
}

func (a *AdaptiveAdmitter) offer(r AdmissionRequest) (admission.ID, admission.Decision, chan admission.Effect) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	id := a.lastID
	decision, effects := a.controller.Offer(time.Now(), admission.Request{
		ID: id, Rank: r.Rank, Workspace: r.Workspace, Deadline: r.Deadline, Root: r.Root,
	}, a.effects[:0])
	a.deliver(effects)
	if decision.Verdict != admission.Queued {
		return id, decision, nil
	}
	decided := make(chan admission.Effect, 1)
	a.waiting[id] = decided
	a.arm()
	return id, decision, decided
}

func (a *AdaptiveAdmitter) resolve(effect admission.Effect) (Admission, error) {
	if effect.Kind == admission.Start {
		return &adaptiveAdmission{admitter: a, id: effect.ID}, nil
	}
	return nil, admissionRefusal(effect.Reason, effect.RetryAfter)
}

// cancelWaiting removes a queued request whose context was cancelled. If it has
// been started in the meantime, its run ends as cancelled.
func (a *AdaptiveAdmitter) cancelWaiting(id admission.ID, decided chan admission.Effect) {
	a.mu.Lock()
	if _, queued := a.waiting[id]; queued {
		delete(a.waiting, id)
		a.controller.Cancel(id)
		a.mu.Unlock()
		return
	}
	a.mu.Unlock()
	if effect := <-decided; effect.Kind == admission.Start {
		a.done(admission.Completion{ID: id, Outcome: admission.Cancelled})
	}
}

func (a *AdaptiveAdmitter) done(end admission.Completion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.controller.Done(time.Now(), end, a.effects[:0]))
}

// deliver sends the decisions to the waiting requests. The lock must be held.
func (a *AdaptiveAdmitter) deliver(effects []admission.Effect) {
	for _, effect := range effects {
		if decided, ok := a.waiting[effect.ID]; ok {
			decided <- effect
			delete(a.waiting, effect.ID)
		}
	}
	a.effects = effects[:0]
}

// arm starts the timer if requests are queued. The lock must be held.
func (a *AdaptiveAdmitter) arm() {
	if a.armed || a.controller.Queued() == 0 {
		return
	}
	a.armed = true
	a.timer.Reset(admitTickInterval)
}

func (a *AdaptiveAdmitter) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.armed = false
	a.deliver(a.controller.Tick(time.Now(), a.effects[:0]))
	a.arm()
}

// Hint implements Admitter.
func (a *AdaptiveAdmitter) Hint() admission.Hint {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Hint(time.Now())
}

// adaptiveAdmission is the Admission of one request.
type adaptiveAdmission struct {
	admitter *AdaptiveAdmitter
	id       admission.ID
}

// Done implements Admission.
func (p *adaptiveAdmission) Done(result RunResult) {
	p.admitter.done(admission.Completion{
		ID: p.id, Outcome: result.outcome(),
		DeeperTime: result.Deeper.Time, Congested: result.Deeper.Congested,
	})
}

// outcome classifies the end of a run for the admission controller.
func (r *RunResult) outcome() admission.Outcome {
	failed := r.Shed || r.Failed || !r.Completed
	switch {
	case r.Cancelled:
		return admission.Cancelled
	case failed && r.Deeper.Refused:
		return admission.RefusedDownstream
	case r.Shed:
		return admission.Shed
	case failed:
		return admission.Failed
	}
	return admission.Succeeded
}

func admissionRefusal(reason admission.Reason, retryAfter time.Duration) *Refusal {
	refusal := notRun(fasthttp.StatusServiceUnavailable, ReasonOverload, "the instance is overloaded")
	switch reason {
	case admission.NoBudget:
		refusal.Reason, refusal.Detail = ReasonNoBudget, "the time left can't cover the expected service time"
	case admission.Downstream:
		refusal.Reason, refusal.Detail = ReasonDownstream, "a deeper service is overloaded"
	}
	refusal.RetryAfter = retryAfter
	return refusal
}
