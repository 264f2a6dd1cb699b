package mesh

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/shed"
	"github.com/toucancove/toucancove/follow"
)

const (
	// minRetryAfter is the shortest time that a refused caller is told to wait.
	minRetryAfter = 100 * time.Millisecond
	// defaultObjective stands in for a route without one.
	defaultObjective = time.Second
	// retrySpread is the earliest return as a share of the latest, so that
	// refused callers don't come back together.
	retrySpread = 0.6
	// returnSlack is how much sooner than told a caller may come back, as a
	// share, for the time on the way.
	returnSlack = 0.95
)

// gates hold the admission of new requests by route, service and rank. They are
// safe for concurrent use.
type gates struct {
	routes *routes

	mu     sync.Mutex
	byKey  map[gateKey]*shed.Gate
	ranks  []catalog.Rank
	budget map[string]time.Duration
}

type gateKey struct {
	route   string
	service string
	rank    catalog.Rank
}

func newGates(routes *routes) *gates {
	return &gates{routes: routes, byKey: make(map[gateKey]*shed.Gate), budget: make(map[string]time.Duration)}
}

// stateChanged takes the published ranks, and forgets routes that are gone.
func (g *gates) stateChanged(state *follow.State) {
	if state.Catalog == nil {
		return
	}
	ranks := state.Catalog.Ranks()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !slices.Equal(ranks, g.ranks) {
		g.ranks = ranks
		clear(g.byKey)
	}
	maps.DeleteFunc(g.byKey, func(key gateKey, _ *shed.Gate) bool { return state.Catalog.Route(key.route) == nil })
	maps.DeleteFunc(g.budget, func(name string, _ time.Duration) bool { return state.Catalog.Route(name) == nil })
}

// gate returns the gate of a request. The lock must be held.
func (g *gates) gate(r *request) *shed.Gate {
	key := gateKey{r.route.Name, r.service, r.rank}
	gate := g.byKey[key]
	if gate == nil {
		at, _ := slices.BinarySearch(g.ranks, r.rank)
		lesser := len(g.ranks) - 1 - at
		gate = shed.NewGate(float64(max(lesser, 0)) / float64(max(len(g.ranks)-1, 1)))
		g.byKey[key] = gate
	}
	return gate
}

// admit decides about a new request.
func (g *gates) admit(r *request, random float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate(r).Admit(r.arrived, r.returned, random)
}

// observe takes the pressure of an answer: for the gate of a new request, or for
// the chain of the request that a call is made for.
func (g *gates) observe(r *request, now time.Time, pressure float64) {
	if r.call {
		if r.parent != nil {
			r.parent.chain.observe(now, pressure)
		}
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate(r).Observe(now, pressure)
}

// observeTimeout takes a timeout for a sign of pressure.
func (g *gates) observeTimeout(r *request, now time.Time) {
	g.observe(r, now, shed.TimeoutPressure)
}

// returned reports whether a request came back after the time it was told: it
// has less time left than others of its route by at least that much.
func (g *gates) returned(r *request) bool {
	earliest := time.Duration(returnSlack * retrySpread * float64(g.latestRetry(r)))
	g.mu.Lock()
	defer g.mu.Unlock()
	full := max(g.budget[r.route.Name], r.budget)
	g.budget[r.route.Name] = full
	return full-r.budget >= earliest
}

// latestRetry is when a refused caller should be back at the latest: in time for
// an answer within the objective of the route.
func (g *gates) latestRetry(r *request) time.Duration {
	objective := r.route.Objective
	if objective == 0 {
		objective = defaultObjective
	}
	return max(objective-g.routes.latencyOf(r)-objective/8, objective/4, minRetryAfter)
}

// retryAfter is when the caller of a refused request should come back.
func (g *gates) retryAfter(r *request) time.Duration {
	if r.route == nil {
		return notReadyRetry
	}
	latest := g.latestRetry(r)
	return time.Duration((retrySpread + (1-retrySpread)*rand.Float64()) * float64(latest))
}

// gateStatus describes a gate for a log line.
type gateStatus struct {
	share, pressure float64
	age             time.Duration
}

func (g *gates) status(r *request, now time.Time) gateStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate := g.gate(r)
	pressure, age := gate.Pressure(now)
	return gateStatus{share: gate.Share(), pressure: pressure, age: age}
}
