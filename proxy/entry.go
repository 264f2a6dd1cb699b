package proxy

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/once"
	"github.com/toucancove/toucancove/core/pass"
	"github.com/toucancove/toucancove/core/retry"
	"github.com/toucancove/toucancove/telemetry"
)

// EntryConfig configures an Entry.
type EntryConfig struct {
	// Instance is the instance of the node's own upstream.
	Instance member.InstanceID
	// Loopback is set for the listener that serves the calls of the node's own
	// upstream. It accepts the passes that the guard gives to the upstream.
	Loopback bool
	// Signer signs passes for peers.
	Signer *pass.Signer
	// View returns the configuration in force.
	View func() *config.View
	// Quota limits root requests.
	Quota Quota
	// Router chooses instances.
	Router Router
	// Ledger holds the attempts left for the calls of the node's own upstream.
	// It is shared with Guard.
	Ledger *AttemptLedger
	// Deeper records the calls of the node's own upstream. It is shared with
	// Guard.
	Deeper *DeeperLedger
	// Early refuses requests that the guards are expected to refuse.
	Early *EarlyRefusals
	// Tickets signs and verifies tickets.
	Tickets *once.Signer
	// FetchBoot returns the boot id of an instance's node. It is used for a
	// ticket if no recent boot id is known.
	FetchBoot BootFetcher
	// Peers forwards requests to other nodes.
	Peers *Peers
	// Guard runs the requests for the node's own upstream.
	Guard *Guard
	// Active tracks running requests.
	Active *ActiveCalls
	// Metrics receives latencies and refusals.
	Metrics *telemetry.Metrics
	// Decisions keeps recent refusals for operators.
	Decisions *Decisions
	// MaxBodyBytes is the size in bytes of the largest request body.
	MaxBodyBytes int64
	// Timeouts bound the progress of streamed bodies.
	Timeouts Timeouts
	// Log receives one line for each refusal.
	Log logr.Logger
}

// Entry receives requests from callers and forwards them to an instance of the
// requested service. It is safe for concurrent use.
type Entry struct {
	cfg EntryConfig
}

// NewEntry returns an entry.
func NewEntry(cfg EntryConfig) *Entry { return &Entry{cfg: cfg} }

// inbound is a request that an entry received.
type inbound struct {
	// service is empty until the service is known to be published.
	service string
	// uri is the URI that the upstream receives.
	uri   string
	route config.Route
	// claims are those of the passes that the request is forwarded with.
	claims pass.Pass
	// root is set for a root request, one that no service has worked on yet.
	root bool
	// key identifies the caller. keys are all keys found in the request; none
	// of them may be forwarded.
	key  []byte
	keys [][]byte
	// arrived is the time of receipt.
	arrived  time.Time
	deadline time.Time
	caller   net.Conn
	// attempts are those that the request may still make or delegate.
	attempts retry.AttemptBudget
	// tried lists the instances of earlier attempts.
	tried []member.InstanceID
	// gaveUp is set if the last attempt was cancelled because its instance
	// hangs; the retry policy has then already allowed the next attempt.
	gaveUp bool
	// ticket is nil for a request without one.
	ticket     *once.Ticket
	ticketText string
}

// Handle serves the public and loopback listeners.
func (e *Entry) Handle(ctx *fasthttp.RequestCtx) {
	in := &inbound{arrived: time.Now(), caller: ctx.Conn()}
	if string(ctx.Path()) == TicketPath {
		if err := e.issueTicket(ctx, in); err != nil {
			e.refuse(ctx, in, asRefusal(err))
		}
		return
	}
	response, err := e.serve(ctx, in)
	if err != nil {
		e.refuse(ctx, in, asRefusal(err))
		return
	}
	writeResponse(ctx, response, e.cfg.Timeouts.Write)
	ctx.Response.Header.Set(HeaderRequestID, in.claims.Request.String())
}

