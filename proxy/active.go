package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/internal/sockets"
)

// ActiveCalls tracks the requests that run through a node, so that they can be
// cancelled when their key is withdrawn or their caller disconnects. It is safe
// for concurrent use.
type ActiveCalls struct {
	mu    sync.Mutex
	calls map[*activeCall]struct{}
}

// activeCall is one running request.
type activeCall struct {
	workspace string
	// keyID is empty for a request that needs no key.
	keyID string
	// caller is nil if the request outlives its caller's connection.
	caller  net.Conn
	started time.Time
	cancel  context.CancelCauseFunc
}

// NewActiveCalls returns an empty set.
func NewActiveCalls() *ActiveCalls {
	return &ActiveCalls{calls: make(map[*activeCall]struct{})}
}

// admit adds a request unless its key has been withdrawn since it was checked.
// It looks the key up after adding the request, so that a concurrent withdrawal
// is detected either here or by CancelWithdrawn.
func (a *ActiveCalls) admit(call *activeCall, view func() *config.View) error {
	a.add(call)
	current := view()
	if call.keyID == "" || current.HasKey(call.keyID, call.workspace) {
		return nil
	}
	a.remove(call)
	return keyRefusal(current, ReasonKeyWithdrawn, "the key is no longer valid")
}

func (a *ActiveCalls) add(call *activeCall) {
	a.mu.Lock()
	a.calls[call] = struct{}{}
	a.mu.Unlock()
}

func (a *ActiveCalls) remove(call *activeCall) {
	a.mu.Lock()
	delete(a.calls, call)
	a.mu.Unlock()
}

// Len returns the number of running requests.
func (a *ActiveCalls) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.calls)
}

// CancelWithdrawn cancels the requests whose key the view no longer holds and
// returns their number.
func (a *ActiveCalls) CancelWithdrawn(view *config.View) int {
	return a.cancelIf(errKeyWithdrawn, func(call *activeCall) bool {
		return call.keyID != "" && !view.HasKey(call.keyID, call.workspace)
	})
}

// CancelAbandoned cancels the requests whose callers have closed their
// connections and returns their number. It ignores requests that did not start
// before cutoff.
func (a *ActiveCalls) CancelAbandoned(cutoff time.Time) int {
	return a.cancelIf(errCallerGone, func(call *activeCall) bool {
		return call.caller != nil && call.started.Before(cutoff) && sockets.IsClosed(call.caller)
	})
}

func (a *ActiveCalls) cancelIf(cause error, match func(*activeCall) bool) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for call := range a.calls {
		if match(call) {
			call.cancel(cause)
			count++
		}
	}
	return count
}
