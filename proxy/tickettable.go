package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/once"
)

// ticketRetryAfter is the Retry-After time for a repeat while the first use of
// the ticket is still running.
const ticketRetryAfter = time.Second

// TicketTable holds the used tickets of a node and lets repeats wait for the
// end of the first use. It is safe for concurrent use.
type TicketTable struct {
	signer *once.Signer
	limits once.Limits

	mu    sync.Mutex
	table *once.Table
	// ended holds, for each first use that is running, the channel that is
	// closed at its end.
	ended map[once.TicketID]chan struct{}
}

// NewTicketTable returns the empty table of a node that has just started with
// the boot id.
func NewTicketTable(instance member.InstanceID, boot member.BootID, signer *once.Signer) *TicketTable {
	limits := once.DefaultLimits()
	return &TicketTable{
		signer: signer, limits: limits,
		table: once.NewTable(instance, boot, limits),
		ended: make(map[once.TicketID]chan struct{}),
	}
}

// begin records a use of a ticket and returns whether it is to run or is a
// repeat. ended is closed when the running first use has ended; it is nil if
// none is running.
func (t *TicketTable) begin(ticket once.Ticket, request once.Request) (outcome once.Outcome, ended <-chan struct{}, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	outcome, err = t.table.Begin(time.Now(), ticket, request)
	if err == nil && outcome.Verdict == once.Run {
		t.ended[ticket.ID] = make(chan struct{})
	}
	return outcome, t.ended[ticket.ID], err
}

func (t *TicketTable) finish(id once.TicketID, outcome once.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Finish(time.Now(), id, outcome)
	if ended := t.ended[id]; ended != nil {
		close(ended)
		delete(t.ended, id)
	}
}

// runTicket runs the first use of a ticket and responds to a repeat with the
// outcome of the first use, for which it waits until the deadline.
func (g *Guard) runTicket(parent context.Context, c *call) (*Response, error) {
	ticket, err := g.cfg.Tickets.signer.Decode(c.ticket)
	if err != nil {
		return nil, unknownRun(fasthttp.StatusBadRequest, ReasonTicketInvalid, err.Error())
	}
	request := once.Request{Service: g.cfg.Service, Workspace: c.claims.Workspace, Fingerprint: fingerprint(c)}
	for {
		outcome, ended, err := g.cfg.Tickets.begin(ticket, request)
		if err != nil {
			return nil, ticketRefusal(err)
		}
		switch outcome.Verdict {
		case once.Run:
			return g.runFirst(parent, c, ticket.ID)
		case once.Running:
			if !waitEnded(ended, c.deadline) {
				return nil, &Refusal{
					Status: fasthttp.StatusConflict, Reason: ReasonTicketRunning, Run: RunUnknown,
					RetryAfter: ticketRetryAfter, Detail: "the first use of the ticket still runs", fromTicketNode: true,
				}
			}
		default:
			return replay(outcome)
		}
	}
}

func waitEnded(ended <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return false
	}
}

// fingerprint returns a hash of method, URI and body, by which the use of a
// ticket for another request is detected. Of a streamed body only the length is
// included.
func fingerprint(c *call) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(c.request.Header.Method())
	_, _ = digest.Write(c.request.Header.RequestURI())
	_, _ = digest.WriteString("\x00")
	_, _ = digest.Write(c.body.buffered)
	return digest.Sum64() + uint64(c.body.length)
}

// runFirst runs the first use of a ticket and records its outcome. It continues
// if the caller disconnects, since a repeat may request the response.
func (g *Guard) runFirst(parent context.Context, c *call, id once.TicketID) (*Response, error) {
	c.caller = nil
	response, err := g.runOnce(context.WithoutCancel(parent), c)
	if err != nil {
		refusal := *asRefusal(err)
		refusal.fromTicketNode = true
		verdict := once.Unknown
		if refusal.Run == RunNo {
			verdict = once.NotRun
		}
		g.cfg.Tickets.finish(id, once.Outcome{Verdict: verdict})
		return nil, &refusal
	}
	return g.recordResponse(response, id)
}

