package quota

import (
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// Nonce identifies one message of one run of a node. A reply that carries tokens
// quotes the nonce of the message that it answers.
type Nonce struct {
	Boot member.BootID
	Seq  uint64
}

// Lot is an interval of minting time in transit. From and To are relative to the
// time of sending; negative values lie in the past. Slack bounds by how much the
// true minting time may be earlier.
type Lot struct {
	Rate     Rate
	From, To time.Duration
	Slack    time.Duration
}

// Message is a message between nodes: *Ask, *Answer, *Pull, *Stream or *Leaving.
type Message interface{ workspace() Workspace }

// Ask is a request of an entry to a pooler for tokens.
type Ask struct {
	Workspace Workspace
	Nonce     Nonce
	// Want is the number of tokens that the entry needs.
	Want int64
	// Wait bounds how long the entry can wait for tokens to be minted.
	Wait time.Duration
	// Margin is the remaining lifetime that tokens need when they are sent, so
	// that they don't expire in transit to the entry.
	Margin time.Duration
	// Origin is the entry if another pooler forwarded the ask, else empty.
	Origin member.InstanceID
}

// Answer is the reply of a pooler to an Ask, and carries the granted tokens.
type Answer struct {
	Workspace Workspace
	Nonce     Nonce
	Lots      []Lot
	// Refused is the number of whole tokens that the pooler did not grant.
	Refused int64
	// RetryAfter is the time until the first token that has not been granted yet
	// is minted. A pooler sets it if Refused is positive.
	RetryAfter time.Duration
}

// PullKind selects the tokens that a Pull requests.
type PullKind uint8

// Kinds of Pull.
const (
	// PullMinting requests the tokens that a minter mints up to Ahead from now.
	PullMinting PullKind = iota
	// PullAll requests all tokens that a node holds in any role, to take over
	// from it as pooler.
	PullAll
)

// Pull is a request of a pooler to a minter, or to the previous pooler, for
// tokens.
type Pull struct {
	Workspace Workspace
	Nonce     Nonce
	Kind      PullKind
	// Ahead is how far into the future tokens are requested, at most Horizon.
	Ahead time.Duration
}

// Stream is the reply to a Pull, and carries the tokens to the pooler.
type Stream struct {
	Workspace Workspace
	Nonce     Nonce
	Kind      PullKind
	Lots      []Lot
	// Until is how far into the future the minter has handed out its tokens, to
	// any pooler.
	Until time.Duration
	// Previous is the pooler that the minter handed its tokens to before; empty
	// if that is the receiver, or if those tokens have expired.
	Previous member.InstanceID
}

// Leaving announces that the sender is shutting down. The next pooler then pulls
// the tokens that it holds; entries send their asks to the next pooler.
type Leaving struct{ Workspace Workspace }

func (m *Ask) workspace() Workspace     { return m.Workspace }
func (m *Answer) workspace() Workspace  { return m.Workspace }
func (m *Pull) workspace() Workspace    { return m.Workspace }
func (m *Stream) workspace() Workspace  { return m.Workspace }
func (m *Leaving) workspace() Workspace { return m.Workspace }

// Send is a message for the caller to deliver. Delivery may fail, and should not
// happen twice.
type Send struct {
	To      member.InstanceID
	Message Message
}

// RequestID identifies a waiting request. The caller chooses it.
type RequestID uint64

// Refusal reports that a waiting request is refused, and its Retry-After time.
type Refusal struct {
	Request    RequestID
	RetryAfter time.Duration
}

// Effects collects what the caller must do after a call of a Node: send messages,
// and admit or refuse waiting requests. Callers may reuse it after Reset.
type Effects struct {
	Sends    []Send
	Granted  []RequestID
	Refusals []Refusal
}

// Reset empties the effects and keeps the allocated memory.
func (e *Effects) Reset() {
	clear(e.Sends)
	e.Sends, e.Granted, e.Refusals = e.Sends[:0], e.Granted[:0], e.Refusals[:0]
}

// toWire converts lots to their form in a message, relative to the time of
// sending.
func toWire(now time.Duration, lots []lot) []Lot {
	out := make([]Lot, len(lots))
	for i, l := range lots {
		out[i] = Lot{Rate: l.rate, From: l.from - now, To: l.to - now, Slack: l.slack}
	}
	return out
}

// credit adds lots that are received now in reply to a message whose nonce was
// issued at the time issued. It increases their slack by the round trip, rounded
// up to a multiple of step. It drops lots that no node with this limit can have
// sent, and the part of a lot that has expired.
func credit(b *bucket, limit Limit, now, issued, step time.Duration, lots []Lot) {
	for _, l := range lots {
		if l.Slack < 0 || l.Rate > maxMergedFactor*limit.Rate || l.To > maxAhead {
			continue
		}
		slack := (l.Slack + now - issued + step - 1) / step * step
		b.add(lot{rate: l.Rate, from: now + max(l.From, -limit.lifetime()), to: now + l.To, slack: slack})
	}
}

// maxMergedFactor bounds the rate of a received lot, which may be merged from
// several minters, as a multiple of the limit's rate.
const maxMergedFactor = 4
