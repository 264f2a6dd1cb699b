package once

import (
	"container/heap"
	"errors"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// Errors of Begin. The request did not run in the call that returns one.
var (
	// ErrOtherInstance: the ticket names another instance, which may have run
	// the request.
	ErrOtherInstance = errors.New("once: ticket is for another instance")
	// ErrExpired: the ticket has expired. It may have been used before.
	ErrExpired = errors.New("once: ticket has expired")
	// ErrLifetimeTooLong: the remaining lifetime of the ticket exceeds
	// MaxLifetime.
	ErrLifetimeTooLong = errors.New("once: ticket lives too long")
	// ErrMismatch: the ticket was issued or first used for another request.
	ErrMismatch = errors.New("once: ticket belongs to another request")
)

// Verdict is how a request that carries a ticket is handled.
type Verdict uint8

// Verdicts of Begin.
const (
	// Unknown: the request may have run before; it must not run now.
	Unknown Verdict = iota
	// Run: this is the first use. Run the request and call Finish.
	Run
	// Running: the first use is still running. Wait for its end, then call Begin
	// again.
	Running
	// Done: respond with the outcome of the first use.
	Done
	// NotRun: the request did not run and never will with this ticket.
	NotRun
)

// Outcome is the result of the first use of a ticket.
type Outcome struct {
	// Verdict is Done, NotRun or Unknown.
	Verdict Verdict
	// Status is the status of the response, and ContentType its type, if Done.
	Status      int
	ContentType string
	// Body is the response's body. The table keeps a reference, so it must not be
	// modified.
	Body []byte
	// Gone is set if the body was dropped because it exceeded Limits.
	Gone bool
}

// Request is the request that a ticket is checked against.
type Request struct {
	Service   string
	Workspace string
	// Fingerprint is a hash of the method, the path and the body.
	Fingerprint uint64
}

// Limits bound the memory of a table.
type Limits struct {
	// MaxTickets is the maximum number of used tickets kept at a time.
	MaxTickets int
	// MaxBodyBytes is the maximum size of one kept body in bytes.
	MaxBodyBytes int
	// MaxTotalBodyBytes is the maximum total size of the kept bodies in bytes.
	MaxTotalBodyBytes int
}

// DefaultLimits returns the limits for a node with 64 MB of memory.
func DefaultLimits() Limits {
	return Limits{MaxTickets: 1 << 15, MaxBodyBytes: 64 << 10, MaxTotalBodyBytes: 8 << 20}
}

// usedTicket is a ticket whose first use has begun.
type usedTicket struct {
	id          TicketID
	fingerprint uint64
	expires     time.Time
	running     bool
	outcome     Outcome
	index       int // position in the expiry queue, -1 when not in it
}

// Table is the deduplication table of one boot of one node: it holds the used
// tickets and their outcomes.
type Table struct {
	instance  member.InstanceID
	boot      member.BootID
	limits    Limits
	used      map[TicketID]*usedTicket
	expiry    expiryQueue
	bodyBytes int // total size of the kept bodies
	// latest is the latest time passed to the table. If the clock steps back, it
	// prevents an expired and removed ticket from becoming valid again.
	latest time.Time
	// Unknown tickets that expire at or before cutoff are refused.
	cutoff time.Time
}

// NewTable returns the empty table of a node that has just started.
func NewTable(instance member.InstanceID, boot member.BootID, limits Limits) *Table {
	return &Table{instance: instance, boot: boot, limits: limits, used: make(map[TicketID]*usedTicket)}
}

// Len returns the number of used tickets in the table.
func (t *Table) Len() int { return len(t.used) }

// Begin determines how a request that carries the ticket is handled. The caller
// must run the request and call Finish if the verdict is Run, and must not run
// it otherwise.
func (t *Table) Begin(now time.Time, k Ticket, r Request) (Outcome, error) {
	now = t.advance(now)
	if k.Instance != t.instance {
		return Outcome{}, ErrOtherInstance
	}
	if k.Service != r.Service || k.Workspace != r.Workspace {
		return Outcome{}, ErrMismatch
	}
	if k.Boot != t.boot {
		return Outcome{Verdict: Unknown}, nil
	}
	if u := t.used[k.ID]; u != nil {
		return u.repeat(r)
	}
	if !now.Before(k.Expires) {
		return Outcome{}, ErrExpired
	}
	if k.Expires.Sub(now) > MaxLifetime {
		return Outcome{}, ErrLifetimeTooLong
	}
	return t.recordFirst(k, r), nil
}

func (u *usedTicket) repeat(r Request) (Outcome, error) {
	if u.fingerprint != r.Fingerprint {
		return Outcome{}, ErrMismatch
	}
	if u.running {
		return Outcome{Verdict: Running}, nil
	}
	return u.outcome, nil
}

// recordFirst records the first use of a ticket. If the table is full, it
// raises the cutoff instead, so that neither this request nor a late copy of it
// can run.
func (t *Table) recordFirst(k Ticket, r Request) Outcome {
	if len(t.used) >= t.limits.MaxTickets && k.Expires.After(t.cutoff) {
		t.cutoff = k.Expires
	}
	if !k.Expires.After(t.cutoff) {
		return Outcome{Verdict: NotRun}
	}
	u := &usedTicket{id: k.ID, fingerprint: r.Fingerprint, expires: k.Expires, running: true}
	t.used[k.ID] = u
	heap.Push(&t.expiry, u)
	return Outcome{Verdict: Run}
}

// Finish records the outcome of the first use. It is ignored for a ticket that
// is not running, so the first outcome is final.
func (t *Table) Finish(now time.Time, id TicketID, o Outcome) {
	now = t.advance(now)
	u := t.used[id]
	if u == nil || !u.running {
		return
	}
	u.running = false
	u.outcome = t.dropLargeBody(o)
	if !now.Before(u.expires) {
		t.remove(u)
	}
}

// dropLargeBody drops the body if it exceeds the limits.
func (t *Table) dropLargeBody(o Outcome) Outcome {
	if len(o.Body) > t.limits.MaxBodyBytes || t.bodyBytes+len(o.Body) > t.limits.MaxTotalBodyBytes {
		o.Body = nil
		o.Gone = true
	}
	t.bodyBytes += len(o.Body)
	return o
}

// advance removes expired tickets and returns the later of now and the latest
// time passed to the table.
func (t *Table) advance(now time.Time) time.Time {
	if now.Before(t.latest) {
		now = t.latest
	}
	t.latest = now
	for len(t.expiry) > 0 && !now.Before(t.expiry[0].expires) {
		u := heap.Pop(&t.expiry).(*usedTicket)
		if !u.running { // Finish removes a running one
			t.remove(u)
		}
	}
	return now
}

func (t *Table) remove(u *usedTicket) {
	delete(t.used, u.id)
	t.bodyBytes -= len(u.outcome.Body)
	if u.index >= 0 {
		heap.Remove(&t.expiry, u.index)
	}
}

// expiryQueue is a heap of used tickets, ordered by expiry.
type expiryQueue []*usedTicket

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].expires.Before(q[j].expires) }

func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) {
	u := x.(*usedTicket)
	u.index = len(*q)
	*q = append(*q, u)
}

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	u := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	u.index = -1
	return u
}
