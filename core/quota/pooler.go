package quota

import (
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// pooler is the state of the pooler role for one workspace: the tokens of its
// minters and the asks that wait for them.
type pooler struct {
	pool         bucket
	minters      []pullState
	viewsVersion uint64
	held         []heldAsk
	// askers holds the time of the last ask of each entry, for up to maxAskers.
	askers map[member.InstanceID]time.Duration
	// activeUntil is when the pooler stops pulling unless it receives another
	// ask; activeSince is when it started.
	activeUntil time.Duration
	activeSince time.Duration
	// takingOver is set while a pull of all tokens to the previous pooler,
	// takeoverFrom, is in flight. It was sent at takeoverAt.
	takingOver   bool
	takeoverFrom member.InstanceID
	takeoverAt   time.Duration
	// takeoverEnds is the time from which asks are answered without the reply to
	// that pull.
	takeoverEnds time.Duration
	// successor pulled all tokens of this pooler, at handedOverAt.
	successor    member.InstanceID
	handedOverAt time.Duration
}

// poolerChanged is called after a change of the list. If the pooler changed, this
// node takes over from the previous one if it is the new one, and stops pulling
// if it was the previous one.
func (n *Node) poolerChanged(now time.Duration, w *workspaceState, before member.InstanceID) {
	next, ok := n.poolerFor(now, w)
	if !ok || before == "" || before == next {
		return
	}
	if before == n.id {
		w.pooler.activeUntil = min(w.pooler.activeUntil, now)
	}
	if next == n.id {
		n.takeOver(now, w, before, n.timing.UnresponsiveAfter)
	}
}

// takeOver pulls all tokens that another pooler holds, unless it did so less
// than UnresponsiveAfter ago: a second reply would carry few tokens, and may
// arrive before the first.
func (n *Node) takeOver(now time.Duration, w *workspaceState, from member.InstanceID, wait time.Duration) {
	if w.pooler.takeoverFrom == from && now < w.pooler.takeoverAt+n.timing.UnresponsiveAfter {
		return
	}
	w.pooler.takingOver, w.pooler.takeoverAt, w.pooler.takeoverFrom = true, now, from
	w.pooler.takeoverEnds, w.pooler.successor = now+wait, ""
	n.send(from, &Pull{Workspace: w.name, Nonce: n.nonces.issue(now), Kind: PullAll, Ahead: n.timing.Horizon})
}

// pullState is the pooler's state of one minter.
type pullState struct {
	id member.InstanceID
	// until is the time up to which the minter has handed out its tokens.
	until time.Duration
	// sentAt is when the last pull was sent; outstanding is set while it is in
	// flight.
	sentAt      time.Duration
	outstanding bool
	// failed is set if the last pull had no reply within PullTimeout, until a
	// stream arrives.
	failed bool
	// notBefore is the earliest time of the next pull.
	notBefore time.Duration
}

// heldAsk is an ask that waits for the replies to pulls since the time at.
type heldAsk struct {
	from member.InstanceID
	ask  *Ask
	at   time.Duration
}

// maxAskers bounds the number of entries that a leaving pooler notifies.
const maxAskers = 256

// handleAsk answers an ask, holds it while pulls are in flight, or forwards it to
// the successor.
func (n *Node) handleAsk(now time.Duration, from member.InstanceID, w *workspaceState, m *Ask) {
	p := &w.pooler
	switch {
	case n.hasSuccessor(now, w) && (m.Origin == "" || m.Wait > 0):
		n.forward(now, w, heldAsk{from: origin(from, m), ask: m, at: now})
		return
	case m.Origin != "":
		from = m.Origin
	}
	if n.leaving {
		n.send(from, &Leaving{Workspace: w.name})
		return
	}
	if now >= p.activeUntil {
		p.activeSince = now
	}
	p.activeUntil = now + max(idleAfter, 2*w.lifetime)
	if n.isBackup(now, w) {
		p.activeUntil = now + backupAhead
	}
	if _, known := p.askers[from]; known || len(p.askers) < maxAskers {
		p.askers[from] = now
	}
	n.pullDue(now, w)
	h := heldAsk{from: from, ask: m, at: now}
	if len(p.held) > 0 || !n.answer(now, w, h, !p.pulling()) {
		p.held = append(p.held, h)
	}
}

// origin returns the entry that issued an ask.
func origin(from member.InstanceID, m *Ask) member.InstanceID {
	if m.Origin != "" {
		return m.Origin
	}
	return from
}

// handOver records the pooler that has pulled all tokens as the successor, stops
// pulling and forwards the held asks to it.
func (n *Node) handOver(now time.Duration, w *workspaceState, to member.InstanceID) {
	p := &w.pooler
	p.successor, p.handedOverAt = to, now
	p.activeUntil = min(p.activeUntil, now)
	delete(n.suspects, to) // its pull shows that it is up and is a pooler
	for _, h := range p.held {
		n.forward(now, w, h)
	}
	p.held = p.held[:0]
}

// hasSuccessor reports whether asks are to be forwarded to the pooler that took
// over from this one. Entries that have an older list, or that suspect a pooler
// since it announced that it is leaving, may send asks here for up to HoldOff.
func (n *Node) hasSuccessor(now time.Duration, w *workspaceState) bool {
	p := &w.pooler
	return p.successor != "" && now < p.handedOverAt+n.timing.HoldOff && now >= n.suspects[p.successor]
}

// minForwardDelay is the least time that is deducted from the wait of an ask
// when it is forwarded. It bounds how often an ask is forwarded.
const minForwardDelay = 10 * time.Millisecond

// forward forwards an ask to the successor, which answers the entry.
func (n *Node) forward(now time.Duration, w *workspaceState, h heldAsk) {
	ask := *h.ask
	ask.Origin = h.from
	ask.Wait = max(ask.Wait-max(now-h.at, minForwardDelay), 0)
	ask.Margin += now - h.at
	n.send(w.pooler.successor, &ask)
}

// isBackup reports whether another pooler precedes this node in this node's view.
// Entries may have failed over only because that pooler was slow, so a backup
// pulls little until it has been in use for a while.
func (n *Node) isBackup(now time.Duration, w *workspaceState) bool {
	first, ok := n.poolerFor(now, w)
	return ok && first != n.id
}

// ahead returns how far into the future the pooler pulls tokens.
func (n *Node) ahead(now time.Duration, w *workspaceState) time.Duration {
	if !n.isBackup(now, w) {
		return n.timing.Horizon
	}
	return min(n.timing.Horizon, max(backupAhead, now-w.pooler.activeSince))
}

// pulling reports whether a pull is in flight whose reply is still expected.
func (p *pooler) pulling() bool {
	return p.takingOver || slices.ContainsFunc(p.minters, func(s pullState) bool { return s.outstanding && !s.failed })
}

// cold reports whether a pull to some minter is in flight while the pool holds no
// tokens that this minter mints now. Asks that were answered meanwhile would
// consume newer tokens of other minters and let the older ones in transit expire.
func (p *pooler) cold(now time.Duration) bool {
	return slices.ContainsFunc(p.minters, func(s pullState) bool {
		return s.outstanding && !s.failed && s.until <= now
	})
}

// answer answers an ask from the pool and reports whether it did. If final is set
// it grants as many tokens as it can, including those that are going to be minted
// within the ask's wait. Otherwise it grants all tokens asked for or none, and
// only those already minted.
func (n *Node) answer(now time.Duration, w *workspaceState, h heldAsk, final bool) bool {
	p := &w.pooler
	margin, end := h.ask.Margin+now-h.at, now
	if final {
		end = now + h.ask.Wait
	}
	if p.cold(now) {
		return false
	}
	p.pool.expire(now, w.lifetime)
	each := Token + w.limit.Rate.over(rounding)
	lots, granted := p.pool.takeTokens(now, end, margin, w.lifetime, h.ask.Want, each, make([]lot, 0, 4))
	if granted < h.ask.Want && !final {
		for _, l := range lots {
			p.pool.add(l)
		}
		return false
	}
	reply := &Answer{Workspace: w.name, Nonce: h.ask.Nonce, Lots: toWire(now, lots), Refused: h.ask.Want - granted}
	if reply.Refused > 0 {
		left := p.pool.available(end+margin, end, w.lifetime) % each
		reply.RetryAfter = end - now + w.limit.Rate.timeFor(each-left)
	}
	n.send(h.from, reply)
	return true
}

// rounding is the minting time that is granted in addition to each token. Each
// token that an entry spends is rounded up to whole nanoseconds of minting time;
// without the addition, it could spend fewer tokens than it was granted.
const rounding = 16 * time.Nanosecond

// pullDue sends the pulls that are due: to minters whose tokens in the pool end
// within renewBefore. It also times out the pulls that have no reply.
func (n *Node) pullDue(now time.Duration, w *workspaceState) {
	p := &w.pooler
	n.refreshMinters(w)
	ahead := n.ahead(now, w)
	for i := range p.minters {
		s := &p.minters[i]
		if s.outstanding && now >= s.sentAt+n.timing.PullTimeout {
			s.fail(now + minterRetry)
		}
		if s.outstanding || now < s.notBefore || s.until-now >= renewBefore {
			continue
		}
		if s.id == n.id && n.leaving {
			continue
		}
		s.outstanding, s.sentAt = true, now
		n.send(s.id, &Pull{Workspace: w.name, Nonce: n.nonces.issue(now), Ahead: ahead})
	}
}

// fail records that a pull failed and when to retry it.
func (s *pullState) fail(retryAt time.Duration) {
	s.outstanding, s.failed, s.notBefore = false, true, retryAt
}

// pullFailed handles a minter or previous pooler that is unreachable: the pulls
// to it fail, and held asks no longer wait for them.
func (n *Node) pullFailed(now time.Duration, w *workspaceState, minter member.InstanceID) {
	p := &w.pooler
	if p.takeoverFrom == minter {
		p.takingOver = false
	}
	for i := range p.minters {
		if s := &p.minters[i]; s.id == minter && s.outstanding {
			s.fail(now + minterRetry)
		}
	}
	n.answerHeld(now, w)
}

// refreshMinters updates the minters after a change of the list of instances.
func (n *Node) refreshMinters(w *workspaceState) {
	p := &w.pooler
	if p.viewsVersion == n.views.version {
		return
	}
	p.viewsVersion = n.views.version
	order := n.order(w)
	minters := make([]pullState, len(order))
	for i, id := range order {
		minters[i].id = id
		if j := slices.IndexFunc(p.minters, func(s pullState) bool { return s.id == id }); j >= 0 {
			minters[i] = p.minters[j]
		}
	}
	p.minters = minters
}

// A pooler rounds slack up to a multiple of a step, so that lots of different
// minters have the same slack and can be merged. A step is the smaller of
// slackStep and 1/slackSteps of the lifetime of a token.
const (
	slackStep  = 4 * time.Millisecond
	slackSteps = 16
)

// handleStream credits the tokens and answers the asks that wait for them.
func (n *Node) handleStream(now time.Duration, from member.InstanceID, w *workspaceState, m *Stream) {
	issued, ok := n.nonces.redeem(m.Nonce)
	if !ok {
		return
	}
	p := &w.pooler
	p.pool.expire(now, w.lifetime)
	if m.Kind == PullAll {
		p.takingOver = false
	}
	credit(&p.pool, w.limit, now, issued, min(slackStep, w.lifetime/slackSteps+1), m.Lots)
	for i := range p.minters {
		if s := &p.minters[i]; s.id == from {
			s.outstanding, s.failed = false, false
			s.until = now + m.Until
			s.notBefore = now + renewBefore/2
		}
	}
	if n.shouldTakeOverFrom(now, w, m.Previous) {
		// The previous pooler may be down. Waiting for it longer than AskTimeout
		// would make entries fail over, since their asks are held meanwhile.
		n.takeOver(now, w, m.Previous, n.timing.AskTimeout)
	}
	n.answerHeld(now, w)
}

// shouldTakeOverFrom reports whether this node should take over from the pooler
// that a minter handed its tokens to before. This is so after this node
// restarted, or after a backup was used because this node was slow. It is not
// so if this node has itself just handed over or is leaving: then the stream is
// the reply to an earlier pull.
func (n *Node) shouldTakeOverFrom(now time.Duration, w *workspaceState, previous member.InstanceID) bool {
	return previous != "" && previous != n.id && !n.leaving && !n.hasSuccessor(now, w) && now >= n.suspects[previous]
}

// answerHeld answers held asks in order. An ask that can't be granted in full
// waits while a pull is in flight.
func (n *Node) answerHeld(now time.Duration, w *workspaceState) {
	p := &w.pooler
	done := 0
	for done < len(p.held) && n.answer(now, w, p.held[done], !p.pulling()) {
		done++
	}
	p.held = append(p.held[:0], p.held[done:]...)
}

// tickPooler sends pulls while the workspace is in use, ends a takeover that
// timed out, and answers held asks.
func (n *Node) tickPooler(now time.Duration, w *workspaceState) {
	if now < w.pooler.activeUntil {
		n.pullDue(now, w)
	}
	if now >= w.pooler.takeoverEnds {
		w.pooler.takingOver = false
	}
	n.answerHeld(now, w)
}

// wakePooler returns when tickPooler is next due. ok is false if it is not.
func (n *Node) wakePooler(now time.Duration, w *workspaceState) (at time.Duration, ok bool) {
	p := &w.pooler
	if now >= p.activeUntil {
		return 0, false
	}
	at = p.activeUntil
	for _, s := range p.minters {
		due := max(s.notBefore, s.until-renewBefore)
		if s.outstanding {
			due = s.sentAt + n.timing.PullTimeout
		}
		at = min(at, due)
	}
	if p.takingOver {
		at = min(at, p.takeoverEnds)
	}
	return max(at, now), true
}
