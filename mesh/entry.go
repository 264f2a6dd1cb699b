package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/quarantine"
	"github.com/toucancove/toucancove/core/shed"
	"github.com/toucancove/toucancove/follow"
)

const (
	// responseGrace is the time after a route's timeout for which the entry
	// still waits for a response in flight. Operators accept 250 ms.
	responseGrace = 120 * time.Millisecond
	// defaultBudget bounds requests that state no time budget.
	defaultBudget = 30 * time.Second
	// notReadyRetryAfter is the Retry-After time of a node without configuration.
	notReadyRetryAfter = 300 * time.Millisecond
)

// entryConfig configures an entry.
type entryConfig struct {
	headers Headers
	// service is the service of the own instance, sent as the origin of all
	// requests.
	service string
	// nodeIP is the IP address of the node, from which its own instance calls.
	nodeIP net.IP
	state  func() *follow.State
	// confirmedAge is follow.Follower.ConfirmedAge.
	confirmedAge func(now time.Time) (time.Duration, bool)
	// leaving is set once a planned stop has begun, stopping holds its steps.
	leaving  *atomic.Bool
	stopping *stopSteps
	calls    *callTracker
	guard    *guard
	peers    *peers
	routes   *routes
	gates    *gates
	quota    *quota
	report   *reporter
	// quarantines holds the requests that crash instances.
	quarantines *quarantines
}

// entry accepts requests of clients and of the own instance and forwards them to an
// instance of the service that they are for. It is safe for concurrent use.
type entry struct {
	cfg entryConfig
}

// request is the state of one request at its entry.
type request struct {
	id        string
	arrived   time.Time
	route     *catalog.Route
	service   string
	workspace *catalog.Workspace
	rank      catalog.Rank
	// parent is the request that a call was made for; nil for requests that are
	// not calls, and for calls whose parent was not found.
	parent *parent
	// call is set for a request made by the own instance.
	call bool
	// budget is the time for which the caller waits.
	budget time.Duration
	// deadline is the end of the budget, or that of the route's timeout plus
	// responseGrace if that is earlier.
	deadline time.Time
	// retried is set for a retry made no sooner than its Retry-After time.
	retried bool
	// admittedBy is the gate at which the request counts as in flight; nil if none.
	admittedBy *shed.Gate
	// end is how the request ended, for that gate.
	end shed.End

	out      *fasthttp.Request
	body     *body
	sendings sendings
	// identity identifies the request when it comes again; nil until it is needed.
	identity *quarantine.Request
	// sent is the number of instances that received the request.
	sent int
	// tried lists the instances of all attempts.
	tried []member.InstanceID
}

// handle serves requests of clients and of the own instance.
func (e *entry) handle(ctx *fasthttp.RequestCtx) {
	headerRead(ctx)
	r := &request{arrived: time.Now(), id: string(ctx.Request.Header.Peek(e.cfg.headers.RequestID))}
	defer func() { e.cfg.gates.done(r, time.Now()) }()
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
		e.refuse(ctx, r, refusal{status: fasthttp.StatusBadRequest, reason: reasonBadBody, detail: err.Error()})
		return
	}
	r.body = body
	r.out = fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r.out)
	e.prepare(ctx, r)
	requestCtx, end := watchCaller(ctx, body)
	o := e.dispatch(requestCtx, r)
	end()
	if r.call && o.endsParent() {
		e.cfg.calls.callFailed(time.Now())
	}
	r.end = o.end()
	e.finish(ctx, r, o)
}

// identify finds the route, the workspace, the rank and the deadline of a request.
func (e *entry) identify(ctx *fasthttp.RequestCtx, r *request) *refusal {
	state := e.cfg.state()
	if state.Catalog == nil {
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonNotReady, retryAfter: notReadyRetryAfter}
	}
	header := &ctx.Request.Header
	r.route = state.Catalog.Match(string(ctx.Host()), string(ctx.Path()))
	if r.route == nil {
		return &refusal{status: fasthttp.StatusNotFound, reason: reasonNoRoute}
	}
	if limit := state.Catalog.Limits().HeaderBytes; limit > 0 && len(header.RawHeaders()) > limit {
		return &refusal{status: fasthttp.StatusRequestHeaderFieldsTooLarge, reason: reasonHeaderTooLarge, detail: "request header exceeds the published MaxHeaderBytes"}
	}
	if limit := state.Catalog.Limits().BodyBytes; limit > 0 && int64(header.ContentLength()) > limit {
		return &refusal{status: fasthttp.StatusRequestEntityTooLarge, reason: reasonBadBody, detail: "request body exceeds the published MaxBodyBytes"}
	}
	if !r.route.Public && len(state.Catalog.Workspaces()) > 0 {
		r.workspace = state.Catalog.Owner(string(header.Peek(e.cfg.headers.Key)))
		if r.workspace == nil {
			return &refusal{status: fasthttp.StatusUnauthorized, reason: reasonUnknownKey}
		}
	}
	e.setTimes(ctx, r)
	r.call = e.cfg.nodeIP != nil && r.workspace == nil && e.cfg.nodeIP.Equal(ctx.RemoteIP())
	if !e.accepts(r) {
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonLeaving, retryAfter: notReadyRetryAfter}
	}
	r.rank = state.Catalog.RankOf(r.route, r.workspace)
	if r.call {
		if r.parent = e.cfg.calls.parentOf(r.arrived.Add(r.budget)); r.parent != nil {
			r.rank = r.parent.rank
		}
	}
	r.service = e.cfg.routes.chooseService(r.route)
	return nil
}

