package mesh

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/quarantine"
	"github.com/toucancove/toucancove/core/retry"
	"github.com/toucancove/toucancove/core/slots"
	"github.com/toucancove/toucancove/follow"
)

const (
	// maxRequestWait bounds the queue time of a new request. After it, another
	// instance or a refusal serves the caller better.
	maxRequestWait = 100 * time.Millisecond
	// maxCallWait bounds the queue time of a call. It is longer, since a refusal
	// wastes the work done for the parent; usually the deadline comes first.
	maxCallWait = 2 * time.Second
	// refusalMargin is how long before the deadline the guard stops queueing a
	// request. The refusal, which reports that the request did not run, must
	// reach the entry before the entry gives up. It covers two trips between
	// zones of a region and some scheduling delay.
	refusalMargin = 20 * time.Millisecond
	// minServiceTimeShare is the share of the average service time that must be
	// left before the deadline for a request to be started.
	minServiceTimeShare = 0.5
)

// guardConfig configures a guard.
type guardConfig struct {
	headers Headers
	// address is the IP:port of the own instance.
	address string
	state   func() *follow.State
	// stopping holds the steps of a planned stop.
	stopping *stopSteps
	calls    *callTracker
	report   *reporter
	// quarantines finds the requests that crash the own instance.
	quarantines *quarantines
	// observeVersions is called with the versions that a peer sent.
	observeVersions func(address string, v versions)
}

// guard decides which requests run on the own instance. It is safe for
// concurrent use.
type guard struct {
	cfg  guardConfig
	pool *connPool

	mu     sync.Mutex
	queue  *slots.Queue
	lastID slots.ID
	// waiting holds the channel that receives the decision about each queued
	// request.
	waiting map[slots.ID]chan slots.Verdict
	// effects is reused for the decisions about waiting requests.
	effects []slots.Effect
	// startTimer starts the next request that waits for the request limit.
	startTimer *time.Timer
	// resends bounds the requests that are sent to the instance again.
	resends retry.WindowBudget
	// serviceTime is the moving average of the service time by route.
	serviceTime map[string]time.Duration
	// own is the own instance as last listed, announced what it said of itself.
	own       catalog.Instance
	announced announcements
	// responded is set once the own instance has responded to this node.
	responded bool
	// crashCheck is the check under way whether the own instance has crashed.
	crashCheck *crashCheck
	// listed is set while the own instance is listed, draining while the list marks it
	// as draining.
	listed, draining atomic.Bool
	// instanceLeaving is set once the own instance has announced that it leaves.
	instanceLeaving atomic.Bool
}

func newGuard(cfg guardConfig) *guard {
	return &guard{
		cfg: cfg, pool: newConnPool(cfg.address, cfg.headers.RequestID), queue: slots.NewQueue(time.Now()),
		waiting: make(map[slots.ID]chan slots.Verdict), serviceTime: make(map[string]time.Duration),
	}
}

// guardRequest is a request for the own instance. atMostOnce is set unless the
// route is idempotent.
type guardRequest struct {
	request    *fasthttp.Request
	body       *body
	sendings   *sendings
	info       requestInfo
	route      string
	atMostOnce bool
	deadline   time.Time
	// identity identifies the request when it comes again.
	identity *quarantine.Request
}

// stateChanged applies the published slots and draining state of the own instance,
// and drops the state of removed routes.
func (g *guard) stateChanged(state *follow.State) {
	g.cfg.calls.stateChanged(state)
	g.deleteRemovedRoutes(state)
	own, listed := g.ownInstance(state)
	g.listed.Store(listed)
	g.draining.Store(listed && own.Draining)
	if !listed {
		return
	}
	g.cfg.quarantines.stateChanged(state, quarantine.Crash{Instance: own.ID, Boot: own.Boot}, own.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetSlots(own.Slots)
	if g.own.ID != own.ID || g.own.Boot != own.Boot {
		g.own = own
		g.announced, g.responded = announcements{}, false
		g.instanceLeaving.Store(false)
		g.queue.ClearRate()
		g.startWaiting(time.Now())
	}
}

func (g *guard) deleteRemovedRoutes(state *follow.State) {
	if state.Catalog == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.serviceTime, func(name string, _ time.Duration) bool { return state.Catalog.Route(name) == nil })
}

// ownInstance returns the listed instance whose address is that of the own instance.
func (g *guard) ownInstance(state *follow.State) (catalog.Instance, bool) {
	for _, instance := range state.Instances() {
		if instance.Address == g.cfg.address {
			return instance, true
		}
	}
	return catalog.Instance{}, false
}

