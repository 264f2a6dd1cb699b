// Package slots is the admission queue of one instance: it decides which
// requests run, wait or are refused.
//
// All requests of an instance pass through its guard, the proxy beside it, so
// the number of running requests is known exactly. A slot is the capacity to
// run one request. The guard keeps the number of running requests just below
// the slots that the instance published and queues the others: the more urgent
// rank first, then calls made by running requests before new requests, then the
// earlier deadline. This handles an instance that is offered more than its
// capacity: without the queue, requests would wait inside the instance in order
// of arrival and end after their deadlines.
//
// An instance may also advertise a request limit, the requests a second that it accepts.
// The guard sees every request to it, so that a token bucket there keeps the limit
// for the whole fleet. Waiting requests start in the same order; one that would have
// to wait for long is refused, since other instances may accept it.
//
// The pressure of an instance is the moving average of its running and waiting
// requests as a share of the slots that the guard uses, or the demand as a share of
// the request limit if that is higher.
package slots

import (
	"container/heap"
	"math"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

const (
	// maxUtilization is the share of the published slots that is used. Instances
	// may slow down when they are nearly full, and a new connection may hold a
	// slot.
	maxUtilization = 0.94
	// pressureTimeConstant is the time constant of the average pressure. It spans
	// a few service times of tens of milliseconds.
	pressureTimeConstant = 150 * time.Millisecond
)

// ID identifies a request at one guard.
type ID uint64

// Request asks for a slot.
type Request struct {
	ID   ID
	Rank catalog.Rank
	// Call is set for a call made by a running request. Refusing it would waste
	// the work done for that request.
	Call bool
	// Deadline is the time after which the caller no longer needs the response.
	Deadline time.Time
	// Expected is the expected service time.
	Expected time.Duration
	// MaxWait is the longest acceptable time in the queue.
	MaxWait time.Duration
}

// latestStart returns the last time at which the run can start and still end
// before the deadline.
func (r *Request) latestStart() time.Time { return r.Deadline.Add(-r.Expected) }

// Verdict is the decision about one request.
type Verdict uint8

// Verdicts.
const (
	// Run starts the request now.
	Run Verdict = iota
	// Wait keeps the request in the queue until Done starts or refuses it.
	Wait
	// Overloaded refuses the request: its expected wait exceeds MaxWait.
	Overloaded
	// TooLate refuses the request: it can't end before its deadline.
	TooLate
	// Limited refuses the request: its expected wait for the request limit exceeds
	// MaxRateWait.
	Limited
)

// String returns the machine-readable name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Run:
		return "run"
	case Wait:
		return "wait"
	case TooLate:
		return "too-late"
	case Limited:
		return "limited"
	default:
		return "overloaded"
	}
}

// Effect is the decision about a request that was waiting.
type Effect struct {
	ID      ID
	Verdict Verdict
}

// Queue is the admission queue of one instance. It is not safe for concurrent
// use.
type Queue struct {
	limit   int
	rate    rateLimit
	running int
	waiting waitList
	// service is the moving average of the service time; 0 before the first run
	// has ended.
	service time.Duration

	pressure   float64
	pressureAt time.Time
}

// NewQueue returns a queue for an instance that has not published its slots yet.
// It has no limit until SetSlots is called.
func NewQueue(now time.Time) *Queue {
	return &Queue{limit: math.MaxInt, pressureAt: now}
}

// SetSlots sets the number of slots that the instance published. A number that
// isn't positive removes the limit.
func (q *Queue) SetSlots(slots int) {
	if slots <= 0 {
		q.limit = math.MaxInt
		return
	}
	q.limit = max(1, int(maxUtilization*float64(slots)))
}

// Offer decides about a new request.
func (q *Queue) Offer(now time.Time, r Request) Verdict {
	q.updatePressure(now)
	if now.After(r.Deadline) {
		return TooLate
	}
	if q.running < q.limit && len(q.waiting) == 0 && q.rate.take(now) {
		q.rate.offered(now, true)
		q.running++
		return Run
	}
	ahead := q.ahead(&r)
	rateWait := q.rate.wait(now, ahead+1)
	q.rate.offered(now, rateWait <= MaxRateWait)
	if rateWait > MaxRateWait {
		return Limited
	}
	wait := max(rateWait, q.slotWait(ahead))
	if now.Add(wait).After(r.latestStart()) {
		return TooLate
	}
	if wait > r.MaxWait {
		return Overloaded
	}
	heap.Push(&q.waiting, waiter{Request: r})
	return Wait
}

