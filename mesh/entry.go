package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/follow"
)

const (
	// deliveryGrace is how long after a route's timeout an answer that is under
	// way is still waited for. Operators accept a quarter of a second.
	deliveryGrace = 120 * time.Millisecond
	// defaultBudget bounds requests that state no time.
	defaultBudget = 30 * time.Second
	// notReadyRetry is when callers of a node without configuration come back.
	notReadyRetry = 300 * time.Millisecond
)

// entryConfig configures an entry.
type entryConfig struct {
	headers Headers
	// service is that of the own instance, the origin of all requests here.
	service string
	// nodeIP is the address of the node, from which its instance calls.
	nodeIP  net.IP
	state   func() *follow.State
	leaving *atomic.Bool
	closed  *atomic.Bool
	lineage *lineage
	guard   *guard
	peers   *peers
	routes  *routes
	gates   *gates
	quota   *quota
	report  *reporter
}

// entry takes requests of clients and of the own instance and passes them to an
// instance of the wanted service. It is safe for concurrent use.
type entry struct {
	cfg entryConfig
}

// request is one request at its entry.
type request struct {
	id        string
	arrived   time.Time
	route     *catalog.Route
	service   string
	workspace *catalog.Workspace
	rank      catalog.Rank
	// parent is set for a call of the own instance, if it was found.
	parent *parent
	// call is set for a call of the own instance.
	call bool
	// budget is the time that the caller waits.
	budget   time.Duration
	deadline time.Time
	// returned is set for a request that came back when it was told to.
	returned bool

	out  *fasthttp.Request
	body *body
	// sent counts the instances that the request arrived at.
	sent  int
	tried []member.InstanceID
}

// handle serves the listener for clients and the own instance.
func (e *entry) handle(ctx *fasthttp.RequestCtx) {
	headerRead(ctx)
	r := &request{arrived: time.Now(), id: string(ctx.Request.Header.Peek(e.cfg.headers.RequestID))}
	if refused := e.identify(ctx, r); refused != nil {
		e.refuse(ctx, r, *refused)
		return
	}
	if refused := e.admit(r); refused != nil {
		e.refuse(ctx, r, *refused)
		return
	}
	body, err := readBody(ctx)
	if err != nil {
		e.refuse(ctx, r, refusal{status: fasthttp.StatusBadRequest, reason: reasonBody, detail: err.Error()})
		return
	}
	r.body = body
	r.out = fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r.out)
	e.prepare(ctx, r)
	callCtx, end := watchCaller(ctx, body)
	o := e.dispatch(callCtx, r)
	end()
	e.finish(ctx, r, o)
}

// identify finds the route, the workspace and the origin of a request.
func (e *entry) identify(ctx *fasthttp.RequestCtx, r *request) *refusal {
	state := e.cfg.state()
	if state.Catalog == nil {
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonNotReady, retryAfter: notReadyRetry}
	}
	header := &ctx.Request.Header
	r.route = state.Catalog.Match(string(ctx.Host()), string(ctx.Path()))
	if r.route == nil {
		return &refusal{status: fasthttp.StatusNotFound, reason: reasonNoRoute}
	}
	if limit := state.Catalog.Limits().HeaderBytes; limit > 0 && len(header.RawHeaders()) > limit {
		return &refusal{status: fasthttp.StatusRequestHeaderFieldsTooLarge, reason: reasonHeader, detail: "header exceeds the limit"}
	}
	if limit := state.Catalog.Limits().BodyBytes; limit > 0 && int64(header.ContentLength()) > limit {
		return &refusal{status: fasthttp.StatusRequestEntityTooLarge, reason: reasonBody, detail: "body exceeds the limit"}
	}
	if !r.route.Public && len(state.Catalog.Workspaces()) > 0 {
		r.workspace = state.Catalog.Owner(string(header.Peek(e.cfg.headers.Key)))
		if r.workspace == nil {
			return &refusal{status: fasthttp.StatusUnauthorized, reason: reasonNoKey}
		}
	}
	e.setTimes(ctx, r)
	r.call = e.cfg.nodeIP != nil && r.workspace == nil && e.cfg.nodeIP.Equal(ctx.RemoteIP())
	if !r.call && e.cfg.closed.Load() {
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonLeaving, retryAfter: notReadyRetry}
	}
	r.rank = state.Catalog.RankOf(r.route, r.workspace)
	if r.call {
		if r.parent = e.cfg.lineage.parentOf(r.arrived.Add(r.budget)); r.parent != nil {
			r.rank = r.parent.rank
		}
	}
	r.service = e.cfg.routes.part(r.route)
	return nil
}

// setTimes reads how long the caller waits. The route's timeout bounds it.
func (e *entry) setTimes(ctx *fasthttp.RequestCtx, r *request) {
	budget, ok := parseBudget(ctx.Request.Header.Peek(e.cfg.headers.Budget))
	if !ok {
		budget = defaultBudget
	}
	r.budget = budget
	if timeout := r.route.Timeout; timeout > 0 {
		budget = min(budget, timeout+deliveryGrace)
	}
	r.deadline = r.arrived.Add(budget)
}