// run runs a request on the own instance once it has a slot. The outcome always has
// a hint.
func (g *guard) run(ctx context.Context, c guardRequest) outcome {
	o := g.admitAndSend(ctx, c)
	o.hint, o.hasHint = g.hint(c.route), true
	o.callNotRun = o.failed() && g.cfg.calls.runFailed(time.Now())
	return o
}

func (g *guard) admitAndSend(ctx context.Context, c guardRequest) outcome {
	if g.draining.Load() || g.instanceLeaving.Load() {
		return refusedOutcome(reasonDraining, "")
	}
	if g.cfg.stopping.refusesPeers.Load() {
		return refusedOutcome(reasonLeaving, "")
	}
	if refused := g.cfg.quarantines.check(c.identity); refused != "" {
		return refusedOutcome(refused, "")
	}
	verdict := g.acquire(ctx, c)
	switch verdict {
	case slots.Run:
	case slots.TooLate:
		return refusedOutcome(reasonTooLate, "")
	case slots.Limited:
		return refusedOutcome(reasonInstanceLimited, "")
	default:
		if context.Cause(ctx) != nil {
			return refusedOutcome(reasonCallerGone, "")
		}
		return refusedOutcome(reasonInstanceOverloaded, "")
	}
	started := time.Now()
	o := g.sendUntilAccepted(ctx, c)
	g.release(c.route, time.Since(started), o.run == runYes)
	return o
}