// ahead returns the number of waiting requests that start before the request.
func (q *Queue) ahead(r *Request) int {
	ahead := 0
	for i := range q.waiting {
		if q.waiting[i].before(r) {
			ahead++
		}
	}
	return ahead
}

// slotWait estimates the time until a slot is free for a request behind others.
func (q *Queue) slotWait(ahead int) time.Duration {
	if q.running < q.limit {
		return 0
	}
	return time.Duration(float64(q.service) * float64(ahead+1) / float64(q.limit))
}

// SetRate sets the request limit in requests per second.
func (q *Queue) SetRate(now time.Time, perSecond float64) { q.rate.set(now, perSecond) }

// ClearRate removes the request limit. Start starts the requests that waited for it.
func (q *Queue) ClearRate() { q.rate.clear() }

// Limited reports whether there is a request limit.
func (q *Queue) Limited() bool { return q.rate.limited() }

// NextStart returns when Start should be called for a request that waits for the
// request limit. It returns false if none does.
func (q *Queue) NextStart(now time.Time) (time.Time, bool) {
	if len(q.waiting) == 0 || q.running >= q.limit {
		return time.Time{}, false
	}
	return now.Add(q.rate.wait(now, 1)), true
}

// Done frees the slot of a run that took the given time, and appends the
// decisions about waiting requests that follow.
func (q *Queue) Done(now time.Time, took time.Duration, effects []Effect) []Effect {
	const weight = 0.05 // of one run in the moving average
	q.updatePressure(now)
	q.running--
	if q.service == 0 {
		q.service = took
	} else {
		q.service += time.Duration(weight * float64(took-q.service))
	}
	return q.Start(now, effects)
}

// Start runs waiting requests while slots are free and the request limit allows it,
// and refuses those that can no longer end in time. It appends the decisions.
func (q *Queue) Start(now time.Time, effects []Effect) []Effect {
	q.updatePressure(now)
	for q.running < q.limit && len(q.waiting) > 0 {
		if now.After(q.waiting[0].latestStart()) {
			late := heap.Pop(&q.waiting).(waiter)
			effects = append(effects, Effect{ID: late.ID, Verdict: TooLate})
			continue
		}
		if !q.rate.take(now) {
			break
		}
		next := heap.Pop(&q.waiting).(waiter)
		q.running++
		effects = append(effects, Effect{ID: next.ID, Verdict: Run})
	}
	return effects
}

// Cancel drops a waiting request. It returns false if the request isn't waiting.
func (q *Queue) Cancel(now time.Time, id ID) bool {
	for i := range q.waiting {
		if q.waiting[i].ID == id {
			q.updatePressure(now)
			heap.Remove(&q.waiting, i)
			return true
		}
	}
	return false
}

// updatePressure advances the average pressure to now. It must be called before
// the number of requests changes.
func (q *Queue) updatePressure(now time.Time) {
	elapsed := now.Sub(q.pressureAt)
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-float64(elapsed) / float64(pressureTimeConstant))
	q.pressure = decay*q.pressure + (1-decay)*q.load()
	q.pressureAt = now
}

// load returns the running and waiting requests as a share of the limit, or 0
// without a limit.
func (q *Queue) load() float64 {
	if q.limit == math.MaxInt {
		return 0
	}
	return float64(q.running+len(q.waiting)) / float64(q.limit)
}

// Pressure returns the recent average of running and waiting requests as a
// share of the limit, or the demand as a share of the request limit if that is
// higher. Above 1 requests wait or are refused.
func (q *Queue) Pressure(now time.Time) float64 {
	q.updatePressure(now)
	return max(q.pressure, q.rate.pressure(now))
}

// Service returns the moving average of the service time.
func (q *Queue) Service() time.Duration { return q.service }

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

type waiter struct {
	Request
}

// before reports whether the waiter starts before the request.
func (w *waiter) before(r *Request) bool {
	if w.Rank != r.Rank {
		return w.Rank < r.Rank
	}
	if w.Call != r.Call {
		return w.Call
	}
	return w.Deadline.Before(r.Deadline)
}

// waitList is a heap of waiting requests; the root is the next to start.
type waitList []waiter

// Len implements heap.Interface.
func (l waitList) Len() int { return len(l) }

// Less implements heap.Interface.
func (l waitList) Less(i, j int) bool { return l[i].before(&l[j].Request) }

// Swap implements heap.Interface.
func (l waitList) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *waitList) Push(x any) { *l = append(*l, x.(waiter)) }

// Pop implements heap.Interface.
func (l *waitList) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}
