package mesh

import (
	"maps"
	"sync"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/shed"
	"github.com/toucancove/toucancove/follow"
)

// deadlineTolerance is how far the deadline of a call may be from that of the
// request it is made for: both are rounded to milliseconds and the call takes a
// moment to arrive.
const deadlineTolerance = 6 * time.Millisecond

// chainSignal is the pressure of the services that requests of one route lead
// to beyond the own instance. It is safe for concurrent use.
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

// parent is a request that runs on the own instance.
type parent struct {
	deadline time.Time
	rank     catalog.Rank
	chain    *chainSignal
}

// lineage finds the request that a call of the own instance is made for.
// Instances do not say it, but the calls of a request expire with it, so the
// deadline tells them apart. It is safe for concurrent use.
type lineage struct {
	mu      sync.Mutex
	running map[*parent]struct{}
	chains  map[string]*chainSignal
}

func newLineage() *lineage {
	return &lineage{running: make(map[*parent]struct{}), chains: make(map[string]*chainSignal)}
}

// chain returns the signal of a route.
func (l *lineage) chain(route string) *chainSignal {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.chains[route]
	if c == nil {
		c = &chainSignal{}
		l.chains[route] = c
	}
	return c
}

// stateChanged forgets routes that are gone.
func (l *lineage) stateChanged(state *follow.State) {
	if state.Catalog == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.chains, func(name string, _ *chainSignal) bool { return state.Catalog.Route(name) == nil })
}

func (l *lineage) begin(p *parent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[p] = struct{}{}
}

func (l *lineage) end(p *parent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, p)
}

// parentOf returns the running request whose deadline is nearest to that of the
// call, or nil.
func (l *lineage) parentOf(deadline time.Time) *parent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *parent
	least := deadlineTolerance + 1
	for p := range l.running {
		if off := p.deadline.Sub(deadline).Abs(); off < least {
			best, least = p, off
		}
	}
	return best
}
