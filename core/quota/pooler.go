package quota

import (
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// pooler gathers the minting of one workspace and answers asks.
type pooler struct {
	pool         bucket
	minters      []pullState
	viewsVersion uint64
	held         []heldAsk
	askers       map[member.InstanceID]time.Duration
	// usedUntil is when pulling stops unless another ask comes.
	usedUntil time.Duration
	usedSince time.Duration
	// takingOver is set while a previous pooler was asked for what it holds.
	takingOver   bool
	takeoverFrom member.InstanceID
	takeoverAt   time.Duration
	// takeoverEnds is when asks are answered without its answer.
	takeoverEnds time.Duration
	// successor took over what this pooler held, at handedAt.
	successor member.InstanceID
	handedAt  time.Duration
}

// poolerChanged makes this node take over from the pooler before a change of
// the list, or stop pulling if it was that.
func (n *Node) poolerChanged(now time.Duration, w *workspaceState, before member.InstanceID) {
	next, ok := n.poolerFor(now, w)
	if !ok || before == "" || before == next {
		return
	}
	if before == n.id {
		w.pooler.usedUntil = min(w.pooler.usedUntil, now)
	}
	if next == n.id {
		n.takeOver(now, w, before, n.timing.SilentAfter)
	}
}

// takeOver pulls what another pooler holds, unless it has just done so: the
// second answer would bring little, and may come first.
func (n *Node) takeOver(now time.Duration, w *workspaceState, from member.InstanceID, wait time.Duration) {
	if w.pooler.takeoverFrom == from && now < w.pooler.takeoverAt+n.timing.SilentAfter {
		return
	}
	w.pooler.takingOver, w.pooler.takeoverAt, w.pooler.takeoverFrom = true, now, from
	w.pooler.takeoverEnds, w.pooler.successor = now+wait, ""
	n.send(from, &Pull{Workspace: w.name, Nonce: n.nonces.issue(now), Kind: PullAll, Ahead: n.timing.Horizon})
}

// pullState is what the pooler knows of one minter.
type pullState struct {
	id member.InstanceID
	// until is how far ahead the minter has handed out its minting.
	until time.Duration
	// sentAt is when the last pull was sent; outstanding if it has no reply.
	sentAt      time.Duration
	outstanding bool
	// failed is set while the last pull had no reply in time.
	failed    bool
	notBefore time.Duration
}

// heldAsk is an ask that waits for the replies to pulls.
type heldAsk struct {
	from member.InstanceID
	ask  *Ask
	at   time.Duration
}

// maxAskers bounds the entries that a leaving pooler tells.
const maxAskers = 256

// handleAsk answers an ask, or holds it while pulls are outstanding.
func (n *Node) handleAsk(now time.Duration, from member.InstanceID, w *workspaceState, m *Ask) {
	p := &w.pooler
	switch {
	case n.hasSuccessor(now, w) && (m.Origin == "" || m.Wait > 0):
		n.passOn(now, w, heldAsk{from: origin(from, m), ask: m, at: now})
		return
	case m.Origin != "":
		from = m.Origin
	}
	if n.leaving {
		n.send(from, &Leaving{Workspace: w.name})
		return
	}
	if now >= p.usedUntil {
		p.usedSince = now
	}
	p.usedUntil = now + max(idleAfter, 2*w.life)
	if n.isBackup(now, w) {
		p.usedUntil = now + backupAhead
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

// origin returns the entry that an ask is of.
func origin(from member.InstanceID, m *Ask) member.InstanceID {
	if m.Origin != "" {
		return m.Origin
	}
	return from
}

// handOver stops pooling, remembers the pooler that has pulled everything and
// passes the asks on that wait here.
func (n *Node) handOver(now time.Duration, w *workspaceState, to member.InstanceID) {
	p := &w.pooler
	p.successor, p.handedAt = to, now
	p.usedUntil = min(p.usedUntil, now)
	delete(n.suspects, to) // it runs, and pools
	for _, h := range p.held {
		n.passOn(now, w, h)
	}
	p.held = p.held[:0]
}

// hasSuccessor reports whether asks are for the pooler that took over from this
// one. Entries that have an older list, or avoid a pooler since it said that it
// leaves, still ask here, for HoldOff at most.
func (n *Node) hasSuccessor(now time.Duration, w *workspaceState) bool {
	p := &w.pooler
	return p.successor != "" && now < p.handedAt+n.timing.HoldOff && now >= n.suspects[p.successor]
}

// passOnTime is what one more way takes of the time that an entry waits, so that
// an ask is passed on a few times at most.
const passOnTime = 10 * time.Millisecond

// passOn lets the successor answer an ask.
func (n *Node) passOn(now time.Duration, w *workspaceState, h heldAsk) {
	ask := *h.ask
	ask.Origin = h.from
	ask.Wait = max(ask.Wait-max(now-h.at, passOnTime), 0)
	ask.Margin += now - h.at
	n.send(w.pooler.successor, &ask)
}

// isBackup reports whether another pooler comes first, as far as this node
// knows. It may only have been slow, so a backup pulls little until it has been
// in use for a while.
func (n *Node) isBackup(now time.Duration, w *workspaceState) bool {
	first, ok := n.poolerFor(now, w)
	return ok && first != n.id
}

// ahead returns how far ahead the pooler pulls.
func (n *Node) ahead(now time.Duration, w *workspaceState) time.Duration {
	if !n.isBackup(now, w) {
		return n.timing.Horizon
	}
	return min(n.timing.Horizon, max(backupAhead, now-w.pooler.usedSince))
}

// pulling reports whether a pull is outstanding that may well be answered.
func (p *pooler) pulling() bool {
	return p.takingOver || slices.ContainsFunc(p.minters, func(s pullState) bool { return s.outstanding && !s.failed })
}

// cold reports whether tokens of some minter are on the way while none of its
// present minting is in the pool. Asks that were answered now would use the
// young tokens of other minters and let its old ones expire.
func (p *pooler) cold(now time.Duration) bool {
	return slices.ContainsFunc(p.minters, func(s pullState) bool {
		return s.outstanding && !s.failed && s.until <= now
	})
}

// answer grants what the pool holds. Unless final it grants all or nothing,
// and promises nothing that is yet to be minted.
func (n *Node) answer(now time.Duration, w *workspaceState, h heldAsk, final bool) bool {
	p := &w.pooler
	margin, end := h.ask.Margin+now-h.at, now
	if final {
		end = now + h.ask.Wait
	}
	if p.cold(now) {
		return false
	}
	p.pool.expire(now, w.life)
	each := Token + w.limit.Rate.over(rounding)
	lots, granted := p.pool.takeTokens(now, end, margin, w.life, h.ask.Want, each, make([]lot, 0, 4))
	if granted < h.ask.Want && !final {
		for _, l := range lots {
			p.pool.add(l)
		}
		return false
	}
	reply := &Answer{Workspace: w.name, Nonce: h.ask.Nonce, Lots: toWire(now, lots), Refused: h.ask.Want - granted}
	if reply.Refused > 0 {
		left := p.pool.available(end+margin, end, w.life) % each
		reply.RetryAfter = end - now + w.limit.Rate.timeFor(each-left)
	}
	n.send(h.from, reply)
	return true
}

// rounding is the minting time that goes with each token, so that an entry that
// spends several of them, each rounded up to nanoseconds, doesn't run short.
const rounding = 16 * time.Nanosecond

// pullDue renews the streams that end soon.
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

// fail notes that a pull had no reply.
func (s *pullState) fail(retryAt time.Duration) {
	s.outstanding, s.failed, s.notBefore = false, true, retryAt
}

// pullFailed notes that a minter can't be reached.
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

// refreshMinters follows the list of instances.
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

// A pooler rounds slack up to steps, so that the lots of all minters can be
// joined. A step is at most slackStep, and a slackSteps-th of the life of a
// token.
const (
	slackStep  = 4 * time.Millisecond
	slackSteps = 16
)

// handleStream credits the tokens and answers the asks that waited for them.
func (n *Node) handleStream(now time.Duration, from member.InstanceID, w *workspaceState, m *Stream) {
	issued, ok := n.nonces.redeem(m.Nonce)
	if !ok {
		return
	}
	p := &w.pooler
	p.pool.expire(now, w.life)
	if m.Kind == PullAll {
		p.takingOver = false
	}
	credit(&p.pool, w.limit, now, issued, min(slackStep, w.life/slackSteps+1), m.Lots)
	for i := range p.minters {
		if s := &p.minters[i]; s.id == from {
			s.outstanding, s.failed = false, false
			s.until = now + m.Until
			s.notBefore = now + renewBefore/2
		}
	}
	if n.takesOverFrom(now, w, m.Previous) {
		// It may be lost: entries turn away if their asks are held for longer.
		n.takeOver(now, w, m.Previous, n.timing.AskTimeout)
	}
	n.answerHeld(now, w)
}

// takesOverFrom reports whether this node should take over from the pooler that a
// minter handed its tokens to before: it restarted, or turned from one that was
// only slow. It does not if it has itself just handed over, or leaves: then the
// stream answers a pull of before that.
func (n *Node) takesOverFrom(now time.Duration, w *workspaceState, previous member.InstanceID) bool {
	return previous != "" && previous != n.id && !n.leaving && !n.hasSuccessor(now, w) && now >= n.suspects[previous]
}

// answerHeld answers held asks in order. Those that can't be met wait while a
// pull is outstanding.
func (n *Node) answerHeld(now time.Duration, w *workspaceState) {
	p := &w.pooler
	done := 0
	for done < len(p.held) && n.answer(now, w, p.held[done], !p.pulling()) {
		done++
	}
	p.held = append(p.held[:0], p.held[done:]...)
}

// tickPooler renews streams while the workspace is in use.
func (n *Node) tickPooler(now time.Duration, w *workspaceState) {
	if now < w.pooler.usedUntil {
		n.pullDue(now, w)
	}
	if now >= w.pooler.takeoverEnds {
		w.pooler.takingOver = false
	}
	n.answerHeld(now, w)
}

// wakePooler returns when tickPooler has something to do.
func (n *Node) wakePooler(now time.Duration, w *workspaceState) (at time.Duration, ok bool) {
	p := &w.pooler
	if now >= p.usedUntil {
		return 0, false
	}
	at = p.usedUntil
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
