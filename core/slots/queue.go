// Package slots decides, beside one instance, which requests run, wait or are
// turned away.
//
// All requests of an instance pass the guard beside it, so the number of its
// running requests is known exactly. The guard keeps that number just below the
// slots that the instance published and lets the others wait in order: the more
// urgent rank first, calls made for running requests before new requests, then
// the earlier deadline. The load pattern it answers is an instance that is
// offered more than it can run: without the queue, work would wait inside the
// instance in order of arrival and end after its deadline.
package slots

import (
	"container/heap"
	"math"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

const (
	// headroom is the share of the published slots that is used. Instances may
	// slow down when they are nearly full, and a new connection may hold a slot.
	headroom = 0.94
	// pressureTime is the time constant of the average pressure. It spans a few
	// service times of tens of milliseconds.
	pressureTime = 150 * time.Millisecond
)

// ID names a request at one guard.
type ID uint64

// Request asks for a slot.
type Request struct {
	ID   ID
	Rank catalog.Rank
	// Call requests are calls for a request that runs already.
	Call bool
	// Deadline is when the answer is worth nothing any more.
	Deadline time.Time
	// Expected is the time that the run is expected to take.
	Expected time.Duration
	// MaxWait bounds the time in the queue.
	MaxWait time.Duration
}

// latestStart is the last moment at which running still makes sense.
func (r *Request) latestStart() time.Time { return r.Deadline.Add(-r.Expected) }

// Verdict is the decision about one request.
type Verdict uint8

// Verdicts.
const (
	// Run starts the request now.
	Run Verdict = iota
	// Wait keeps the request in the queue until Done starts or refuses it.
	Wait
	// Overloaded refuses the request: it would wait too long.
	Overloaded
	// TooLate refuses the request: it can't end before its deadline.
	TooLate
)

// String returns the verdict in words.
func (v Verdict) String() string {
	switch v {
	case Run:
		return "run"
	case Wait:
		return "wait"
	case TooLate:
		return "too-late"
	default:
		return "overloaded"
	}
}

// Effect tells what became of a waiting request.
type Effect struct {
	ID      ID
	Verdict Verdict
}

// Queue holds the slots of one instance. It is not safe for concurrent use.
type Queue struct {
	limit   int
	running int
	waiting waitList
	// service is the average time of a run.
	service time.Duration

	pressure   float64
	pressureAt time.Time
}

// NewQueue returns a queue for an instance whose slots are not known yet.
func NewQueue(now time.Time) *Queue {
	return &Queue{limit: math.MaxInt, pressureAt: now}
}

// SetSlots takes the number of slots that the instance published.
func (q *Queue) SetSlots(slots int) {
	if slots <= 0 {
		q.limit = math.MaxInt
		return
	}
	q.limit = max(1, int(headroom*float64(slots)))
}

// Offer decides about a new request.
func (q *Queue) Offer(now time.Time, r Request) Verdict {
	q.measure(now)
	if now.After(r.Deadline) {
		return TooLate
	}
	if q.running < q.limit {
		q.running++
		return Run
	}
	wait := q.expectedWait(&r)
	if now.Add(wait).After(r.latestStart()) {
		return TooLate
	}
	if wait > r.MaxWait {
		return Overloaded
	}
	heap.Push(&q.waiting, waiter{Request: r})
	return Wait
}

// expectedWait estimates the time until a slot is free for the request.
func (q *Queue) expectedWait(r *Request) time.Duration {
	ahead := 0
	for i := range q.waiting {
		if q.waiting[i].before(r) {
			ahead++
		}
	}
	return time.Duration(float64(q.service) * float64(ahead+1) / float64(q.limit))
}

// Done frees the slot of a run that took the given time, and appends what
// becomes of waiting requests.
func (q *Queue) Done(now time.Time, took time.Duration, effects []Effect) []Effect {
	const weight = 0.05 // of one run in the average
	q.measure(now)
	q.running--
	if q.service == 0 {
		q.service = took
	} else {
		q.service += time.Duration(weight * float64(took-q.service))
	}
	return q.start(now, effects)
}

// start fills free slots from the queue.
func (q *Queue) start(now time.Time, effects []Effect) []Effect {
	for q.running < q.limit && len(q.waiting) > 0 {
		next := heap.Pop(&q.waiting).(waiter)
		if now.After(next.latestStart()) {
			effects = append(effects, Effect{ID: next.ID, Verdict: TooLate})
			continue
		}
		q.running++
		effects = append(effects, Effect{ID: next.ID, Verdict: Run})
	}
	return effects
}

// Cancel drops a waiting request. It returns false if it does not wait.
func (q *Queue) Cancel(now time.Time, id ID) bool {
	for i := range q.waiting {
		if q.waiting[i].ID == id {
			q.measure(now)
			heap.Remove(&q.waiting, i)
			return true
		}
	}
	return false
}

// measure brings the average pressure up to now. It must be called before the
// number of requests changes.
func (q *Queue) measure(now time.Time) {
	passed := now.Sub(q.pressureAt)
	if passed <= 0 {
		return
	}
	keep := math.Exp(-float64(passed) / float64(pressureTime))
	q.pressure = keep*q.pressure + (1-keep)*q.load()
	q.pressureAt = now
}

func (q *Queue) load() float64 {
	if q.limit == math.MaxInt {
		return 0
	}
	return float64(q.running+len(q.waiting)) / float64(q.limit)
}

// Pressure returns the recent average of running and waiting requests as a
// share of the limit: above 1 requests wait.
func (q *Queue) Pressure(now time.Time) float64 {
	q.measure(now)
	return q.pressure
}

// Service returns the average time of a run.
func (q *Queue) Service() time.Duration { return q.service }

// Running and Waiting return the present numbers of requests.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of requests in the queue.
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

// waitList is a heap of waiting requests, the next to start first.
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
