package proxy

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/pass"
	"github.com/toucancove/toucancove/core/retry"
	"github.com/toucancove/toucancove/core/routing"
)

// AttemptLedger is the ledger of attempts that a node's guard and its loopback
// entry share. It is safe for concurrent use.
type AttemptLedger struct {
	mu     sync.Mutex
	ledger *retry.Ledger
}

// NewAttemptLedger returns an empty ledger.
func NewAttemptLedger() *AttemptLedger {
	return &AttemptLedger{ledger: retry.NewLedger(retry.DefaultMaxRequests)}
}

// ledgerKey names the stay of a request at this node. claims are those of the
// pass that the upstream holds.
func ledgerKey(claims *pass.Pass) retry.Key {
	return retry.Key{Request: retry.RequestID(claims.Request), Depth: claims.Hop}
}

func (l *AttemptLedger) open(c *call) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.ledger.Open(time.Now(), ledgerKey(&c.claims), c.claims.Attempts, c.deadline); err != nil {
		return notRun(fasthttp.StatusServiceUnavailable, ReasonOverload, err.Error())
	}
	return nil
}

func (l *AttemptLedger) close(c *call) (unused uint8) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Close(ledgerKey(&c.claims))
}

func (l *AttemptLedger) call(claims *pass.Pass, kind retry.CallKey) (retry.AttemptBudget, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share, err := l.ledger.Call(time.Now(), ledgerKey(claims), kind)
	if err != nil {
		return share, notRun(fasthttp.StatusServiceUnavailable, ReasonAttempts, err.Error())
	}
	return share, nil
}

func (l *AttemptLedger) giveBack(key retry.Key, unused uint8) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Return(key, unused)
}

// callKind tells the different calls of an upstream apart.
func callKind(in *inbound, header *fasthttp.RequestHeader) retry.CallKey {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(in.service)
	_, _ = digest.Write(header.Method())
	_, _ = digest.WriteString(in.uri)
	return retry.CallKey(digest.Sum64())
}

// unusedRetries is what an attempt hands back that never reached an upstream.
func unusedRetries(attempts uint8) uint8 {
	if attempts == 0 {
		return 0
	}
	return attempts - 1
}

// attempt sends the request to instances until one answers or no further
// attempt is allowed.
func (e *Entry) attempt(ctx context.Context, header *fasthttp.RequestHeader, in *inbound, body *requestBody) (*Answer, error) {
	if in.ticket != nil {
		return e.attemptTicket(ctx, header, in, body)
	}
	var last *Refusal
	for {
		request := routing.Request{Exclude: slices.Clip(in.tried), Retryable: in.route.Idempotent && body.repeatable()}
		route, err := e.pick(in, &request)
		if err != nil {
			return nil, keepFirst(last, err)
		}
		answer, err := e.send(ctx, route, header, in, body)
		if err == nil {
			return answer, nil
		}
		last = sumUp(last, asRefusal(err))
		if !in.gaveUp && !e.mayRetry(ctx, in, body, last, asRefusal(err)) {
			return nil, last
		}
		in.tried = append(in.tried, route.Instance.ID)
	}
}

// keepFirst prefers the refusal of an attempt to the lack of another instance.
func keepFirst(last *Refusal, err error) error {
	if last != nil {
		return last
	}
	return err
}

// sumUp returns the refusal of the last attempt, which says "not run" only if
// none of the attempts may have run.
func sumUp(earlier, last *Refusal) *Refusal {
	if earlier == nil || earlier.Run == RunNo || last.Run != RunNo {
		return last
	}
	summed := *last
	summed.Run = RunUnknown
	return &summed
}

// mayRetry asks the retry policy about a failed attempt.
func (e *Entry) mayRetry(ctx context.Context, in *inbound, body *requestBody, sum, last *Refusal) bool {
	if ctx.Err() != nil {
		return false
	}
	failure := retry.Failure{Final: !elsewhere(last.Reason)}
	if last.Run == RunNo {
		failure.Effect = retry.DidNotRun
	}
	decision := e.decide(in, body, failure)
	e.cfg.Log.V(1).Info("attempt failed", "request", in.claims.Request.String(), "service", in.service,
		"reason", last.Reason, "run", sum.Run, "retry", decision.Retry, "decision", decision.Reason)
	return decision.Retry
}

func (e *Entry) decide(in *inbound, body *requestBody, failure retry.Failure) retry.Decision {
	request := retry.Request{
		Idempotent: in.route.Idempotent,
		BodyGone:   !body.repeatable(),
		Deadline:   in.deadline,
	}
	return e.cfg.Router.Decide(in.service, request, failure, &in.share)
}

// elsewhere reports whether another instance may do better.
func elsewhere(reason Reason) bool {
	switch reason {
	case ReasonInstanceFailed, ReasonUpstreamFailed, ReasonOverload, ReasonNoBudget, ReasonLeaving, ReasonNotReady:
		return true
	default:
		return false
	}
}

