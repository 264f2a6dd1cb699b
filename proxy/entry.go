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
	// Instance is the node's own instance.
	Instance member.InstanceID
	// Loopback marks the listener for the upstream's own calls, which accepts
	// passes that the guard gave to the upstream.
	Loopback bool
	// Signer signs passes for peers.
	Signer *pass.Signer
	// View returns the configuration in force.
	View func() *config.View
	// Quota limits root requests.
	Quota Quota
	// Router chooses instances.
	Router Router
	// Ledger holds the attempts left to the calls of the node's own upstream.
	Ledger *AttemptLedger
	// Deeper holds what is known of the calls of the node's own upstream.
	Deeper *DeeperLedger
	// Early refuses what guards are known to refuse.
	Early *EarlyRefusals
	// Tickets signs tickets.
	Tickets *once.Signer
	// FetchBoot asks a node for its boot id when a ticket needs it.
	FetchBoot BootFetcher
	// Peers sends calls to other nodes.
	Peers *Peers
	// Guard runs calls for the node's own upstream.
	Guard *Guard
	// Active tracks running requests.
	Active *ActiveCalls
	// Metrics receives latencies and refusals.
	Metrics *telemetry.Metrics
	// Decisions keeps recent refusals for operators.
	Decisions *Decisions
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int64
	// Timeouts bound the progress of streamed bodies.
	Timeouts Timeouts
	// Log receives one line for each refusal.
	Log logr.Logger
}

// Entry takes requests from callers and passes them to an instance of the
// wanted service. It is safe for concurrent use.
type Entry struct {
	cfg EntryConfig
}

// NewEntry returns an entry.
func NewEntry(cfg EntryConfig) *Entry { return &Entry{cfg: cfg} }

// inbound is a request that has been identified.
type inbound struct {
	service string
	uri     string
	route   config.Route
	claims  pass.Pass
	root    bool
	// key identifies the caller; keys are all that must not travel on.
	key      []byte
	keys     [][]byte
	arrived  time.Time
	deadline time.Time
	caller   net.Conn
	// share is what the request may still spend on attempts.
	share retry.AttemptBudget
	// tried lists the instances of earlier attempts.
	tried []member.InstanceID
	// gaveUp is set when the last attempt was given up since its instance
	// hangs, and another attempt has been allowed.
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
	answer, err := e.serve(ctx, in)
	if err != nil {
		e.refuse(ctx, in, asRefusal(err))
		return
	}
	writeAnswer(ctx, answer, e.cfg.Timeouts.Write)
	ctx.Response.Header.Set(HeaderRequestID, in.claims.Request.String())
}

func (e *Entry) serve(ctx *fasthttp.RequestCtx, in *inbound) (*Answer, error) {
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
	endDeeper := e.beginDeeper(in)
	end := func(err error) {
		e.cfg.Active.remove(active)
		cancel(nil)
		endDeeper(err)
	}
	answer, err := e.dispatch(callCtx, ctx, in, body)
	if err != nil {
		end(err)
		return nil, err
	}
	e.observe(answer, in, end)
	return answer, nil
}

// dispatch refuses hopeless work, spends a token for a root request and sends it on.
func (e *Entry) dispatch(callCtx context.Context, ctx *fasthttp.RequestCtx, in *inbound, body *requestBody) (*Answer, error) {
	if err := e.refuseEarly(in); err != nil {
		return nil, err
	}
	if in.root && in.claims.Workspace != "" {
		if err := e.cfg.Quota.Take(callCtx, in.claims.Workspace); err != nil {
			return nil, err
		}
	}
	release, err := e.openShare(in, &ctx.Request.Header)
	if err != nil {
		return nil, err
	}
	defer release()
	return e.attempt(callCtx, &ctx.Request.Header, in, body)
}

// observe records the end of an answer.
func (e *Entry) observe(answer *Answer, in *inbound, end func(error)) {
	finished := answer.Body.done
	answer.Body.done = func(size int64, err error) {
		finished(size, err)
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
		refusal = ticketRun(refusal)
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

var errNoService = errors.New("no service named")
