package retry

import (
	"errors"
	"time"
)

// Errors of Ledger. All of them mean that the request or call did not run.
var (
	// ErrLedgerFull: the ledger holds its maximum number of requests and all
	// examined ones are running.
	ErrLedgerFull = errors.New("retry: too many requests in the ledger")
	// ErrNotOpen: the ledger has no unexpired entry for the request id and
	// depth.
	ErrNotOpen = errors.New("retry: request is not known at this node")
	// ErrAttemptsSpent: the call is a repeat and no attempt is left.
	ErrAttemptsSpent = errors.New("retry: no attempts left")
	// ErrTooManyCalls: the request already made MaxCalls different calls.
	ErrTooManyCalls = errors.New("retry: request makes too many different calls")
)

const (
	// DefaultMaxRequests is the default maximum number of requests in a ledger.
	DefaultMaxRequests = 16384
	// MaxCalls is the maximum number of different calls that one request may
	// make at one node.
	MaxCalls = 1024
	// expireBatch is the number of entries that each Open examines for expiry.
	expireBatch = 4
	// evictBatch is the number of entries that Open examines for a finished
	// request when the ledger is full.
	evictBatch = 64
)

// RequestID identifies a root request and all calls that it causes.
type RequestID [16]byte

// Key identifies a request at a node. It includes the hop depth because a call
// graph may visit the same node at more than one depth.
type Key struct {
	Request RequestID
	Depth   uint8
}

// CallKey identifies the kind of a call: a hash of its service, method and path.
type CallKey uint64

// calls counts the free calls of one kind that a request has made.
type calls struct {
	key  CallKey
	made uint32
}

type entry struct {
	key        Key
	expires    time.Time
	deliveries uint32
	running    uint32
	retries    uint8
	calls      []calls
}

// Ledger counts the attempts left to the requests that a node's upstream runs.
// An entry is kept until its deadline, so that calls made after the response
// are still charged to it. When the ledger is full, entries of finished
// requests are evicted for new ones, and later calls of the evicted requests
// are refused. Memory is bounded by the number of requests times MaxCalls.
type Ledger struct {
	capacity int
	entries  map[Key]*entry
	ring     []*entry // entries, examined cyclically for expiry
	cursor   int
	free     []*entry // dropped entries to reuse
}

// NewLedger returns a ledger that holds at most maxRequests requests.
func NewLedger(maxRequests int) *Ledger {
	return &Ledger{capacity: maxRequests, entries: make(map[Key]*entry)}
}

// Len returns the number of requests held.
func (l *Ledger) Len() int { return len(l.entries) }

// Open records the delivery of an attempt to the upstream. attempts is the
// number of attempts in its pass, expires its deadline. It returns ErrLedgerFull
// if the ledger is full. Each successful Open must be followed by one Close.
func (l *Ledger) Open(now time.Time, key Key, attempts uint8, expires time.Time) error {
	l.drop(expireBatch, func(e *entry) bool { return e.ended() && !now.Before(e.expires) })
	e := l.entries[key]
	if e == nil {
		if len(l.entries) >= l.capacity {
			l.drop(evictBatch, (*entry).ended)
		}
		if len(l.entries) >= l.capacity {
			return ErrLedgerFull
		}
		e = l.newEntry(key)
		l.entries[key] = e
		l.ring = append(l.ring, e)
	}
	e.deliveries++
	e.running++
	if attempts > 1 {
		e.retries = addSaturating(e.retries, attempts-1)
	}
	if expires.After(e.expires) {
		e.expires = expires
	}
	return nil
}

// Call returns the attempts for one call that the upstream makes. The first call
// of a kind is free for each delivery; a repeat costs an attempt. Half of the
// remaining retries, rounded up, are delegated with the call.
func (l *Ledger) Call(now time.Time, key Key, call CallKey) (AttemptBudget, error) {
	e := l.entries[key]
	if e == nil || !now.Before(e.expires) {
		return AttemptBudget{}, ErrNotOpen
	}
	c := e.call(call)
	if c == nil {
		return AttemptBudget{}, ErrTooManyCalls
	}
	if c.made >= e.deliveries {
		if e.retries == 0 {
			return AttemptBudget{}, ErrAttemptsSpent
		}
		e.retries--
	} else {
		c.made++
	}
	retries := half(e.retries)
	e.retries -= retries
	return NewAttemptBudget(1 + retries), nil
}

// Return adds the retries that a finished call did not use. It ignores them once
// no delivery of the request is running, since the last response has already
// returned what was left.
func (l *Ledger) Return(key Key, unused uint8) {
	if e := l.entries[key]; e != nil && e.running > 0 {
		e.retries = addSaturating(e.retries, unused)
	}
}

// Close records that a delivery has ended and returns the number of retries to
// return with its response: all that are left, or none if another delivery of
// the request is still running.
func (l *Ledger) Close(key Key) (unused uint8) {
	e := l.entries[key]
	if e == nil || e.running == 0 {
		return 0
	}
	e.running--
	if e.running > 0 {
		return 0
	}
	unused = e.retries
	e.retries = 0
	return unused
}

func (e *entry) call(key CallKey) *calls {
	for i := range e.calls {
		if e.calls[i].key == key {
			return &e.calls[i]
		}
	}
	if len(e.calls) >= MaxCalls {
		return nil
	}
	e.calls = append(e.calls, calls{key: key})
	return &e.calls[len(e.calls)-1]
}

// ended reports whether no delivery of the request is running.
func (e *entry) ended() bool { return e.running == 0 }

// drop examines up to n entries and drops those that match.
func (l *Ledger) drop(n int, match func(*entry) bool) {
	for range n {
		if len(l.ring) == 0 {
			return
		}
		if l.cursor >= len(l.ring) {
			l.cursor = 0
		}
		e := l.ring[l.cursor]
		if !match(e) {
			l.cursor++
			continue
		}
		delete(l.entries, e.key)
		last := len(l.ring) - 1
		l.ring[l.cursor] = l.ring[last]
		l.ring[last] = nil
		l.ring = l.ring[:last]
		l.free = append(l.free, e)
	}
}

func (l *Ledger) newEntry(key Key) *entry {
	last := len(l.free) - 1
	if last < 0 {
		return &entry{key: key}
	}
	e := l.free[last]
	l.free[last] = nil
	l.free = l.free[:last]
	*e = entry{key: key, calls: e.calls[:0]}
	return e
}

func addSaturating(a, b uint8) uint8 {
	if sum := a + b; sum >= a {
		return sum
	}
	return ^uint8(0)
}
