package mesh

import (
	"maps"
	"sync"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/shed"
	"github.com/toucancove/toucancove/follow"
)

// deadlineTolerance is the maximum difference between the deadline of a call and
// that of its parent. Both are rounded to milliseconds, and the call takes time to
// arrive.
const deadlineTolerance = 6 * time.Millisecond

// chainSignal is the average pressure of the services that requests of one route
// call, without the own instance. It is safe for concurrent use.
type chainSignal struct {
	mu     sync.Mutex
	signal shed.Signal
}

func (c *chainSignal) observe(now time.Time, pressure float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.signal.Observe(now, pressure)
}

func (c *chainSignal) value(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.signal.Value(now)
}

// parent is a request that runs on the own instance and may make calls.
type parent struct {
	deadline time.Time
	rank     catalog.Rank
	chain    *chainSignal
}

// callTracker finds the parent request of a call made by the own instance.
// Instances do not send the parent's id, but a call has the deadline of its parent,
// so the tracker matches deadlines. It is safe for concurrent use.
type callTracker struct {
	mu      sync.Mutex
	running map[*parent]struct{}
	chains  map[string]*chainSignal
	// failed are the calls that could not run.
	failed shed.FailedCalls
}

func newCallTracker() *callTracker {
	return &callTracker{running: make(map[*parent]struct{}), chains: make(map[string]*chainSignal)}
}

// chain returns the signal of a route and creates it if needed.
func (t *callTracker) chain(route string) *chainSignal {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.chains[route]
	if c == nil {
		c = &chainSignal{}
		t.chains[route] = c
	}
	return c
}

// stateChanged drops the signals of removed routes.
func (t *callTracker) stateChanged(state *follow.State) {
	if state.Catalog == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.chains, func(name string, _ *chainSignal) bool { return state.Catalog.Route(name) == nil })
}

func (t *callTracker) begin(p *parent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[p] = struct{}{}
}

func (t *callTracker) end(p *parent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, p)
}

// anyRunning reports whether the own instance runs a request.
func (t *callTracker) anyRunning() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running) > 0
}

// parentOf returns the running request whose deadline is nearest to that of the
// call, or nil if none is within deadlineTolerance.
func (t *callTracker) parentOf(deadline time.Time) *parent {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *parent
	least := deadlineTolerance + 1
	for p := range t.running {
		if off := p.deadline.Sub(deadline).Abs(); off < least {
			best, least = p, off
		}
	}
	return best
}

// callFailed records that a call of the own instance could not run.
func (t *callTracker) callFailed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed.CallFailed(now)
}

// runFailed reports whether a failure of the own instance follows from such a call.
func (t *callTracker) runFailed(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failed.RunFailed(now)
}
