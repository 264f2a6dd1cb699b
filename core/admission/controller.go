package admission

import (
	"time"

	"github.com/toucancove/toucancove/core/target"
)

const (
	// queuePerLimit is the largest queue length for root requests, in multiples
	// of the limit.
	queuePerLimit = 1
	// callQueuePerLimit is the same for calls of other services. It is larger,
	// since the refusal of a call wastes the work done for its chain so far.
	callQueuePerLimit = 4
	// congestedShare is the queue length, as a share of the limit, above which
	// responses are marked as congested.
	congestedShare = 0.25
	// minCongested is the smallest such length in requests.
	minCongested = 6
	// minQueue is the smallest bound of the queue in requests.
	minQueue = 8
	// maxQueue bounds the part of the queue bound that follows from minQueueTime,
	// in requests, where service times are close to 0.
	maxQueue = 4096
	// minQueueTime is the smallest bound of the queue in time: as many requests
	// may wait as the limit serves within it.
	minQueueTime = 20 * time.Millisecond
	// maxCharge is the largest service time that a workspace is charged for one
	// run, in expected service times, so that one long run doesn't starve it.
	maxCharge = 2
	// shareWeight is the weight of a new decision in the admitted share.
	shareWeight = 1.0 / 32
	// minAdmittedShare is the admitted share under which a rank counts as refused.
	minAdmittedShare = 0.05
	// minRetryAfter and maxRetryAfter bound the time after which refused callers
	// may retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Config configures a Controller.
type Config struct {
	// Ranks is the number of ranks in use; later ranks count as the last.
	Ranks int
	// MaxInFlight is the largest concurrency limit, such as the number of
	// connections that the upstream accepts.
	MaxInFlight int
}

// Controller decides which requests run on one upstream instance. It is not
// safe for concurrent use.
type Controller struct {
	origin   time.Time
	limiter  limiter
	service  serviceTimes
	queue    queue
	throttle throttle
	admitted []float64 // moving average of the share of offers that started, by rank
	items    map[ID]*item
	free     []*item
	inFlight int
}

// NewController returns a controller that starts with a small limit.
func NewController(now time.Time, cfg Config) *Controller {
	ranks := max(1, cfg.Ranks)
	c := &Controller{
		origin:   now,
		limiter:  newLimiter(0, max(1, cfg.MaxInFlight)),
		service:  newServiceTimes(ranks),
		queue:    newQueue(ranks),
		throttle: newThrottle(ranks),
		admitted: make([]float64, ranks),
		items:    make(map[ID]*item),
	}
	for i := range c.admitted {
		c.admitted[i] = 1
	}
	return c
}

// SetMaxInFlight changes the largest concurrency limit.
func (c *Controller) SetMaxInFlight(n int) {
	c.limiter.maximum = float64(max(1, n))
	c.limiter.limit = min(c.limiter.limit, c.limiter.maximum)
}

// Offer decides about a new request. It may append effects that refuse queued
// requests that the new one evicts.
func (c *Controller) Offer(now time.Time, req Request, effects []Effect) (Decision, []Effect) {
	t := c.offset(now)
	rank := min(req.Rank, target.Rank(len(c.admitted)-1))
	if req.Root && !c.throttle.allow(t, rank, c.expected(t, rank)) {
		return c.refusal(t, rank, req.Root, req.ID, Downstream), effects
	}
	deadline := c.offset(req.Deadline)
	if deadline <= t || deadline < t+int64(c.expectedWait(t, rank)+c.requiredBudget(t, rank, req.Root)) {
		return c.refusal(t, rank, req.Root, req.ID, NoBudget), effects
	}
	it := c.newItem(req, rank, deadline)
	if c.queue.length == 0 && c.inFlight < c.limiter.allowed() {
		c.items[req.ID] = it
		c.start(t, it)
		return Decision{Verdict: Run}, effects
	}
	if c.queue.length >= c.queueBound(req.Root, c.expected(t, rank)) {
		evicted := c.queue.evictFor(t, it, c.expected(t, rank))
		if evicted == nil {
			c.free = append(c.free, it)
			return c.refusal(t, rank, req.Root, req.ID, Overload), effects
		}
		effects = c.refuseQueued(t, evicted, Overload, effects)
	}
	c.items[req.ID] = it
	c.queue.push(it)
	return Decision{Verdict: Queued}, effects
}

// Done records the end of a run and appends the effects that follow. An
// unknown or queued ID changes nothing.
func (c *Controller) Done(now time.Time, end Completion, effects []Effect) []Effect {
	it := c.items[end.ID]
	if it == nil || !it.running {
		return effects
	}
	t := c.offset(now)
	service := float64(t - it.started)
	c.service.recordEnd(t, it.rank, service, end.Outcome)
	c.limiter.finished(t, it.phase, service, min(service, float64(end.DeeperTime)), end.Outcome)
	c.queue.decay.charge(t, it.flow, min(service, maxCharge*it.charged)-it.charged)
	if it.root {
		c.throttle.observe(t, it.rank, end, c.expected(t, it.rank))
	}
	c.inFlight--
	c.recycle(it)
	return c.startQueued(t, effects)
}

// Cancel drops a queued request whose caller has disconnected. It doesn't change
// a running request, whose end must still be reported with Done.
func (c *Controller) Cancel(id ID) {
	it := c.items[id]
	if it == nil || it.running {
		return
	}
	c.queue.remove(it)
	c.returnCredit(it.rank, it.root)
	c.recycle(it)
}

// Tick appends the effects of the passing of time: it refuses queued requests
// that can no longer finish before their deadlines and starts others if the
// limit allows it. Call it every few milliseconds while requests are queued.
func (c *Controller) Tick(now time.Time, effects []Effect) []Effect {
	t := c.offset(now)
	c.limiter.advance(t)
	c.queue.maintain(t)
	effects = c.expire(t, effects)
	return c.startQueued(t, effects)
}

// Hint returns the summary of the state that entries use.
func (c *Controller) Hint(now time.Time) Hint {
	t := c.offset(now)
	h := Unlimited
	h.Limit, h.InFlight = c.limiter.allowed(), c.inFlight
	spare := c.queue.length == 0 && c.inFlight < h.Limit
	for r := range target.Rank(len(c.admitted)) {
		if h.CongestedFrom == AllRanks && c.Congested(r) {
			h.CongestedFrom = r
		}
		refused := !spare && c.admitted[r] < minAdmittedShare
		if refused {
			h.Calls = h.Calls.without(r)
		}
		if refused || c.throttle.refuses(r) {
			h.Roots = h.Roots.without(r)
			h.RetryAfter = max(h.RetryAfter, c.retryAfter(t, r, 0))
		}
	}
	h.QueueDelay = time.Duration(c.expectedWait(t, min(h.Calls.Lowest, target.Rank(len(c.admitted)-1))))
	return h
}

// Congested reports whether the queue ahead of a request of the rank is long.
// Responses sent while it is are marked as congested, so that the guard of the
// root request admits less before this guard has to refuse calls.
func (c *Controller) Congested(rank target.Rank) bool {
	rank = min(rank, target.Rank(len(c.admitted)-1))
	return float64(c.queue.ahead(rank)) > max(minCongested, congestedShare*float64(c.limiter.allowed()))
}

// Queued returns the number of queued requests.
func (c *Controller) Queued() int { return c.queue.length }

// offset returns a time as nanoseconds since the start of the controller.
func (c *Controller) offset(t time.Time) int64 { return int64(t.Sub(c.origin)) }

// queueBound returns the largest length of the queue. The expected service
// time is in nanoseconds.
func (c *Controller) queueBound(root bool, expected float64) int {
	perLimit := callQueuePerLimit
	if root {
		perLimit = queuePerLimit
	}
	limit := c.limiter.allowed()
	bound := max(minQueue, perLimit*limit)
	if expected > 0 {
		bound = max(bound, int(min(maxQueue, float64(limit)*float64(minQueueTime)/expected)))
	}
	return bound
}

// expectedWait returns the expected time in the queue in nanoseconds, by
// Little's law.
func (c *Controller) expectedWait(t int64, rank target.Rank) float64 {
	return float64(c.queue.ahead(rank)) * c.service.all.expected(t) / float64(c.limiter.allowed())
}

// requiredBudget returns the time left until the deadline that a request needs
// to be run, in nanoseconds. Root requests need more, since refusing them wastes
// no work.
func (c *Controller) requiredBudget(t int64, rank target.Rank, root bool) float64 {
	if root {
		return c.service.of(t, rank).conservative(t)
	}
	return c.expected(t, rank)
}

// expected returns the expected service time of the rank in nanoseconds.
func (c *Controller) expected(t int64, rank target.Rank) float64 {
	return c.service.of(t, rank).expected(t)
}

func (c *Controller) newItem(req Request, rank target.Rank, deadline int64) *item {
	var it *item
	if n := len(c.free); n > 0 {
		it = c.free[n-1]
		c.free = c.free[:n-1]
	} else {
		it = &item{}
	}
	f := c.queue.classes[rank].flow(req.Workspace, req.Share)
	*it = item{id: req.ID, rank: rank, root: req.Root, flow: f, deadline: deadline}
	return it
}

// recycle removes a request and keeps its item for reuse.
func (c *Controller) recycle(it *item) {
	delete(c.items, it.id)
	c.free = append(c.free, it)
}

func (c *Controller) start(t int64, it *item) {
	c.inFlight++
	it.running = true
	it.started = t
	it.phase = c.limiter.started(t, c.inFlight)
	it.charged = c.service.all.expected(t)
	c.queue.decay.charge(t, it.flow, it.charged)
	c.admitted[it.rank] += (1 - c.admitted[it.rank]) * shareWeight
}

// startQueued starts queued requests while the limit allows it. It refuses those
// that can no longer finish before their deadlines.
func (c *Controller) startQueued(t int64, effects []Effect) []Effect {
	for c.inFlight < c.limiter.allowed() {
		it := c.queue.pop()
		if it == nil {
			break
		}
		if it.deadline < t+int64(c.requiredBudget(t, it.rank, it.root)) {
			effects = c.refuseQueued(t, it, NoBudget, effects)
			continue
		}
		c.start(t, it)
		effects = append(effects, Effect{Kind: Start, ID: it.id})
	}
	return effects
}

// expire refuses queued requests that can no longer finish before their
// deadlines.
func (c *Controller) expire(t int64, effects []Effect) []Effect {
	for rank := range c.queue.classes {
		before := t + int64(c.expected(t, target.Rank(rank)))
		for it := c.queue.expired(rank, before); it != nil; it = c.queue.expired(rank, before) {
			effects = c.refuseQueued(t, it, NoBudget, effects)
		}
	}
	return effects
}

// refuseQueued refuses a request that has left the queue.
func (c *Controller) refuseQueued(t int64, it *item, reason Reason, effects []Effect) []Effect {
	d := c.refusal(t, it.rank, it.root, it.id, reason)
	c.recycle(it)
	return append(effects, Effect{Kind: Refuse, ID: it.id, Reason: reason, RetryAfter: d.RetryAfter})
}

// refusal records and returns the decision to refuse a request.
func (c *Controller) refusal(t int64, rank target.Rank, root bool, id ID, reason Reason) Decision {
	if reason != Downstream {
		c.admitted[rank] -= c.admitted[rank] * shareWeight
		c.returnCredit(rank, root)
	}
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: c.retryAfter(t, rank, id)}
}

// returnCredit returns the credit of a root request that doesn't run to the
// throttle.
func (c *Controller) returnCredit(rank target.Rank, root bool) {
	if root {
		c.throttle.returnUnused(rank)
	}
}

// retryAfter estimates when the rank will be admitted again: the time to serve
// the queue, divided by the recently admitted share. It is longer by up to a
// half, depending on the ID, so that refused callers don't retry at the same
// time.
func (c *Controller) retryAfter(t int64, rank target.Rank, id ID) time.Duration {
	share := max(0.01, min(c.admitted[rank], c.throttle.ranks[rank].admitted))
	base := (c.expectedWait(t, rank) + c.expected(t, rank)) / share
	base = min(float64(maxRetryAfter), max(float64(minRetryAfter), base))
	const golden = 0x9E3779B97F4A7C15 // spreads successive IDs evenly
	spread := float64(uint64(id)*golden>>32) / (1 << 32)
	return time.Duration(base * (1 + spread/2))
}