// accepts reports whether a node that may be stopping accepts a request. What counts as a
// call of the own instance is one only while that runs a request which it can belong to.
func (e *entry) accepts(r *request) bool {
	return e.cfg.stopping.accepts(r.call && e.cfg.calls.anyRunning(), r.deadline)
}

// setTimes sets the deadline from the caller's time budget and the route's timeout.
func (e *entry) setTimes(ctx *fasthttp.RequestCtx, r *request) {
	budget, ok := parseBudget(ctx.Request.Header.Peek(e.cfg.headers.Budget))
	if !ok {
		budget = defaultBudget
	}
	r.budget = budget
	if timeout := r.route.Timeout; timeout > 0 {
		budget = min(budget, timeout+responseGrace)
	}
	r.deadline = r.arrived.Add(budget)
}

// admit applies load shedding and the quota of the workspace. Calls are always
// admitted: refusing one would waste the work done for its parent.
func (e *entry) admit(r *request) *refusal {
	if r.call {
		return nil
	}
	r.retried = e.cfg.gates.isRetry(r)
	if !e.cfg.gates.admit(r, rand.Float64()) {
		return &refusal{
			status: fasthttp.StatusServiceUnavailable, reason: reasonChainOverloaded, retryAfter: e.cfg.gates.retryAfter(r),
		}
	}
	// Load shedding comes first, so that a shed request takes no token of the
	// quota, which counts only requests that run.
	if r.workspace != nil {
		if ok, retryAfter := e.cfg.quota.take(r.workspace.Name); !ok {
			return &refusal{status: fasthttp.StatusTooManyRequests, reason: reasonQuota, retryAfter: retryAfter}
		}
	}
	return nil
}

// prepare builds the request that the instance receives.
func (e *entry) prepare(ctx *fasthttp.RequestCtx, r *request) {
	header := &r.out.Header
	ctx.Request.Header.CopyTo(header)
	removeHopByHopHeaders(header)
	names := e.cfg.headers
	header.Del(names.Key)
	header.Del(names.Workspace)
	header.Del(names.Instance)
	header.Del(headerEra)
	header.Del(headerLimit)
	header.Del(headerMarks)
	header.Set(names.Caller, e.cfg.service)
	if r.workspace != nil {
		header.Set(names.Workspace, r.workspace.Name)
	}
}

// identity returns what identifies a request that has been prepared.
func (e *entry) identity(r *request) *quarantine.Request {
	if r.identity == nil {
		r.identity = identify(&r.out.Header, e.cfg.headers, r.body)
	}
	return r.identity
}

// finish sends the response to the caller.
func (e *entry) finish(ctx *fasthttp.RequestCtx, r *request, o outcome) {
	if o.response != nil && o.run == runYes && (r.route.Kind.Repeatable() || !promisesNotRun(o.response.raw.StatusCode())) {
		e.cfg.report.answered(r, o.instance, o.response.raw.StatusCode())
		writeResponse(ctx, o.response)
		e.closeIfLeaving(ctx)
		return
	}
	if o.response != nil && o.run == runYes {
		// The status promises that the request has not run, but the instance does not
		// state it.
		o.reason, o.detail = reasonUnstated, fmt.Sprintf("status %d without the header that states it", o.response.raw.StatusCode())
	}
	o.release()
	if o.reason == reasonInstanceLimited {
		e.cfg.gates.observe(r, time.Now(), float64(o.hint.Chain)/100)
	}
	if o.run == runNo && r.workspace != nil {
		e.cfg.quota.returnToken(r.workspace.Name)
	}
	e.refuse(ctx, r, e.finalRefusal(r, &o))
}

// finalRefusal returns the refusal of a request that got no response of an instance.
func (e *entry) finalRefusal(r *request, o *outcome) refusal {
	refused := refusal{reason: o.reason, detail: o.detail, run: o.run}
	if o.reason.needsDigest() {
		refused.digest = e.identity(r).Digest().String()
	}
	switch {
	case o.run == runNo && o.reason == reasonQuarantined:
		refused.status = fasthttp.StatusServiceUnavailable
		refused.retryAfter = quarantineRetryAfter
	case o.run == runNo:
		refused.status = fasthttp.StatusServiceUnavailable
		refused.retryAfter = e.cfg.gates.retryAfter(r)
	case o.reason == reasonTimeout:
		refused.status = fasthttp.StatusGatewayTimeout
	default:
		refused.status = fasthttp.StatusBadGateway
	}
	return refused
}

