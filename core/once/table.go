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
	// ErrTooLongLife: the remaining lifetime of the ticket exceeds MaxLife.
	ErrTooLongLife = errors.New("once: ticket lifetime exceeds the limit of 10 minutes")
	// ErrMismatch: the ticket was issued or first used for another request.
	ErrMismatch = errors.New("once: ticket was issued or used for another request")
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
	// Done: answer with the outcome of the first use.
	Done
	// NotRun: the request did not run and never will with this ticket.
	NotRun
)

// Outcome is the result of the first use of a ticket.
type Outcome struct {
	// Verdict is Done, NotRun or Unknown.
	Verdict Verdict
	// Status is the status of the answer, and ContentType its type, if Done.
	Status      int
	ContentType string
	// Body is the answer's body. The table keeps a reference, so it must not be
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
	// Tickets is the maximum number of used tickets kept at a time.
	Tickets int
	// MaxBodyBytes is the maximum size of one kept body in bytes.
	MaxBodyBytes int
	// Results is the maximum total size of the kept bodies in bytes.
	Results int
}

// DefaultLimits returns the limits for a node with 64 MB of memory.
func DefaultLimits() Limits {
	return Limits{Tickets: 1 << 15, MaxBodyBytes: 64 << 10, Results: 8 << 20}
}

// use is one used ticket.
type use struct {
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
	instance member.InstanceID
	boot     member.BootID
	limits   Limits
	uses     map[TicketID]*use
	expiry   expiryQueue
	results  int
	// latest is the latest time passed to the table. If the clock steps back, it
	// prevents an expired and removed ticket from becoming valid again.
	latest time.Time
	// Unknown tickets that expire at or before cutoff are refused.
	cutoff time.Time
}

// NewTable returns the empty table of a node that has just started.
func NewTable(instance member.InstanceID, boot member.BootID, limits Limits) *Table {
	return &Table{instance: instance, boot: boot, limits: limits, uses: make(map[TicketID]*use)}
}

// Len returns the number of used tickets in the table.
func (t *Table) Len() int { return len(t.uses) }

// Begin determines how a request that carries the ticket is handled. The caller
// must run the request and call Finish if the verdict is Run, and must not run it
// otherwise.
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
	if u := t.uses[k.ID]; u != nil {
		return u.repeat(r)
	}
	if !now.Before(k.Expires) {
		return Outcome{}, ErrExpired
	}
	if k.Expires.Sub(now) > MaxLife {
		return Outcome{}, ErrTooLongLife
	}
	return t.first(k, r), nil
}

func (u *use) repeat(r Request) (Outcome, error) {
	if u.fingerprint != r.Fingerprint {
		return Outcome{}, ErrMismatch
	}
	if u.running {
		return Outcome{Verdict: Running}, nil
	}
	return u.outcome, nil
}

// first records the first use of a ticket. If the table is full, it raises the
// cutoff instead, so that neither this request nor a late copy of it can run.
func (t *Table) first(k Ticket, r Request) Outcome {
	if len(t.uses) >= t.limits.Tickets && k.Expires.After(t.cutoff) {
		t.cutoff = k.Expires
	}
	if !k.Expires.After(t.cutoff) {
		return Outcome{Verdict: NotRun}
	}
	u := &use{id: k.ID, fingerprint: r.Fingerprint, expires: k.Expires, running: true}
	t.uses[k.ID] = u
	heap.Push(&t.expiry, u)
	return Outcome{Verdict: Run}
}

// Finish records the outcome of the first use. It is ignored for a ticket that is
// not running, so the first outcome is final.
func (t *Table) Finish(now time.Time, id TicketID, o Outcome) {
	now = t.advance(now)
	u := t.uses[id]
	if u == nil || !u.running {
		return
	}
	u.running = false
	u.outcome = t.fit(o)
	if !now.Before(u.expires) {
		t.forget(u)
	}
}

// fit drops the body if it exceeds the limits.
func (t *Table) fit(o Outcome) Outcome {
	if len(o.Body) > t.limits.MaxBodyBytes || t.results+len(o.Body) > t.limits.Results {
		o.Body = nil
		o.Gone = true
	}
	t.results += len(o.Body)
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
		u := heap.Pop(&t.expiry).(*use)
		if !u.running { // Finish removes a running one
			t.forget(u)
		}
	}
	return now
}

func (t *Table) forget(u *use) {
	delete(t.uses, u.id)
	t.results -= len(u.outcome.Body)
	if u.index >= 0 {
		heap.Remove(&t.expiry, u.index)
	}
}

// expiryQueue is a heap of used tickets, ordered by expiry.
type expiryQueue []*use

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].expires.Before(q[j].expires) }

func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) {
	u := x.(*use)
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
