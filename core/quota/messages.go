package quota

import (
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// Nonce names one message of one run of a node. A reply that carries tokens
// quotes the nonce of the message that it replies to.
type Nonce struct {
	Boot member.BootID
	Seq  uint64
}

// Lot is an interval of minting time in transit. From and To are relative to
// the time of sending: the past is negative. Slack is by how much the true
// minting time may be earlier.
type Lot struct {
	Rate     Rate
	From, To time.Duration
	Slack    time.Duration
}

// Message is what nodes exchange: *Ask, *Answer, *Pull, *Stream or *Leaving.
type Message interface{ workspace() Workspace }

// Ask asks a pooler for tokens.
type Ask struct {
	Workspace Workspace
	Nonce     Nonce
	// Want is a number of tokens.
	Want int64
	// Wait is how long the entry can wait for tokens to be minted.
	Wait time.Duration
	// Margin is the life that tokens need to outlive the way to the entry.
	Margin time.Duration
	// Origin is the entry if another pooler passed the ask on, else empty.
	Origin member.InstanceID
}

// Answer carries tokens to an entry.
type Answer struct {
	Workspace Workspace
	Nonce     Nonce
	Lots      []Lot
	// Refused is the number of whole tokens that the pooler did not grant.
	Refused int64
	// RetryAfter is the time until the next token that is not promised yet.
	RetryAfter time.Duration
}

// PullKind says what a Pull asks for.
type PullKind uint8

// Kinds of Pull.
const (
	// PullMinting asks a minter for its minting up to Ahead from now.
	PullMinting PullKind = iota
	// PullAll asks a leaving node for what it holds in any role.
	PullAll
)

// Pull asks a node for tokens.
type Pull struct {
	Workspace Workspace
	Nonce     Nonce
	Kind      PullKind
	// Ahead is at most Horizon.
	Ahead time.Duration
}

// Stream carries tokens to a pooler.
type Stream struct {
	Workspace Workspace
	Nonce     Nonce
	Kind      PullKind
	Lots      []Lot
	// Until is how far ahead the minter has handed out its minting, to any
	// pooler.
	Until time.Duration
	// Previous is the pooler that the minter handed its minting to before, empty
	// if that is the receiver or its tokens have expired.
	Previous member.InstanceID
}

// Leaving announces that the sender stops. The next pooler then pulls what it
// holds; entries ask elsewhere.
type Leaving struct{ Workspace Workspace }

func (m *Ask) workspace() Workspace     { return m.Workspace }
func (m *Answer) workspace() Workspace  { return m.Workspace }
func (m *Pull) workspace() Workspace    { return m.Workspace }
func (m *Stream) workspace() Workspace  { return m.Workspace }
func (m *Leaving) workspace() Workspace { return m.Workspace }

// Send is a message for the caller to deliver, at most once if it can.
type Send struct {
	To      member.InstanceID
	Message Message
}

// RequestID is the caller's own name of a waiting request.
type RequestID uint64

// Refusal ends a waiting request.
type Refusal struct {
	Request    RequestID
	RetryAfter time.Duration
}

// Effects is what the caller must do after a call of a Node. Callers reuse it.
type Effects struct {
	Sends    []Send
	Granted  []RequestID
	Refusals []Refusal
}

// Reset empties the effects and keeps their memory.
func (e *Effects) Reset() {
	clear(e.Sends)
	e.Sends, e.Granted, e.Refusals = e.Sends[:0], e.Granted[:0], e.Refusals[:0]
}

// toWire makes lots relative to the time of sending.
func toWire(now time.Duration, lots []lot) []Lot {
	out := make([]Lot, len(lots))
	for i, l := range lots {
		out[i] = Lot{Rate: l.rate, From: l.from - now, To: l.to - now, Slack: l.slack}
	}
	return out
}

// credit adds lots that arrive now in reply to a nonce issued at the time, with
// the slack rounded up to a multiple of step. It drops those that no node with
// this limit can have sent, and the part of a lot that has expired.
func credit(b *bucket, limit Limit, now, issued, step time.Duration, lots []Lot) {
	for _, l := range lots {
		if l.Slack < 0 || l.Rate > maxJoined*limit.Rate || l.To > maxAhead {
			continue
		}
		slack := (l.Slack + now - issued + step - 1) / step * step
		b.add(lot{rate: l.Rate, from: now + max(l.From, -limit.life()), to: now + l.To, slack: slack})
	}
}

// maxJoined bounds the rate of a lot, as a multiple of the limit.
const maxJoined = 4
