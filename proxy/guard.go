package proxy

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/pass"
	"github.com/toucancove/toucancove/core/retry"
	"github.com/toucancove/toucancove/core/routing"
)

var (
	errKeyWithdrawn = errors.New("key was withdrawn")
	errCallerGone   = errors.New("caller closed the connection")
)

// GuardConfig configures a Guard.
type GuardConfig struct {
	// Instance is the instance that the guard protects.
	Instance member.InstanceID
	// Boot is the boot id of the node, which is new after each start.
	Boot member.BootID
	// Service is the service of the instance.
	Service string
	// Signer verifies the passes from entries and signs those for the upstream.
	Signer *pass.Signer
	// View returns the configuration in force.
	View func() *config.View
	// Admitter decides when requests may run.
	Admitter Admitter
	// Upstream exchanges requests with the upstream.
	Upstream *Client
	// Ledger holds the attempts left for the calls of the upstream. It is
	// shared with the loopback entry.
	Ledger *AttemptLedger
	// Deeper records the calls of the upstream. It is shared with the loopback
	// entry.
	Deeper *DeeperLedger
	// Tickets holds the used tickets and the outcomes of their requests.
	Tickets *TicketTable
	// Active tracks running requests.
	Active *ActiveCalls
	// Drain reports whether the instance announces that it is leaving and
	// whether it refuses new requests.
	Drain func() (announce, refuse bool)
	// Decisions keeps recent refusals for operators.
	Decisions *Decisions
	// MaxBodyBytes is the size in bytes of the largest request body.
	MaxBodyBytes int64
	// Timeouts bound the progress of streamed bodies.
	Timeouts Timeouts
	// Log receives one line for each refusal.
	Log logr.Logger
}

// Timeouts bound the time without progress on a streamed body.
type Timeouts struct {
	// Read bounds each read of a request body.
	Read time.Duration
	// Write bounds the time to write each part of a response's body.
	Write time.Duration
}

// Guard runs requests at the upstream of its node, as admission control allows.
// It is safe for concurrent use.
type Guard struct {
	cfg  GuardConfig
	pool *exchangePool
}

// NewGuard returns a guard.
func NewGuard(cfg GuardConfig) *Guard { return &Guard{cfg: cfg, pool: newExchangePool()} }

// call is a request to forward to a guard or its upstream. Credentials and
// hop-by-hop headers have been removed.
type call struct {
	request  *fasthttp.Request
	body     *requestBody
	claims   pass.Pass
	deadline time.Time
	caller   net.Conn
	// ticket is empty for a request without one.
	ticket string
	// arrived is the time at which the attempt began.
	arrived time.Time
	// queued is the time for which the call waited for admission.
	queued time.Duration
	// congested is set if a response to a call of the upstream was marked as
	// congested.
	congested bool
	// unused is the number of delegated retries to return with the response.
	unused uint8
}

// Response is the upstream's response to a request. Its body must be closed
// once.
type Response struct {
	// Head holds the status and headers.
	Head *fasthttp.Response
	Body *responseBody
}

// Handle serves the peer listener.
func (g *Guard) Handle(ctx *fasthttp.RequestCtx) {
	c := &call{arrived: time.Now(), caller: ctx.Conn(), ticket: string(ctx.Request.Header.Peek(HeaderTicket))}
	response, err := g.receive(ctx, c)
	if err != nil {
		g.refuse(ctx, c, asRefusal(err))
		return
	}
	writeResponse(ctx, response, g.cfg.Timeouts.Write)
	ctx.Response.Header.Set(HeaderRun, string(RunYes))
	g.writeHints(&ctx.Response.Header, c)
}

func (g *Guard) refuse(ctx *fasthttp.RequestCtx, c *call, refusal *Refusal) {
	if c.ticket != "" {
		refusal = refusalForTicket(refusal)
	}
	refusal.write(&ctx.Response, "")
	g.writeHints(&ctx.Response.Header, c)
	g.cfg.Decisions.Add(Decision{
		Time: time.Now(), Side: "guard", Service: g.cfg.Service,
		Status: refusal.Status, Reason: refusal.Reason, Run: refusal.Run, Detail: refusal.Detail,
	})
	g.cfg.Log.Info("guard refused request", "reason", refusal.Reason, "run", refusal.Run, "detail", refusal.Detail)
}

// writeHints sets the headers that report load, state and unused retries to the
// entry.
func (g *Guard) writeHints(header *fasthttp.ResponseHeader, c *call) {
	header.Set(HeaderHint, g.hint(c))
	header.Set(HeaderNode, formatReport(g.report(c)))
	header.Set(HeaderUnused, strconv.Itoa(int(c.unused)))
}

