package quota

import (
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// tokenBucket is a classic token bucket.
type tokenBucket struct {
	level Amount
	last  time.Time
}

func (b *tokenBucket) take(now time.Time, limit Limit) bool {
	full := Amount(limit.Burst) * Token
	b.level = min(full, b.level+limit.Rate.over(min(now.Sub(b.last), limit.lifetime()+1)))
	b.last = now
	if b.level < Token {
		return false
	}
	b.level -= Token
	return true
}

// staticSplit is a baseline that gives each listed instance an equal part of the
// rate and burst, with a burst of at least one token.
type staticSplit struct {
	limit  Limit
	size   int64
	bucket tokenBucket
}

func buildSplit(s *sim, _ *simNode) decider {
	size := int64(len(s.nodes))
	part := Limit{Rate: s.limit.Rate / Rate(size), Burst: max(1, s.limit.Burst/size)}
	return &staticSplit{limit: part, size: size, bucket: tokenBucket{level: Amount(part.Burst) * Token, last: s.time()}}
}

func (b *staticSplit) Ask(at time.Time, _ Workspace, _ RequestID, _ time.Duration, _ *Effects) (Decision, error) {
	if b.bucket.take(at, b.limit) {
		return Decision{Verdict: Granted}, nil
	}
	return Decision{Verdict: Refused}, nil
}

func (b *staticSplit) Handle(time.Time, member.InstanceID, Message, *Effects) {}
func (b *staticSplit) Tick(time.Time, *Effects)                               {}
func (b *staticSplit) NextWake(time.Time) (time.Time, bool)                   { return time.Time{}, false }
func (b *staticSplit) SetList(time.Time, List, *Effects)                      {}
func (b *staticSplit) Contact(time.Time, time.Time)                           {}

// leasedOwner is a baseline that gives the whole limit to the first listed
// instance, which renews its lease with each contact. The other instances ask it
// for each request.
type leasedOwner struct {
	s       *sim
	id      member.InstanceID
	owner   member.InstanceID
	lease   time.Time
	bucket  tokenBucket
	waiting []waitingRequest
}

func buildOwner(s *sim, n *simNode) decider { return &leasedOwner{s: s, id: n.id} }

func (b *leasedOwner) Ask(at time.Time, ws Workspace, id RequestID, maxWait time.Duration, fx *Effects) (Decision, error) {
	if b.owner == b.id {
		return b.decideAsOwner(at), nil
	}
	b.waiting = append(b.waiting, waitingRequest{request: id, deadline: at.Add(maxWait).Sub(simStart)})
	fx.Sends = append(fx.Sends, Send{To: b.owner, Message: &Ask{Workspace: ws, Nonce: Nonce{Seq: uint64(id)}}})
	return Decision{Verdict: Pending}, nil
}

// decideAsOwner decides on a request as the owner. It refuses the request if
// this instance does not hold the lease.
func (b *leasedOwner) decideAsOwner(at time.Time) Decision {
	if b.owner == b.id && at.Before(b.lease) && b.bucket.take(at, b.s.limit) {
		return Decision{Verdict: Granted}
	}
	return Decision{Verdict: Refused}
}

func (b *leasedOwner) Handle(at time.Time, from member.InstanceID, m Message, fx *Effects) {
	switch m := m.(type) {
	case *Ask:
		refused := int64(b.decideAsOwner(at).Verdict / Refused)
		fx.Sends = append(fx.Sends, Send{To: from, Message: &Answer{Nonce: m.Nonce, Refused: refused}})
	case *Answer:
		for i, r := range b.waiting {
			if r.request != RequestID(m.Nonce.Seq) {
				continue
			}
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			if m.Refused > 0 {
				fx.Refusals = append(fx.Refusals, Refusal{Request: r.request})
			} else {
				fx.Granted = append(fx.Granted, r.request)
			}
			return
		}
	}
}

func (b *leasedOwner) Tick(at time.Time, fx *Effects) {
	for len(b.waiting) > 0 && b.waiting[0].deadline <= at.Sub(simStart) {
		fx.Refusals = append(fx.Refusals, Refusal{Request: b.waiting[0].request})
		b.waiting = b.waiting[1:]
	}
}

func (b *leasedOwner) NextWake(time.Time) (time.Time, bool) {
	if len(b.waiting) == 0 {
		return time.Time{}, false
	}
	return simStart.Add(b.waiting[0].deadline), true
}

// SetList gives a new owner a full bucket, since the previous owner's level is
// unknown.
func (b *leasedOwner) SetList(at time.Time, list List, _ *Effects) {
	owner := rendezvous(testWorkspace, list.Members, 1)[0]
	if owner == b.id && b.owner != b.id {
		b.bucket = tokenBucket{level: Amount(b.s.limit.Burst) * Token, last: at}
	}
	b.owner = owner
}

func (b *leasedOwner) Contact(at, _ time.Time) { b.lease = at.Add(b.s.timing.IsolateAfter) }
