package quota

import (
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// entry is the state of the entry role for one workspace: the node's tokens and
// the requests that wait for one.
type entry struct {
	held    bucket
	waiting []waitingRequest
	asks    []askInFlight
	// tokensInFlight is the number of tokens requested by asks.
	tokensInFlight int64
	lastAsk        time.Duration
	// refuseUntil is the time until which requests are refused without an ask.
	refuseUntil time.Duration
	// retryAt is when the pooler expects the next token, from its last refusal.
	retryAt time.Duration
	// margin is the estimated round trip to the pooler: the highest recent one,
	// decayed by an eighth with each answer.
	margin time.Duration
	// lastAnswerFrom is the pooler that sent the last answer. unansweredSince
	// is when the first ask after that answer was sent, or 0 if there is none.
	lastAnswerFrom  member.InstanceID
	unansweredSince time.Duration
}

// waitingRequest is a request that waits for a token until its deadline.
type waitingRequest struct {
	request  RequestID
	deadline time.Duration
}

// askInFlight is an ask without an answer.
type askInFlight struct {
	seq    uint64
	to     member.InstanceID
	want   int64
	sentAt time.Duration
}

// Verdict is the immediate result of Node.Ask.
type Verdict uint8

// Verdicts.
const (
	// Granted means that the request is admitted and its token is spent.
	Granted Verdict = iota
	// Pending means that the Effects of this call or a later one grants or
	// refuses the request.
	Pending
	// Refused means that the workspace is over its limit.
	Refused
)

// Decision is a verdict and, if the request is refused, the Retry-After time.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// request decides on one request of the workspace.
func (n *Node) request(now time.Duration, w *workspaceState, id RequestID, maxWait time.Duration) Decision {
	e := &w.entry
	if len(e.waiting) == 0 && e.held.spend(now, w.lifetime) {
		return Decision{Verdict: Granted}
	}
	if now < e.refuseUntil {
		return Decision{Verdict: Refused, RetryAfter: max(e.retryAt, e.refuseUntil) - now}
	}
	deadline := now + min(maxWait, n.timing.AnswerWait)
	e.waiting = append(e.waiting, waitingRequest{request: id, deadline: deadline})
	n.askForTokens(now, w)
	return Decision{Verdict: Pending}
}

// askForTokens asks the pooler for the tokens that the waiting requests still
// need. It sends at most one ask per batchInterval.
func (n *Node) askForTokens(now time.Duration, w *workspaceState) {
	e := &w.entry
	missing, last := e.shortfall(now, w.lifetime)
	if missing <= 0 || now < e.lastAsk+batchInterval {
		return
	}
	e.lastAsk = now
	to, ok := n.poolerFor(now, w)
	if !ok {
		return
	}
	if e.unansweredSince == 0 {
		e.unansweredSince = now
	}
	nonce := n.nonces.issue(now)
	e.asks = append(e.asks, askInFlight{seq: nonce.Seq, to: to, want: missing, sentAt: now})
	e.tokensInFlight += missing
	n.send(to, &Ask{
		Workspace: w.name,
		Nonce:     nonce,
		Want:      missing,
		Wait:      max(0, min(last-now, n.timing.MaxWait)-e.margin),
		Margin:    min(2*e.margin, w.lifetime/4),
	})
}

// shortfall returns how many tokens the waiting requests need beyond those that
// are held or have been asked for, and the deadline of the last request. It
// counts whole tokens only: the fraction held could expire while the missing
// fraction is in flight.
func (e *entry) shortfall(now, lifetime time.Duration) (tokens int64, last time.Duration) {
	if len(e.waiting) == 0 {
		return 0, 0
	}
	last = e.waiting[len(e.waiting)-1].deadline
	tokens = int64(len(e.waiting)) - e.tokensInFlight
	if _, ok := e.held.readyAt(now, last, 0, lifetime, Token); ok {
		tokens -= int64(e.held.available(now, last, lifetime) / Token)
	}
	return tokens, last
}

// handleAnswer credits the tokens of an answer and refuses as many requests as
// the pooler refused tokens.
func (n *Node) handleAnswer(now time.Duration, from member.InstanceID, w *workspaceState, m *Answer) {
	issued, ok := n.nonces.redeem(m.Nonce)
	if !ok {
		return
	}
	e := &w.entry
	e.removeAsk(m.Nonce.Seq)
	e.lastAnswerFrom, e.unansweredSince = from, 0
	e.margin = max(e.margin*7/8, now-issued)
	e.held.expire(now, w.lifetime)
	credit(&e.held, w.limit, now, issued, time.Nanosecond, m.Lots)
	n.grantReady(now, w)
	if m.Refused > 0 {
		e.refuseUntil = now + min(w.lifetime/4, maxRefusedFor)
		e.retryAt = now + m.RetryAfter
		n.refuseNewest(w, m.Refused, m.RetryAfter)
	}
	n.askForTokens(now, w)
}

// removeAsk removes the ask with the sequence number, if it is in flight.
func (e *entry) removeAsk(seq uint64) {
	for i, a := range e.asks {
		if a.seq == seq {
			e.tokensInFlight -= a.want
			e.asks = append(e.asks[:i], e.asks[i+1:]...)
			return
		}
	}
}

// grantReady grants waiting requests, the oldest first, while there are tokens.
func (n *Node) grantReady(now time.Duration, w *workspaceState) {
	e := &w.entry
	granted := 0
	for granted < len(e.waiting) && e.held.spend(now, w.lifetime) {
		n.fx.Granted = append(n.fx.Granted, e.waiting[granted].request)
		granted++
	}
	e.waiting = append(e.waiting[:0], e.waiting[granted:]...)
}

// refuseNewest refuses up to count waiting requests, the newest first.
func (n *Node) refuseNewest(w *workspaceState, count int64, retryAfter time.Duration) {
	e := &w.entry
	kept := max(0, len(e.waiting)-int(min(count, int64(len(e.waiting)))))
	for _, r := range e.waiting[kept:] {
		n.fx.Refusals = append(n.fx.Refusals, Refusal{Request: r.request, RetryAfter: retryAfter})
	}
	e.waiting = e.waiting[:kept]
}

// tickEntry grants requests for which tokens have become available, refuses those
// that are past their deadline, and fails over from a pooler that does not
// answer.
func (n *Node) tickEntry(now time.Duration, w *workspaceState) {
	e := &w.entry
	n.grantReady(now, w)
	expired := 0
	for expired < len(e.waiting) && now >= e.waiting[expired].deadline {
		retryAfter := w.limit.Rate.timeFor(Token)
		n.fx.Refusals = append(n.fx.Refusals, Refusal{Request: e.waiting[expired].request, RetryAfter: retryAfter})
		expired++
	}
	e.waiting = append(e.waiting[:0], e.waiting[expired:]...)
	for len(e.asks) > 0 && now >= e.asks[0].sentAt+n.timing.AskTimeout {
		if now >= e.unansweredSince+n.timing.UnresponsiveAfter {
			n.suspect(e.asks[0].to, now+n.timing.SuspectFor)
			e.unansweredSince = 0
		}
		e.removeAsk(e.asks[0].seq)
	}
	n.askForTokens(now, w)
}

// drainIfIdle empties the bucket and returns its lots, unless requests are
// waiting.
func (e *entry) drainIfIdle() []lot {
	if len(e.waiting) > 0 {
		return nil
	}
	return e.held.drain()
}

// removeAsksTo removes the asks that were sent to a node that will not answer
// them.
func (e *entry) removeAsksTo(to member.InstanceID) {
	for i := len(e.asks) - 1; i >= 0; i-- {
		if e.asks[i].to == to {
			e.removeAsk(e.asks[i].seq)
		}
	}
}

// wakeEntry returns when tickEntry is next due. ok is false if it is not.
func (n *Node) wakeEntry(now time.Duration, w *workspaceState) (at time.Duration, ok bool) {
	e := &w.entry
	if len(e.waiting) == 0 {
		return 0, false
	}
	at = e.waiting[0].deadline
	if ready, ok := e.held.readyAt(now, at, 0, w.lifetime, Token); ok {
		at = ready
	}
	if len(e.asks) > 0 {
		at = min(at, e.asks[0].sentAt+n.timing.AskTimeout)
	}
	if missing, _ := e.shortfall(now, w.lifetime); missing > 0 {
		at = min(at, e.lastAsk+batchInterval)
	}
	return at, true
}