// recordResponse reads a response of up to MaxBodyBytes whole and records it
// before it is sent, so that it is recorded even if the caller has
// disconnected. A longer one is streamed and not kept.
func (g *Guard) recordResponse(response *Response, id once.TicketID) (*Response, error) {
	outcome := once.Outcome{
		Verdict: once.Done, Status: response.Head.StatusCode(),
		ContentType: string(response.Head.Header.ContentType()),
	}
	limit := int64(g.cfg.Tickets.limits.MaxBodyBytes)
	prefix, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		_ = response.Body.Close()
		g.cfg.Tickets.finish(id, once.Outcome{Verdict: once.Unknown})
		refusal := unknownRun(fasthttp.StatusBadGateway, ReasonUpstreamFailed, err.Error())
		refusal.fromTicketNode = true
		return nil, refusal
	}
	if int64(len(prefix)) <= limit {
		outcome.Body = prefix
		head := &fasthttp.Response{SkipBody: response.Head.SkipBody}
		response.Head.Header.CopyTo(&head.Header)
		_ = response.Body.Close()
		g.cfg.Tickets.finish(id, outcome)
		return bufferedResponse(head, prefix), nil
	}
	outcome.Gone = true
	response.Body.exchange = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(prefix), response.Body.exchange), Closer: response.Body.exchange}
	done := response.Body.done
	response.Body.done = func(size int64, err error) {
		done(size, err)
		if err != nil && !errors.Is(err, io.ErrClosedPipe) {
			outcome = once.Outcome{Verdict: once.Unknown}
		}
		g.cfg.Tickets.finish(id, outcome)
	}
	return response, nil
}

// prefixedBody is a body of which a part has already been read: Reader returns
// that part first, then the rest.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// bufferedResponse returns a response with a body in memory.
func bufferedResponse(head *fasthttp.Response, body []byte) *Response {
	if !head.SkipBody {
		head.Header.SetContentLength(len(body))
	}
	return &Response{Head: head, Body: &responseBody{
		exchange: io.NopCloser(bytes.NewReader(body)),
		done:     func(int64, error) {},
	}}
}

// replay returns the response or refusal for a repeat, by the outcome of the
// first use.
func replay(outcome once.Outcome) (*Response, error) {
	switch {
	case outcome.Verdict == once.Done && !outcome.Gone:
		response := &fasthttp.Response{}
		response.SetStatusCode(outcome.Status)
		response.Header.SetContentType(outcome.ContentType)
		return bufferedResponse(response, outcome.Body), nil
	case outcome.Verdict == once.Done:
		gone := &Refusal{Status: fasthttp.StatusGone, Reason: ReasonResultGone, Run: RunYes, Detail: "the request ran; its answer was too long to keep"}
		response := &fasthttp.Response{}
		gone.write(response, "")
		return bufferedResponse(response, bytes.Clone(response.Body())), nil
	case outcome.Verdict == once.NotRun:
		refusal := notRun(fasthttp.StatusServiceUnavailable, ReasonTicketRefused, "the request did not run and never will with this ticket")
		refusal.fromTicketNode = true
		return nil, refusal
	}
	refusal := unknownRun(fasthttp.StatusConflict, ReasonOutcomeUnknown, "the request may have run before")
	refusal.fromTicketNode = true
	return nil, refusal
}

func ticketRefusal(err error) *Refusal {
	refusal := unknownRun(fasthttp.StatusBadRequest, ReasonTicketInvalid, err.Error())
	switch {
	case errors.Is(err, once.ErrExpired):
		refusal.Status, refusal.Reason = fasthttp.StatusGone, ReasonTicketExpired
	case errors.Is(err, once.ErrMismatch):
		refusal.Status, refusal.Reason = fasthttp.StatusUnprocessableEntity, ReasonTicketMismatch
	case errors.Is(err, once.ErrOtherInstance):
		refusal.Status = fasthttp.StatusMisdirectedRequest
	}
	return refusal
}