func (e *entry) closeIfLeaving(ctx *fasthttp.RequestCtx) {
	if e.cfg.leaving.Load() {
		ctx.SetConnectionClose()
	}
}

// refuse responds to a request without forwarding it, or in place of the instance.
func (e *entry) refuse(ctx *fasthttp.RequestCtx, r *request, refused refusal) {
	refused.write(ctx, e.cfg.headers.RequestID, r.id)
	e.closeIfLeaving(ctx)
	e.cfg.report.refused(e, r, &refused)
}

// dispatch tries instances until one responds or no further attempt is allowed.
func (e *entry) dispatch(ctx context.Context, r *request) outcome {
	if !e.accepts(r) { // the stop may have gone on while the body was read
		return refusedOutcome(reasonLeaving, "")
	}
	merged := refusedOutcome(reasonNoInstance, "")
	for {
		target, err := e.cfg.routes.pick(r)
		if err != nil {
			if len(r.tried) == 0 {
				e.cfg.gates.observeTimeout(r, r.arrived)
			}
			return merged
		}
		last := e.attempt(ctx, r, target)
		retry := e.shouldRetry(ctx, r, &last)
		merged = last.merge(merged)
		if !retry {
			return merged
		}
	}
}

// attempt sends the request to one instance.
func (e *entry) attempt(ctx context.Context, r *request, target pick) outcome {
	r.tried = append(r.tried, target.instance.ID)
	started := time.Now()
	r.out.Header.Set(e.cfg.headers.Instance, string(target.instance.ID))
	o := e.send(ctx, r, target)
	now := time.Now()
	if o.response != nil {
		e.cfg.routes.observeAnnouncements(target, started, now, &o.response.raw.Header, e.cfg.headers)
	}
	switch {
	case o.reason == reasonInstanceLimited:
		// Another instance may accept the request, see finish.
	case o.hasHint:
		e.cfg.gates.observe(r, now, float64(o.hint.Chain)/100)
	case o.reason == reasonTimeout:
		e.cfg.gates.observeTimeout(r, now)
	}
	if o.reached {
		r.sent++
	}
	o.instance = target.instance.ID
	e.cfg.routes.finish(target, &o, now.Sub(started))
	return o
}

func (e *entry) send(ctx context.Context, r *request, target pick) outcome {
	info := requestInfo{Rank: r.rank, Call: r.call}
	if target.own {
		return e.cfg.guard.run(ctx, guardRequest{
			request: r.out, body: r.body, sendings: &r.sendings, info: info, route: r.route.Name, atMostOnce: !r.route.Kind.Repeatable(), deadline: r.deadline,
			identity: e.identity(r),
		})
	}
	left := time.Until(r.deadline)
	if left < time.Millisecond {
		return refusedOutcome(reasonTooLate, "")
	}
	info.versions = versionsOf(e.cfg.state())
	r.out.Header.SetBytesV(headerCall, info.append(nil))
	if era := info.eraText(); era != "" {
		r.out.Header.Set(headerEra, era)
	}
	r.out.Header.Del(headerLimit)
	if limit, ok := e.cfg.routes.requestLimit(target); ok {
		r.out.Header.Set(headerLimit, formatRate(limit))
	}
	r.out.Header.Del(headerMarks)
	setMarks(&r.out.Header, e.cfg.quarantines.marksOf(func() *quarantine.Request { return e.identity(r) }))
	setBudget(&r.out.Header, e.cfg.headers.Budget, left)
	return e.cfg.peers.send(ctx, r, target)
}

// shouldRetry reports whether the request may be sent to another instance.
func (e *entry) shouldRetry(ctx context.Context, r *request, o *outcome) bool {
	if context.Cause(ctx) != nil || !r.body.replayable() || o.reason == reasonTooLate || o.reason == reasonQuarantined {
		return false
	}
	if o.reason == reasonInstanceCrashed && e.cfg.quarantines.isQuarantined(func() *quarantine.Request { return e.identity(r) }) {
		return false
	}
	if len(r.tried) >= maxTries || r.sent >= r.route.MaxAttempts {
		return false
	}
	left := time.Until(r.deadline)
	if left < e.cfg.routes.minRetryTime(r) {
		return false
	}
	switch o.run {
	case runNo:
		return !o.reached || e.cfg.routes.takeRetry(r.service, retryRejected)
	case runYes:
		return o.failed() && r.route.Kind.Repeatable() && e.cfg.routes.takeRetry(r.service, retryRepeated)
	default:
		return r.route.Kind.Repeatable() && e.cfg.routes.takeRetry(r.service, retryRepeated)
	}
}