// admit applies the quota of the workspace and the load of the chain.
func (e *entry) admit(r *request) *refusal {
	if r.call {
		return nil
	}
	r.returned = e.cfg.gates.returned(r)
	if !e.cfg.gates.admit(r, rand.Float64()) {
		return &refusal{
			status: fasthttp.StatusServiceUnavailable, reason: reasonShed, retryAfter: e.cfg.gates.retryAfter(r),
		}
	}
	// The quota counts what runs: a request that the load turns away takes
	// nothing from it.
	if r.workspace != nil {
		if ok, retryAfter := e.cfg.quota.take(r.workspace.Name); !ok {
			return &refusal{status: fasthttp.StatusTooManyRequests, reason: reasonQuota, retryAfter: retryAfter}
		}
	}
	return nil
}

// prepare makes the request that the instance receives.
func (e *entry) prepare(ctx *fasthttp.RequestCtx, r *request) {
	header := &r.out.Header
	ctx.Request.Header.CopyTo(header)
	dropConnectionHeaders(header)
	names := e.cfg.headers
	header.Del(names.Key)
	header.Del(names.Workspace)
	header.Del(names.Instance)
	header.Set(names.Caller, e.cfg.service)
	if r.workspace != nil {
		header.Set(names.Workspace, r.workspace.Name)
	}
}

// finish answers the caller.
func (e *entry) finish(ctx *fasthttp.RequestCtx, r *request, o outcome) {
	if o.reply != nil && o.run == runYes {
		e.cfg.report.answered(r, o.instance, o.reply.response.StatusCode())
		writeReply(ctx, o.reply)
		e.closeIfLeaving(ctx)
		return
	}
	o.release()
	if o.run == runNo && r.workspace != nil {
		e.cfg.quota.giveBack(r.workspace.Name)
	}
	e.refuse(ctx, r, e.finalRefusal(r, &o))
}

// finalRefusal is the answer for a request that has none of an instance.
func (e *entry) finalRefusal(r *request, o *outcome) refusal {
	answer := refusal{reason: o.reason, detail: o.detail, run: o.run}
	switch {
	case o.run == runNo:
		answer.status = fasthttp.StatusServiceUnavailable
		answer.retryAfter = e.cfg.gates.retryAfter(r)
	case o.reason == reasonTimeout:
		answer.status = fasthttp.StatusGatewayTimeout
	default:
		answer.status = fasthttp.StatusBadGateway
	}
	return answer
}

func (e *entry) closeIfLeaving(ctx *fasthttp.RequestCtx) {
	if e.cfg.leaving.Load() {
		ctx.SetConnectionClose()
	}
}

// refuse answers in place of an instance.
func (e *entry) refuse(ctx *fasthttp.RequestCtx, r *request, answer refusal) {
	answer.write(ctx, e.cfg.headers.RequestID, r.id)
	e.closeIfLeaving(ctx)
	e.cfg.report.refused(e, r, &answer)
}

// dispatch tries instances until one answers or the request must be given up.
func (e *entry) dispatch(ctx context.Context, r *request) outcome {
	all := refusedOutcome(reasonNoInstance, "")
	for {
		route, err := e.cfg.routes.pick(r)
		if err != nil {
			if len(r.tried) == 0 {
				e.cfg.gates.observeTimeout(r, r.arrived)
			}
			return all
		}
		last := e.attempt(ctx, r, route)
		again := e.again(ctx, r, &last)
		all = last.after(all)
		if !again {
			return all
		}
	}
}

// attempt sends the request to one instance.
func (e *entry) attempt(ctx context.Context, r *request, route pick) outcome {
	r.tried = append(r.tried, route.instance.ID)
	started := time.Now()
	r.body.attach(r.out)
	r.out.Header.Set(e.cfg.headers.Instance, string(route.instance.ID))
	o := e.send(ctx, r, route)
	now := time.Now()
	if o.hinted {
		e.cfg.gates.observe(r, now, float64(o.hint.Chain)/100)
	} else if o.reason == reasonTimeout {
		e.cfg.gates.observeTimeout(r, now)
	}
	if o.reached {
		r.sent++
	}
	o.instance = route.instance.ID
	e.cfg.routes.finished(route, &o, now.Sub(started))
	return o
}

func (e *entry) send(ctx context.Context, r *request, route pick) outcome {
	info := callInfo{Rank: r.rank, Invested: r.call}
	if route.own {
		return e.cfg.guard.run(ctx, guardCall{
			request: r.out, info: info, route: r.route.Name, once: !r.route.Kind.Repeatable(), deadline: r.deadline,
		})
	}
	left := time.Until(r.deadline)
	if left < time.Millisecond {
		return refusedOutcome(reasonTooLate, "")
	}
	state := e.cfg.state()
	info.known = known{state.Version(), state.Revision()}
	r.out.Header.SetBytesV(headerCall, info.append(nil))
	setBudget(&r.out.Header, e.cfg.headers.Budget, left)
	return e.cfg.peers.send(ctx, r, route)
}

// again reports whether the request may be sent to another instance.
func (e *entry) again(ctx context.Context, r *request, o *outcome) bool {
	if context.Cause(ctx) != nil || !r.body.repeatable() || o.reason == reasonTooLate {
		return false
	}
	if len(r.tried) >= maxTries || r.sent >= r.route.MaxAttempts {
		return false
	}
	left := time.Until(r.deadline)
	if left < e.cfg.routes.usual(r) {
		return false
	}
	switch o.run {
	case runNo:
		return !o.reached || e.cfg.routes.budget(r.service, rejected)
	case runYes:
		failed := o.reply.response.StatusCode() >= fasthttp.StatusInternalServerError
		return failed && r.route.Kind.Repeatable() && e.cfg.routes.budget(r.service, repeated)
	default:
		return r.route.Kind.Repeatable() && e.cfg.routes.budget(r.service, repeated)
	}
}
