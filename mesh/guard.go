package mesh

import (
	"context"
	"errors"
	"maps"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/slots"
	"github.com/toucancove/toucancove/follow"
)

const (
	// rootWait bounds the queue time of a new request: after that another
	// instance, or a refusal, serves its caller better.
	rootWait = 100 * time.Millisecond
	// callWait bounds the queue time of a call for a running request, whose
	// work so far would be lost. Its deadline comes first as a rule.
	callWait = 2 * time.Second
	// lastWord is the part of a request's time in which the guard no longer lets
	// it wait: its refusal, which says that nothing ran, reaches the entry before
	// the entry gives up. Two ways between zones of a region and some waiting for
	// a processor take this long.
	lastWord = 20 * time.Millisecond
	// expectedShare is the part of the usual run time that must be left for a
	// request to be started.
	expectedShare = 0.5
)

// guardConfig configures a guard.
type guardConfig struct {
	headers Headers
	// address is the listener of the own instance.
	address string
	state   func() *follow.State
	leaving *atomic.Bool
	closed  *atomic.Bool
	lineage *lineage
	report  *reporter
	// seen is told what peers know.
	seen func(address string, k known)
}

// guard decides which requests run on the own instance. It is safe for
// concurrent use.
type guard struct {
	cfg  guardConfig
	link *link

	mu      sync.Mutex
	queue   *slots.Queue
	lastID  slots.ID
	waiting map[slots.ID]chan slots.Verdict
	effects []slots.Effect
	// usual is the average run time of each route.
	usual map[string]time.Duration
	// draining is set while the list says that the own instance drains.
	draining atomic.Bool
}

func newGuard(cfg guardConfig) *guard {
	return &guard{
		cfg: cfg, link: newLink(cfg.address, cfg.headers.RequestID), queue: slots.NewQueue(time.Now()),
		waiting: make(map[slots.ID]chan slots.Verdict), usual: make(map[string]time.Duration),
	}
}

// guardCall is a request for the own instance.
type guardCall struct {
	request  *fasthttp.Request
	info     callInfo
	route    string
	once     bool
	deadline time.Time
}

// stateChanged takes the published slots of the own instance, and forgets routes
// that are gone.
func (g *guard) stateChanged(state *follow.State) {
	g.cfg.lineage.stateChanged(state)
	g.forgetRoutes(state)
	own, listed := g.own(state)
	g.draining.Store(listed && own.Draining)
	if !listed {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetSlots(own.Slots)
}

func (g *guard) forgetRoutes(state *follow.State) {
	if state.Catalog == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.usual, func(name string, _ time.Duration) bool { return state.Catalog.Route(name) == nil })
}

// own returns the list's entry of the own instance.
func (g *guard) own(state *follow.State) (catalog.Instance, bool) {
	if state.Directory == nil {
		return catalog.Instance{}, false
	}
	for _, instance := range state.Directory.Instances() {
		if instance.Address == g.cfg.address {
			return instance, true
		}
	}
	return catalog.Instance{}, false
}

// run runs a request on the own instance when it has a slot. The outcome holds
// a hint.
func (g *guard) run(ctx context.Context, c guardCall) outcome {
	o := g.admitAndSend(ctx, c)
	o.hint, o.hinted = g.hint(c.route), true
	return o
}

func (g *guard) admitAndSend(ctx context.Context, c guardCall) outcome {
	if g.draining.Load() {
		return refusedOutcome(reasonDraining, "")
	}
	if g.cfg.closed.Load() {
		return refusedOutcome(reasonLeaving, "")
	}
	verdict := g.acquire(ctx, c)
	switch verdict {
	case slots.Run:
	case slots.TooLate:
		return refusedOutcome(reasonTooLate, "")
	default:
		if context.Cause(ctx) != nil {
			return refusedOutcome(reasonGone, "")
		}
		return refusedOutcome(reasonOverloaded, "")
	}
	started := time.Now()
	o := g.send(ctx, c)
	g.release(c.route, time.Since(started), o.run == runYes)
	return o
}

// acquire waits for a slot.
func (g *guard) acquire(ctx context.Context, c guardCall) slots.Verdict {
	expected := g.expected(c.route)
	id, verdict, start := g.offer(c, expected)
	if verdict != slots.Wait {
		return verdict
	}
	// Once it can't be run in time, its answer is due.
	timer := time.NewTimer(min(time.Until(c.deadline)-max(lastWord, expected), maxWait(c.info)))
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
		return slots.Overloaded
	}
	verdict = <-start
	if verdict == slots.Run && context.Cause(ctx) != nil {
		g.release("", 0, false)
		return slots.Overloaded
	}
	return verdict
}

func maxWait(info callInfo) time.Duration {
	if info.Invested {
		return callWait
	}
	return rootWait
}

// expected returns the time that a run of the route takes at the least, as a
// rule.
func (g *guard) expected(route string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(expectedShare * float64(g.usual[route]))
}