// acquire waits for a slot and returns the decision.
func (g *guard) acquire(ctx context.Context, c guardRequest) slots.Verdict {
	expected := g.minServiceTime(c.route)
	id, verdict, start := g.offer(c, expected)
	if verdict != slots.Wait {
		return verdict
	}
	wait, refused := maxWait(c.info), slots.Overloaded
	if g.limited() {
		wait, refused = min(wait, slots.MaxRateWait), slots.Limited
	}
	// A request that can no longer complete in time is refused.
	timer := time.NewTimer(min(time.Until(c.deadline)-max(refusalMargin, expected), wait))
	defer timer.Stop()
	select {
	case verdict := <-start:
		return verdict
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	cancelled := g.queue.Cancel(time.Now(), id)
	delete(g.waiting, id)
	g.mu.Unlock()
	if cancelled {
		return refused
	}
	verdict = <-start
	if verdict == slots.Run && context.Cause(ctx) != nil {
		g.release("", 0, false)
		return slots.Overloaded
	}
	return verdict
}

func maxWait(info requestInfo) time.Duration {
	if info.Call {
		return maxCallWait
	}
	return maxRequestWait
}

// minServiceTime returns the minimum time that must be left to start a request of
// the route.
func (g *guard) minServiceTime(route string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(minServiceTimeShare * float64(g.serviceTime[route]))
}

func (g *guard) offer(c guardRequest, expected time.Duration) (slots.ID, slots.Verdict, chan slots.Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	verdict := g.queue.Offer(time.Now(), slots.Request{
		ID: g.lastID, Rank: c.info.Rank, Call: c.info.Call, Deadline: c.deadline,
		Expected: expected, MaxWait: maxWait(c.info),
	})
	if verdict != slots.Wait {
		return g.lastID, verdict, nil
	}
	start := make(chan slots.Verdict, 1)
	g.waiting[g.lastID] = start
	g.scheduleStart(time.Now())
	return g.lastID, verdict, start
}

// release frees the slot of a run and delivers the decisions about waiting requests.
func (g *guard) release(route string, took time.Duration, ran bool) {
	const weight = 0.05 // of one run in the moving average
	g.mu.Lock()
	defer g.mu.Unlock()
	if ran {
		if average, known := g.serviceTime[route]; known {
			g.serviceTime[route] = average + time.Duration(weight*float64(took-average))
		} else {
			g.serviceTime[route] = took
		}
	}
	now := time.Now()
	g.effects = g.queue.Done(now, took, g.effects[:0])
	g.deliver(now)
}

// send sends the request to the own instance.
func (g *guard) send(ctx context.Context, c guardRequest) outcome {
	left := time.Until(c.deadline)
	if left < time.Millisecond {
		return refusedOutcome(reasonTooLate, "")
	}
	header := &c.request.Header
	header.Del(headerCall)
	header.Del(headerEra)
	header.Del(headerLimit)
	header.Del(headerMarks)
	setBudget(header, g.cfg.headers.Budget, left)
	p := &parent{
		deadline: time.Now().Add(left.Truncate(time.Millisecond)), rank: c.info.Rank, chain: g.cfg.calls.chain(c.route),
	}
	g.cfg.calls.begin(p)
	defer g.cfg.calls.end(p)
	sent := time.Now()
	// Another suspect may have started, or a report of a crash arrived, since the check.
	run, runCtx, refused := g.cfg.quarantines.begin(ctx, c.identity)
	if refused != "" {
		return refusedOutcome(refused, "")
	}
	received, err := g.pool.exchange(runCtx, c.request, exchangeOptions{
		body: c.body, sendings: c.sendings, deadline: c.deadline, atMostOnce: c.atMostOnce,
	})
	if err == nil {
		g.observeAnnouncements(sent, received)
	}
	return g.endRun(runCtx, run, received, err)
}

// hint returns the hint that goes with the response to a request of the route.
func (g *guard) hint(route string) hint {
	now := time.Now()
	g.mu.Lock()
	own := g.queue.Pressure(now)
	g.mu.Unlock()
	chain := max(own, g.cfg.calls.chain(route).value(now))
	return hint{
		Own: percent(own), Chain: percent(chain), Leaving: g.cfg.stopping.announced.Load(), versions: versionsOf(g.cfg.state()),
	}
}

// handle serves requests from the entries of other nodes.
func (g *guard) handle(ctx *fasthttp.RequestCtx) {
	arrived := time.Now()
	info, ok := parseRequestInfo(string(ctx.Request.Header.Peek(headerCall)))
	budget, hasBudget := parseBudget(ctx.Request.Header.Peek(g.cfg.headers.Budget))
	if !ok || !hasBudget {
		ctx.Error("not a request of a node", fasthttp.StatusBadRequest)
		ctx.Response.Header.Set(headerRefused, string(reasonUnreadable))
		return
	}
	if v, ok := info.withEra(ctx.Request.Header.Peek(headerEra)); ok {
		g.cfg.observeVersions(ctx.RemoteIP().String(), v)
	}
	g.adoptLimit(&ctx.Request.Header)
	g.cfg.quarantines.merge(decodeMarks(ctx.Request.Header.Peek(headerMarks)), "request from "+ctx.RemoteIP().String())
	state := g.cfg.state()
	c := guardRequest{info: info, deadline: arrived.Add(budget), atMostOnce: true}
	if state.Catalog != nil {
		if route := state.Catalog.Match(string(ctx.Host()), string(ctx.Path())); route != nil {
			c.route, c.atMostOnce = route.Name, !route.Kind.Repeatable()
		}
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	ctx.Request.Header.CopyTo(&request.Header)
	removeHopByHopHeaders(&request.Header)
	c.request = request
	body, err := readBody(ctx)
	if err != nil {
		g.write(ctx, c, refusedOutcome(reasonBadBody, err.Error()), arrived)
		return
	}
	c.identity = identify(&request.Header, g.cfg.headers, body)
	c.body, c.sendings = body, &sendings{}
	requestCtx, end := watchCaller(ctx, body)
	o := g.run(requestCtx, c)
	end()
	g.write(ctx, c, o, arrived)
}

// write sends the response to the entry.
func (g *guard) write(ctx *fasthttp.RequestCtx, c guardRequest, o outcome, arrived time.Time) {
	if o.response != nil {
		writeResponse(ctx, o.response)
	} else {
		status, header := fasthttp.StatusServiceUnavailable, headerRefused
		if o.run != runNo {
			status, header = fasthttp.StatusBadGateway, headerFailed
		}
		ctx.Response.Header.SetNoDefaultContentType(true)
		ctx.SetStatusCode(status)
		ctx.Response.Header.Set(header, string(o.reason))
	}
	if id := ctx.Request.Header.Peek(g.cfg.headers.RequestID); len(id) > 0 {
		ctx.Response.Header.SetBytesV(g.cfg.headers.RequestID, id)
	}
	if o.hasHint {
		ctx.Response.Header.SetBytesV(headerHint, o.hint.append(nil))
		if era := o.hint.eraText(); era != "" {
			ctx.Response.Header.Set(headerEra, era)
		}
	}
	if o.callNotRun {
		ctx.Response.Header.Set(headerCallNotRun, "1")
	}
	if o.response == nil {
		setMarks(&ctx.Response.Header, g.cfg.quarantines.marksOf(func() *quarantine.Request { return c.identity }))
	}
	if g.cfg.stopping.refusesPeers.Load() {
		ctx.SetConnectionClose() // the other node would meet the end of the process on it
	}
	if o.response == nil || o.run == runNo {
		g.cfg.report.guardDecision(ctx, c, &o, time.Since(arrived))
	}
}