func (e *Entry) serve(ctx *fasthttp.RequestCtx, in *inbound) (*Response, error) {
	if err := e.identify(ctx, in); err != nil {
		return nil, err
	}
	body, err := readRequestBody(ctx, e.cfg.MaxBodyBytes, e.cfg.Timeouts.Read)
	if err != nil {
		return nil, bodyRefusal(err)
	}
	callCtx, cancel := context.WithCancelCause(context.Background())
	active := &activeCall{
		workspace: in.claims.Workspace, keyID: in.claims.KeyID,
		caller: in.caller, started: in.arrived, cancel: cancel,
	}
	if err := e.cfg.Active.admit(active, e.cfg.View); err != nil {
		cancel(nil)
		return nil, err
	}
	endDeeperCall := e.trackDeeperCall(in)
	end := func(err error) {
		e.cfg.Active.remove(active)
		cancel(nil)
		endDeeperCall(err)
	}
	response, err := e.dispatch(callCtx, ctx, in, body)
	if err != nil {
		end(err)
		return nil, err
	}
	e.observeCompletion(response, in, end)
	return response, nil
}

// dispatch forwards a request. It first refuses a root request that no instance
// is expected to admit, and takes a quota token for the others.
func (e *Entry) dispatch(callCtx context.Context, ctx *fasthttp.RequestCtx, in *inbound, body *requestBody) (*Response, error) {
	if err := e.refuseEarly(in); err != nil {
		return nil, err
	}
	if in.root && in.claims.Workspace != "" {
		if err := e.cfg.Quota.Take(callCtx, in.claims.Workspace); err != nil {
			return nil, err
		}
	}
	release, err := e.openAttemptBudget(in, &ctx.Request.Header)
	if err != nil {
		return nil, err
	}
	defer release()
	return e.attempt(callCtx, &ctx.Request.Header, in, body)
}

// observeCompletion extends the callback of a response so that its end is
// recorded in the metrics and end is called.
func (e *Entry) observeCompletion(response *Response, in *inbound, end func(error)) {
	done := response.Body.done
	response.Body.done = func(size int64, err error) {
		done(size, err)
		end(nil)
		for _, series := range e.series(in) {
			if err != nil {
				series.Refused("answer-cut")
				continue
			}
			series.ObserveLatency(time.Since(in.arrived))
			series.Size.Update(size)
			series.Completed.Inc(1)
		}
	}
}

func (e *Entry) series(in *inbound) []*telemetry.Series {
	var list []*telemetry.Series
	if in.claims.Class != "" {
		list = append(list, e.cfg.Metrics.Class(in.claims.Class))
	}
	if in.claims.Workspace != "" {
		list = append(list, e.cfg.Metrics.Workspace(in.claims.Workspace))
	}
	return list
}

func (e *Entry) refuse(ctx *fasthttp.RequestCtx, in *inbound, refusal *Refusal) {
	if len(ctx.Request.Header.Peek(HeaderTicket)) > 0 {
		refusal = refusalForTicket(refusal)
	}
	requestID := ""
	if in.claims.Request != (pass.RequestID{}) {
		requestID = in.claims.Request.String()
	}
	refusal.write(&ctx.Response, requestID)
	for _, series := range e.series(in) {
		series.Refused(string(refusal.Reason))
	}
	e.cfg.Decisions.Add(Decision{
		Time: time.Now(), Side: "entry", Request: requestID, Service: in.service,
		Workspace: in.claims.Workspace, Class: in.claims.Class,
		Status: refusal.Status, Reason: refusal.Reason, Run: refusal.Run, Detail: refusal.Detail,
	})
	e.cfg.Log.Info("entry refused request", "request", requestID, "service", in.service,
		"workspace", in.claims.Workspace, "class", in.claims.Class,
		"status", refusal.Status, "reason", refusal.Reason, "run", refusal.Run, "detail", refusal.Detail)
}

var errNoServiceName = errors.New("no service named")
