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

// AttemptLedger is a retry.Ledger that the guard of a node and its loopback
// entry share. It is safe for concurrent use.
type AttemptLedger struct {
	mu     sync.Mutex
	ledger *retry.Ledger
}

// NewAttemptLedger returns an empty ledger.
func NewAttemptLedger() *AttemptLedger {
	return &AttemptLedger{ledger: retry.NewLedger(retry.DefaultMaxRequests)}
}

// ledgerKey returns the key of a delivery to the node's upstream. claims are
// those of the pass that the upstream received with it.
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

func (l *AttemptLedger) call(claims *pass.Pass, key retry.CallKey) (retry.AttemptBudget, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	attempts, err := l.ledger.Call(time.Now(), ledgerKey(claims), key)
	if err != nil {
		return attempts, notRun(fasthttp.StatusServiceUnavailable, ReasonAttempts, err.Error())
	}
	return attempts, nil
}

func (l *AttemptLedger) returnUnused(key retry.Key, unused uint8) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Return(key, unused)
}

// callKey returns the kind of a call (service, method and URI). A further call
// of the same kind by one run is a retry.
func callKey(in *inbound, header *fasthttp.RequestHeader) retry.CallKey {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(in.service)
	_, _ = digest.Write(header.Method())
	_, _ = digest.WriteString(in.uri)
	return retry.CallKey(digest.Sum64())
}

// unusedRetries returns the number of retries that an attempt returns if it did
// not reach an upstream. attempts is the number delegated with it.
func unusedRetries(attempts uint8) uint8 {
	if attempts == 0 {
		return 0
	}
	return attempts - 1
}

// attempt sends the request to one instance after another until one responds or
// the retry policy allows no further attempt.
func (e *Entry) attempt(ctx context.Context, header *fasthttp.RequestHeader, in *inbound, body *requestBody) (*Response, error) {
	if in.ticket != nil {
		return e.attemptTicket(ctx, header, in, body)
	}
	var last *Refusal
	for {
		request := routing.Request{Exclude: slices.Clip(in.tried), Retryable: in.route.Idempotent && body.repeatable()}
		route, err := e.pick(in, &request)
		if err != nil {
			return nil, preferRefusal(last, err)
		}
		response, err := e.send(ctx, route, header, in, body)
		if err == nil {
			return response, nil
		}
		last = combineRun(last, asRefusal(err))
		if !in.gaveUp && !e.mayRetry(ctx, in, body, last, asRefusal(err)) {
			return nil, last
		}
		in.tried = append(in.tried, route.Instance.ID)
	}
}

// preferRefusal returns the earlier refusal, or err if there is none, so that
// the lack of a further instance does not hide why the earlier ones failed.
func preferRefusal(last *Refusal, err error) error {
	if last != nil {
		return last
	}
	return err
}

// combineRun returns the refusal of the last attempt with the Run state of all
// attempts: "not run" only if none of them may have run.
func combineRun(earlier, last *Refusal) *Refusal {
	if earlier == nil || earlier.Run == RunNo || last.Run != RunNo {
		return last
	}
	combined := *last
	combined.Run = RunUnknown
	return &combined
}

// mayRetry reports whether the retry policy allows another attempt. combined is
// the refusal for all attempts, last that of the last one.
func (e *Entry) mayRetry(ctx context.Context, in *inbound, body *requestBody, combined, last *Refusal) bool {
	if ctx.Err() != nil {
		return false
	}
	failure := retry.Failure{Final: !retryableElsewhere(last.Reason)}
	if last.Run == RunNo {
		failure.Effect = retry.DidNotRun
	}
	decision := e.decide(in, body, failure)
	e.cfg.Log.V(1).Info("attempt failed", "request", in.claims.Request.String(), "service", in.service,
		"reason", last.Reason, "run", combined.Run, "retry", decision.Retry, "decision", decision.Reason)
	return decision.Retry
}

func (e *Entry) decide(in *inbound, body *requestBody, failure retry.Failure) retry.Decision {
	request := retry.Request{
		Idempotent: in.route.Idempotent,
		BodyGone:   !body.repeatable(),
		Deadline:   in.deadline,
	}
	return e.cfg.Router.Decide(in.service, request, failure, &in.attempts)
}

// retryableElsewhere reports whether another instance may succeed after a
// refusal with the reason.
func retryableElsewhere(reason Reason) bool {
	switch reason {
	case ReasonInstanceFailed, ReasonUpstreamFailed, ReasonOverload, ReasonNoBudget, ReasonLeaving, ReasonNotReady:
		return true
	default:
		return false
	}
}