// hint returns the value of HeaderHint for the response to a call.
func (g *Guard) hint(c *call) string { return formatHint(g.cfg.Admitter.Hint(), c.congested) }

// report returns the guard's report for the response to a call.
func (g *Guard) report(c *call) *routing.Report {
	report := &routing.Report{Boot: g.cfg.Boot, QueueDelay: c.queued, GuardTime: time.Since(c.arrived)}
	if announce, _ := g.cfg.Drain(); announce {
		report.State = routing.Leaving
	}
	return report
}

func (g *Guard) receive(ctx *fasthttp.RequestCtx, c *call) (*Response, error) {
	claims, err := g.cfg.Signer.Verify(ctx.Request.Header.Peek(HeaderPass), pass.KindPeer, g.cfg.Instance)
	if err != nil {
		return nil, notRun(fasthttp.StatusForbidden, ReasonPassInvalid, err.Error())
	}
	body, err := readRequestBody(ctx, g.cfg.MaxBodyBytes, g.cfg.Timeouts.Read)
	if err != nil {
		return nil, bodyRefusal(err)
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	copyRequestHeader(&request.Header, &ctx.Request.Header, nil)
	request.Header.SetRequestURIBytes(ctx.Request.Header.RequestURI())
	c.request, c.body, c.claims = request, body, claims
	c.deadline = c.arrived.Add(claims.Budget)
	// The server's context is cancelled at shutdown, while running requests are
	// allowed to finish.
	return g.run(context.WithoutCancel(ctx), c)
}

// run checks the call, admits it and runs it at the upstream. Errors are
// *Refusal.
func (g *Guard) run(parent context.Context, c *call) (*Response, error) {
	c.unused = unusedRetries(c.claims.Attempts)
	view := g.cfg.View()
	if c.claims.KeyID != "" && !view.HasKey(c.claims.KeyID, c.claims.Workspace) {
		return nil, keyRefusal(view, ReasonKeyWithdrawn, "the key is no longer valid")
	}
	if !time.Now().Before(c.deadline) {
		return nil, notRun(fasthttp.StatusGatewayTimeout, ReasonDeadline, "no time left")
	}
	if c.ticket != "" {
		return g.runTicket(parent, c)
	}
	return g.runOnce(parent, c)
}

// runOnce runs the call at the upstream once, unless the instance drains.
func (g *Guard) runOnce(parent context.Context, c *call) (*Response, error) {
	if _, refuse := g.cfg.Drain(); refuse {
		return nil, notRun(fasthttp.StatusServiceUnavailable, ReasonLeaving, "the instance takes no new work")
	}
	view := g.cfg.View()
	ctx, cancel := context.WithCancelCause(parent)
	active := &activeCall{
		workspace: c.claims.Workspace, keyID: c.claims.KeyID,
		caller: c.caller, started: time.Now(), cancel: cancel,
	}
	if err := g.cfg.Active.admit(active, g.cfg.View); err != nil {
		cancel(nil)
		return nil, err
	}
	end := func() {
		g.cfg.Active.remove(active)
		cancel(nil)
	}
	response, err := g.admitAndExchange(ctx, c, view, end)
	if err != nil {
		end()
		return nil, err
	}
	return response, nil
}

func (g *Guard) admitAndExchange(ctx context.Context, c *call, view *config.View, end func()) (*Response, error) {
	rank, _ := view.Order().Rank(c.claims.Class)
	offered := time.Now()
	admission, err := g.cfg.Admitter.Admit(ctx, AdmissionRequest{
		Rank: rank, Workspace: c.claims.Workspace, Deadline: c.deadline, Root: c.claims.Hop == 0,
	})
	if err != nil {
		return nil, err
	}
	c.queued = time.Since(offered)
	if err := g.prepare(c); err != nil {
		admission.Done(RunResult{Cancelled: true})
		return nil, err
	}
	if err := g.cfg.Ledger.open(c); err != nil {
		admission.Done(RunResult{Cancelled: true})
		return nil, err
	}
	key := ledgerKey(&c.claims)
	g.cfg.Deeper.open(key)
	g.pool.resize(g.cfg.Admitter.Hint())
	exchange, err := g.pool.exchange(func() (*Exchange, error) {
		return g.cfg.Upstream.Do(ctx, c.request, c.deadline)
	})
	c.unused = g.cfg.Ledger.close(c)
	deeper := g.cfg.Deeper.close(time.Now(), key)
	c.congested = deeper.Congested
	if err != nil {
		cancelled := context.Cause(ctx) != nil || !time.Now().Before(c.deadline)
		admission.Done(RunResult{Cancelled: cancelled, Deeper: deeper})
		return nil, exchangeRefusal(ctx, err, c.deadline)
	}
	return g.newResponse(exchange, admission, deeper, end)
}

// prepare attaches the body to the request and sets the headers for the
// upstream, among them the pass for the calls that it makes.
func (g *Guard) prepare(c *call) error {
	claims := c.claims
	claims.Kind = pass.KindUpstream
	claims.Audience = g.cfg.Instance
	claims.Budget = retry.HopBudget(time.Now(), c.deadline)
	token, err := g.cfg.Signer.Sign(claims)
	if err != nil {
		return notRun(fasthttp.StatusInternalServerError, ReasonInternal, err.Error())
	}
	header := &c.request.Header
	header.Set(HeaderPass, token)
	header.Set(HeaderClass, claims.Class)
	header.Set(HeaderWorkspace, claims.Workspace)
	header.Set(HeaderRequestID, claims.Request.String())
	header.Set(HeaderTimeout, strconv.FormatInt(claims.Budget.Milliseconds(), 10))
	header.SetHost(g.cfg.Service)
	c.body.attach(c.request)
	return nil
}

func (g *Guard) newResponse(exchange *Exchange, admission Admission, deeper DeeperCalls, end func()) (*Response, error) {
	status := exchange.Head.StatusCode()
	shed := status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests
	refusedByUpstream := shed && Run(exchange.Head.Header.Peek(HeaderRun)) == RunNo
	body := &responseBody{exchange: exchange, done: func(_ int64, err error) {
		admission.Done(RunResult{
			Completed: err == nil && !shed, Shed: shed, Deeper: deeper,
			Failed: status >= fasthttp.StatusInternalServerError,
		})
		end()
	}}
	if refusedByUpstream {
		_ = body.Close()
		refusal := notRun(fasthttp.StatusServiceUnavailable, ReasonOverload, "the upstream did not run the request")
		refusal.RetryAfter = failureRetryAfter
		return nil, refusal
	}
	return &Response{Head: exchange.Head, Body: body}, nil
}

// exchangeRefusal returns the refusal for a failed exchange. The cause of a
// cancelled context and a deadline that has passed determine its reason.
func exchangeRefusal(ctx context.Context, err error, deadline time.Time) *Refusal {
	run := RunUnknown
	var exchangeErr *ExchangeError
	if errors.As(err, &exchangeErr) && exchangeErr.NotRun() {
		run = RunNo
	}
	refusal := &Refusal{
		Status: fasthttp.StatusBadGateway, Reason: ReasonUpstreamFailed, Run: run,
		RetryAfter: failureRetryAfter, Detail: err.Error(),
	}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errKeyWithdrawn):
		refusal.Status, refusal.Reason, refusal.RetryAfter = fasthttp.StatusUnauthorized, ReasonKeyWithdrawn, 0
	case errors.Is(cause, errCallerGone):
		refusal.Reason = ReasonCallerGone
	case errors.Is(err, errBodyTooLarge):
		refusal.Status, refusal.Reason, refusal.RetryAfter = fasthttp.StatusRequestEntityTooLarge, ReasonBodyTooLarge, 0
	case !time.Now().Before(deadline):
		refusal.Status, refusal.Reason = fasthttp.StatusGatewayTimeout, ReasonDeadline
	}
	return refusal
}

func bodyRefusal(err error) *Refusal {
	if errors.Is(err, errBodyTooLarge) {
		return notRun(fasthttp.StatusRequestEntityTooLarge, ReasonBodyTooLarge, err.Error())
	}
	return notRun(fasthttp.StatusBadRequest, ReasonMalformed, "the request body is not whole: "+err.Error())
}

// asRefusal returns the refusal that err wraps, or an internal one.
func asRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return unknownRun(fasthttp.StatusInternalServerError, ReasonInternal, err.Error())
}

// writeResponse copies response to the response of ctx. The server streams its
// body and closes it.
func writeResponse(ctx *fasthttp.RequestCtx, response *Response, writeTimeout time.Duration) {
	response.Body.receiver, response.Body.timeout = ctx.Conn(), writeTimeout
	source := response.Head
	copyResponseHeader(&ctx.Response.Header, &source.Header)
	length := source.Header.ContentLength()
	if source.SkipBody || bodyless(source.StatusCode()) {
		ctx.Response.SkipBody = true
		ctx.Response.Header.SetContentLength(max(length, 0))
		_ = response.Body.Close()
		return
	}
	ctx.Response.SetBodyStream(response.Body, length)
}
