package admission

import (
	"sort"

	"github.com/toucancove/toucancove/core/target"
)

// item is a queued or running request.
type item struct {
	id       ID
	rank     target.Rank
	root     bool
	flow     *flow
	deadline int64   // nanoseconds
	started  int64   // nanoseconds; unset while queued
	charged  float64 // nanoseconds charged to the flow at the start
	phase    uint32  // phase of the limiter at the start
	running  bool
}

// deadlineQueue holds items sorted by deadline, the earliest first.
type deadlineQueue struct {
	items []*item
	head  int
}

func (q *deadlineQueue) len() int     { return len(q.items) - q.head }
func (q *deadlineQueue) first() *item { return q.items[q.head] }
func (q *deadlineQueue) last() *item  { return q.items[len(q.items)-1] }

func (q *deadlineQueue) push(it *item) {
	q.compact()
	q.items = append(q.items, it)
	for i := len(q.items) - 1; i > q.head && q.items[i-1].deadline > it.deadline; i-- {
		q.items[i], q.items[i-1] = q.items[i-1], q.items[i]
	}
}

// compact reuses the space before head once it is the larger half.
func (q *deadlineQueue) compact() {
	if q.head == 0 || q.head < len(q.items)/2 {
		return
	}
	n := copy(q.items, q.items[q.head:])
	clear(q.items[n:])
	q.items, q.head = q.items[:n], 0
}

func (q *deadlineQueue) popFirst() *item {
	it := q.items[q.head]
	q.items[q.head] = nil
	q.head++
	return it
}

func (q *deadlineQueue) popLast() *item {
	it := q.last()
	q.items[len(q.items)-1] = nil
	q.items = q.items[:len(q.items)-1]
	return it
}

func (q *deadlineQueue) remove(it *item) {
	live := q.items[q.head:]
	i := sort.Search(len(live), func(i int) bool { return live[i].deadline >= it.deadline })
	for live[i] != it {
		i++
	}
	copy(live[i:], live[i+1:])
	q.popLast()
}

// classQueue is the queue of one class: the flows of its workspaces.
type classQueue struct {
	flows  map[string]*flow
	active []*flow // flows with queued items
	queued int
}

// flow returns the flow of the workspace and creates it if needed.
func (c *classQueue) flow(workspace string, share float64) *flow {
	f := c.flows[workspace]
	if f == nil {
		f = &flow{workspace: workspace}
		c.flows[workspace] = f
	}
	if share <= 0 {
		share = 1
	}
	f.share = share
	return f
}

func (c *classQueue) push(it *item) {
	if it.flow.queue.len() == 0 {
		c.active = append(c.active, it.flow)
	}
	it.flow.queue.push(it)
	c.queued++
}

// itemRemoved updates the counts after an item has left the queue of f.
func (c *classQueue) itemRemoved(f *flow) {
	c.queued--
	if f.queue.len() > 0 {
		return
	}
	for i, a := range c.active {
		if a == f {
			last := len(c.active) - 1
			c.active[i] = c.active[last]
			c.active[last] = nil
			c.active = c.active[:last]
			return
		}
	}
}

// leastServed returns the active flow with the least service relative to its
// share.
func (c *classQueue) leastServed() *flow {
	best := c.active[0]
	for _, f := range c.active[1:] {
		if f.service < best.service {
			best = f
		}
	}
	return best
}

// queue orders requests by rank, then by the service of their workspace, then by
// deadline.
type queue struct {
	classes []classQueue
	decay   forwardDecay
	length  int
}

func newQueue(ranks int) queue {
	q := queue{classes: make([]classQueue, ranks)}
	for i := range q.classes {
		q.classes[i].flows = make(map[string]*flow)
	}
	return q
}

func (q *queue) push(it *item) {
	q.classes[it.rank].push(it)
	q.length++
}

// pop removes the next request to run; nil if the queue is empty.
func (q *queue) pop() *item {
	if q.length == 0 {
		return nil
	}
	for rank := range q.classes {
		c := &q.classes[rank]
		if c.queued == 0 {
			continue
		}
		f := c.leastServed()
		it := f.queue.popFirst()
		c.itemRemoved(f)
		q.length--
		return it
	}
	return nil
}

func (q *queue) remove(it *item) {
	it.flow.queue.remove(it)
	q.classes[it.rank].itemRemoved(it.flow)
	q.length--
}

// ahead returns the number of queued requests of the same or a more urgent rank.
func (q *queue) ahead(rank target.Rank) int {
	n := 0
	for i := range q.classes[:rank+1] {
		n += q.classes[i].queued
	}
	return n
}

// evictFor removes and returns the queued request that would be served last, or
// returns nil if that is the incoming one. Served last is the least urgent rank,
// then the workspace with the most service relative to its share, then the
// latest deadline.
func (q *queue) evictFor(now int64, incoming *item, expected float64) *item {
	rank := len(q.classes) - 1
	for rank >= 0 && q.classes[rank].queued == 0 {
		rank--
	}
	if rank < int(incoming.rank) {
		return nil
	}
	c := &q.classes[rank]
	mostServed, maxService := (*flow)(nil), -1.0
	for _, f := range c.active {
		n := f.queue.len()
		if f == incoming.flow {
			n++
		}
		if b := q.decay.projectedService(now, f, n, expected); b > maxService {
			mostServed, maxService = f, b
		}
	}
	if rank == int(incoming.rank) {
		if q.decay.projectedService(now, incoming.flow, incoming.flow.queue.len()+1, expected) > maxService {
			return nil
		}
		if mostServed == incoming.flow && mostServed.queue.last().deadline <= incoming.deadline {
			return nil
		}
	}
	it := mostServed.queue.popLast()
	c.itemRemoved(mostServed)
	q.length--
	return it
}

// expired removes and returns one request of the class whose deadline is before
// the given time, or nil if there is none.
func (q *queue) expired(rank int, before int64) *item {
	c := &q.classes[rank]
	for _, f := range c.active {
		if f.queue.first().deadline >= before {
			continue
		}
		it := f.queue.popFirst()
		c.itemRemoved(f)
		q.length--
		return it
	}
	return nil
}

// maintain scales recorded services down and drops idle flows, both each time
// that rebaseAfter has passed.
func (q *queue) maintain(now int64) {
	if !q.decay.needsRebase(now) {
		return
	}
	factor := 1 / q.decay.unit(now)
	q.decay.origin = now
	for rank := range q.classes {
		for name, f := range q.classes[rank].flows {
			f.service *= factor
			if f.queue.len() == 0 && now-f.lastUsed > int64(flowIdleTime) {
				delete(q.classes[rank].flows, name)
			}
		}
	}
}