func (g *guard) offer(c guardCall, expected time.Duration) (slots.ID, slots.Verdict, chan slots.Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	verdict := g.queue.Offer(time.Now(), slots.Request{
		ID: g.lastID, Rank: c.info.Rank, Call: c.info.Invested, Deadline: c.deadline,
		Expected: expected, MaxWait: maxWait(c.info),
	})
	if verdict != slots.Wait {
		return g.lastID, verdict, nil
	}
	start := make(chan slots.Verdict, 1)
	g.waiting[g.lastID] = start
	return g.lastID, verdict, start
}

// release frees a slot and starts waiting requests.
func (g *guard) release(route string, took time.Duration, ran bool) {
	const weight = 0.05 // of one run in the average of its route
	g.mu.Lock()
	defer g.mu.Unlock()
	if ran {
		if usual, known := g.usual[route]; known {
			g.usual[route] = usual + time.Duration(weight*float64(took-usual))
		} else {
			g.usual[route] = took
		}
	}
	g.effects = g.queue.Done(time.Now(), took, g.effects[:0])
	for _, effect := range g.effects {
		if start, ok := g.waiting[effect.ID]; ok {
			start <- effect.Verdict
			delete(g.waiting, effect.ID)
		}
	}
}

// send hands the request to the own instance.
func (g *guard) send(ctx context.Context, c guardCall) outcome {
	left := time.Until(c.deadline)
	if left < time.Millisecond {
		return refusedOutcome(reasonTooLate, "")
	}
	header := &c.request.Header
	header.Del(headerCall)
	setBudget(header, g.cfg.headers.Budget, left)
	p := &parent{
		deadline: time.Now().Add(left.Truncate(time.Millisecond)), rank: c.info.Rank, chain: g.cfg.lineage.chain(c.route),
	}
	g.cfg.lineage.begin(p)
	defer g.cfg.lineage.end(p)
	answer, err := g.link.exchange(ctx, c.request, exchangeOptions{deadline: c.deadline, once: c.once})
	if err != nil {
		return exchangeFailure(ctx, err)
	}
	return answered(answer, g.cfg.headers.NotRun)
}

// exchangeFailure is the outcome of an exchange without an answer.
func exchangeFailure(ctx context.Context, err error) outcome {
	var failed *exchangeError
	notRun := errors.As(err, &failed) && failed.notRun()
	r := reasonLost
	switch {
	case context.Cause(ctx) != nil:
		r = reasonGone
	case notRun:
		r = reasonConnect
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, fasthttp.ErrTimeout):
		r = reasonTimeout
	}
	if notRun {
		return refusedOutcome(r, err.Error())
	}
	return failedOutcome(r, err.Error())
}

// hint tells the entry what the guard knows after a request of the route.
func (g *guard) hint(route string) hint {
	now := time.Now()
	g.mu.Lock()
	own := g.queue.Pressure(now)
	g.mu.Unlock()
	chain := max(own, g.cfg.lineage.chain(route).value(now))
	state := g.cfg.state()
	return hint{
		Own: percent(own), Chain: percent(chain), Leaving: g.cfg.leaving.Load(),
		known: known{state.Version(), state.Revision()},
	}
}

// handle serves the listener for other nodes.
func (g *guard) handle(ctx *fasthttp.RequestCtx) {
	arrived := time.Now()
	info, ok := parseCall(string(ctx.Request.Header.Peek(headerCall)))
	budget, hasBudget := parseBudget(ctx.Request.Header.Peek(g.cfg.headers.Budget))
	if !ok || !hasBudget {
		ctx.Error("not a request of a node", fasthttp.StatusBadRequest)
		return
	}
	g.cfg.seen(ctx.RemoteIP().String(), info.known)
	state := g.cfg.state()
	c := guardCall{info: info, deadline: arrived.Add(budget), once: true}
	if state.Catalog != nil {
		if route := state.Catalog.Match(string(ctx.Host()), string(ctx.Path())); route != nil {
			c.route, c.once = route.Name, !route.Kind.Repeatable()
		}
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	ctx.Request.Header.CopyTo(&request.Header)
	dropConnectionHeaders(&request.Header)
	c.request = request
	body, err := readBody(ctx)
	if err != nil {
		g.write(ctx, c, refusedOutcome(reasonBody, err.Error()), arrived)
		return
	}
	body.attach(request)
	callCtx, end := watchCaller(ctx, body)
	o := g.run(callCtx, c)
	end()
	g.write(ctx, c, o, arrived)
}

// write answers the entry.
func (g *guard) write(ctx *fasthttp.RequestCtx, c guardCall, o outcome, arrived time.Time) {
	if o.reply != nil {
		writeReply(ctx, o.reply)
	} else {
		status, header := fasthttp.StatusServiceUnavailable, headerRefused
		if o.run != runNo {
			status, header = fasthttp.StatusBadGateway, headerFailed
		}
		ctx.Response.Header.SetNoDefaultContentType(true)
		ctx.SetStatusCode(status)
		ctx.Response.Header.Set(header, string(o.reason))
	}
	if o.hinted {
		ctx.Response.Header.SetBytesV(headerHint, o.hint.append(nil))
	}
	if o.reply == nil || o.run == runNo {
		g.cfg.report.guardDecision(ctx, c, &o, time.Since(arrived))
	}
}
