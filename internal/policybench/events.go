package policybench

import "time"

// event is a callback at a virtual time. Events at the same time run in the
// order in which they were scheduled.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

func (e event) before(o event) bool {
	return e.at < o.at || (e.at == o.at && e.seq < o.seq)
}

// events is the event queue, a binary heap, with the virtual clock.
type events struct {
	now  time.Duration // since the start of the run
	seq  uint64
	heap []event
}

// epoch is the virtual wall-clock time at the start of a run.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// time returns the virtual time as the wall-clock time that core packages take.
func (e *events) time() time.Time { return epoch.Add(e.now) }

// after schedules a callback at the virtual time now + d.
func (e *events) after(d time.Duration, run func()) {
	e.seq++
	e.heap = append(e.heap, event{at: e.now + max(0, d), seq: e.seq, run: run})
	i := len(e.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !e.heap[i].before(e.heap[parent]) {
			break
		}
		e.heap[i], e.heap[parent] = e.heap[parent], e.heap[i]
		i = parent
	}
}

// runUntil runs all events up to and including the end and sets the clock to it.
func (e *events) runUntil(end time.Duration) {
	for len(e.heap) > 0 && e.heap[0].at <= end {
		next := e.pop()
		e.now = next.at
		next.run()
	}
	e.now = end
}

func (e *events) pop() event {
	top := e.heap[0]
	last := len(e.heap) - 1
	e.heap[0] = e.heap[last]
	e.heap[last] = event{}
	e.heap = e.heap[:last]
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			return top
		}
		if child+1 < last && e.heap[child+1].before(e.heap[child]) {
			child++
		}
		if !e.heap[child].before(e.heap[i]) {
			return top
		}
		e.heap[i], e.heap[child] = e.heap[child], e.heap[i]
		i = child
	}
}