// openShare finds the attempts that the request may spend and returns the
// function that hands the rest back.
func (e *Entry) openShare(in *inbound, header *fasthttp.RequestHeader) (release func(), err error) {
	if in.root {
		in.share = retry.NewAttemptBudget(in.claims.Attempts)
		return func() {}, nil
	}
	upstream := in.claims
	upstream.Hop--
	in.share, err = e.cfg.Ledger.call(&upstream, callKind(in, header))
	if err != nil {
		return nil, err
	}
	key := ledgerKey(&upstream)
	return func() { e.cfg.Ledger.giveBack(key, in.share.Unused()) }, nil
}

// send makes one attempt at one instance.
func (e *Entry) send(ctx context.Context, route Route, header *fasthttp.RequestHeader, in *inbound, body *requestBody) (*Answer, error) {
	handDown, ok := in.share.Next()
	if !ok {
		e.cfg.Router.Finished(route, Evidence{Err: context.Canceled})
		return nil, notRun(fasthttp.StatusServiceUnavailable, ReasonAttempts, "no attempts left")
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	copyRequestHeader(&request.Header, header, in.keys)
	request.Header.SetRequestURI(in.uri)
	started := time.Now()
	outgoing := &call{
		request: request, body: body, claims: in.claims, arrived: started,
		deadline: started.Add(retry.HopBudget(started, in.deadline)), ticket: in.ticketText,
	}
	outgoing.claims.Kind = pass.KindPeer
	outgoing.claims.Audience = route.Instance.ID
	outgoing.claims.Budget = outgoing.deadline.Sub(started)
	outgoing.claims.Attempts = handDown

	answer, evidence, err := e.forwardWatched(ctx, route, outgoing, in)
	evidence.Latency = time.Since(started)
	e.learn(in, route.Instance.ID, evidence.Hint)
	e.observeQueueDelay(in, evidence)
	in.share.Return(handDown, evidence.Unused)
	if err != nil {
		e.cfg.Router.Finished(route, evidence)
		return nil, err
	}
	finished := answer.Body.done
	answer.Body.done = func(size int64, err error) {
		evidence.Err = bodyError(ctx, err)
		e.cfg.Router.Finished(route, evidence)
		finished(size, err)
	}
	return answer, nil
}

// observeQueueDelay records how long the guard let the request wait.
func (e *Entry) observeQueueDelay(in *inbound, evidence Evidence) {
	if evidence.Report == nil {
		return
	}
	for _, series := range e.series(in) {
		series.ObserveQueueDelay(evidence.Report.QueueDelay)
	}
}

// onDone adds a function to run when the answer has ended.
func (a *Answer) onDone(run func()) {
	finished := a.Body.done
	a.Body.done = func(size int64, err error) {
		finished(size, err)
		run()
	}
}

// bodyError tells an answer that was cut from one that nobody read to its end.
func bodyError(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return context.Canceled
	}
	return err
}

// forwardWatched gives up an attempt at an instance that hangs, if another may
// follow.
func (e *Entry) forwardWatched(parent context.Context, route Route, outgoing *call, in *inbound) (*Answer, Evidence, error) {
	ctx, cancel := context.WithCancelCause(parent)
	watch := e.watchHang(route, in, outgoing.body, cancel)
	answer, evidence, err := e.forward(ctx, route, outgoing)
	in.gaveUp = watch.stop()
	if err == nil && !in.gaveUp {
		answer.onDone(func() { cancel(nil) })
		return answer, evidence, nil
	}
	cancel(nil)
	if err == nil {
		_ = answer.Body.Close()
		evidence.Err = fasthttp.ErrTimeout
		err = unknownRun(fasthttp.StatusBadGateway, ReasonInstanceFailed, errHung.Error())
	}
	return nil, evidence, err
}

func (e *Entry) forward(ctx context.Context, route Route, outgoing *call) (*Answer, Evidence, error) {
	if route.Instance.ID != e.cfg.Instance {
		return e.cfg.Peers.send(ctx, route.Instance, outgoing)
	}
	answer, err := e.cfg.Guard.run(ctx, outgoing)
	evidence := Evidence{Hint: e.cfg.Guard.hint(outgoing), Report: e.cfg.Guard.report(outgoing), Unused: outgoing.unused}
	if err != nil {
		evidence.Refusal = asRefusal(err)
		return nil, evidence, err
	}
	evidence.Status = answer.Response.StatusCode()
	return answer, evidence, nil
}

// exchangeError classifies a failed exchange as evidence.
func exchangeError(ctx context.Context, err error, c *call) error {
	var exchange *ExchangeError
	dialled := !errors.As(err, &exchange) || exchange.Stage != StageConnect
	switch {
	case errors.Is(context.Cause(ctx), errHung):
		return fasthttp.ErrTimeout
	case ctx.Err() != nil || c.body.cut():
		return context.Canceled
	case dialled && !time.Now().Before(c.deadline):
		return fasthttp.ErrTimeout
	}
	return err
}