// openAttemptBudget sets the attempts that the request may use and returns the
// function that returns the unused ones to the ledger.
func (e *Entry) openAttemptBudget(in *inbound, header *fasthttp.RequestHeader) (release func(), err error) {
	if in.root {
		in.attempts = retry.NewAttemptBudget(in.claims.Attempts)
		return func() {}, nil
	}
	upstream := in.claims
	upstream.Hop--
	in.attempts, err = e.cfg.Ledger.call(&upstream, callKey(in, header))
	if err != nil {
		return nil, err
	}
	key := ledgerKey(&upstream)
	return func() { e.cfg.Ledger.returnUnused(key, in.attempts.Unused()) }, nil
}

// send makes one attempt at one instance.
func (e *Entry) send(ctx context.Context, route Route, header *fasthttp.RequestHeader, in *inbound, body *requestBody) (*Response, error) {
	delegated, ok := in.attempts.Next()
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
	outgoing.claims.Attempts = delegated

	response, evidence, err := e.forwardWatchingHang(ctx, route, outgoing, in)
	evidence.Latency = time.Since(started)
	e.observeHint(in, route.Instance.ID, evidence.Hint)
	e.observeQueueDelay(in, evidence)
	in.attempts.Return(delegated, evidence.Unused)
	if err != nil {
		e.cfg.Router.Finished(route, evidence)
		return nil, err
	}
	done := response.Body.done
	response.Body.done = func(size int64, err error) {
		evidence.Err = bodyError(ctx, err)
		e.cfg.Router.Finished(route, evidence)
		done(size, err)
	}
	return response, nil
}

// observeQueueDelay records how long the request waited for admission at the
// guard.
func (e *Entry) observeQueueDelay(in *inbound, evidence Evidence) {
	if evidence.Report == nil {
		return
	}
	for _, series := range e.series(in) {
		series.ObserveQueueDelay(evidence.Report.QueueDelay)
	}
}

// onDone adds a function that runs when the response has ended.
func (r *Response) onDone(run func()) {
	done := r.Body.done
	r.Body.done = func(size int64, err error) {
		done(size, err)
		run()
	}
}

// bodyError distinguishes a response that was truncated from one that was
// cancelled, which must not count against the instance.
func bodyError(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return context.Canceled
	}
	return err
}

// forwardWatchingHang forwards a call and cancels the attempt if the instance
// hangs and another attempt is allowed.
func (e *Entry) forwardWatchingHang(parent context.Context, route Route, outgoing *call, in *inbound) (*Response, Evidence, error) {
	ctx, cancel := context.WithCancelCause(parent)
	watch := e.watchHang(route, in, outgoing.body, cancel)
	response, evidence, err := e.forward(ctx, route, outgoing)
	in.gaveUp = watch.stop()
	if err == nil && !in.gaveUp {
		response.onDone(func() { cancel(nil) })
		return response, evidence, nil
	}
	cancel(nil)
	if err == nil {
		_ = response.Body.Close()
		evidence.Err = fasthttp.ErrTimeout
		err = unknownRun(fasthttp.StatusBadGateway, ReasonInstanceFailed, errHung.Error())
	}
	return nil, evidence, err
}

func (e *Entry) forward(ctx context.Context, route Route, outgoing *call) (*Response, Evidence, error) {
	if route.Instance.ID != e.cfg.Instance {
		return e.cfg.Peers.send(ctx, route.Instance, outgoing)
	}
	response, err := e.cfg.Guard.run(ctx, outgoing)
	evidence := Evidence{Hint: e.cfg.Guard.hint(outgoing), Report: e.cfg.Guard.report(outgoing), Unused: outgoing.unused}
	if err != nil {
		evidence.Refusal = asRefusal(err)
		return nil, evidence, err
	}
	evidence.Status = response.Head.StatusCode()
	return response, evidence, nil
}

// exchangeError returns the error of a failed exchange for Evidence.Err: a
// timeout for an instance that hangs or exceeds the deadline, context.Canceled
// for an exchange that failed on the caller's side.
func exchangeError(ctx context.Context, err error, c *call) error {
	var exchange *ExchangeError
	connected := !errors.As(err, &exchange) || exchange.Stage != StageConnect
	switch {
	case errors.Is(context.Cause(ctx), errHung):
		return fasthttp.ErrTimeout
	case ctx.Err() != nil || c.body.truncated():
		return context.Canceled
	case connected && !time.Now().Before(c.deadline):
		return fasthttp.ErrTimeout
	}
	return err
}
