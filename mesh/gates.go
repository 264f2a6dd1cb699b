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
	// minRetryAfter is the lower bound of maxRetryAfter.
	minRetryAfter = 100 * time.Millisecond
	// defaultObjective is the target latency of a route that publishes none.
	defaultObjective = time.Second
	// minRetryAfterShare is the shortest Retry-After time as a share of the
	// longest. Times between the two are random, so that the retries of refused
	// callers are spread out.
	minRetryAfterShare = 0.6
	// retryDelayShare is the share of the shortest Retry-After time after
	// which a request counts as a retry. It allows for network delay.
	retryDelayShare = 0.95
	// longRetryAfterShare is the share of its time budget after which a caller is told to
	// come back while calls can't run. Callers take at most a third of what is left.
	longRetryAfterShare = 0.3
)

// gates holds the admission gates by route, service and rank. It is safe for
// concurrent use.
type gates struct {
	routes *routes

	mu    sync.Mutex
	byKey map[gateKey]*shed.Gate
	// ranks are the published ranks, the most urgent first.
	ranks []catalog.Rank
	// maxBudget is the largest time budget of the requests so far, by route.
	maxBudget map[string]time.Duration
}

type gateKey struct {
	route   string
	service string
	rank    catalog.Rank
}

func newGates(routes *routes) *gates {
	return &gates{routes: routes, byKey: make(map[gateKey]*shed.Gate), maxBudget: make(map[string]time.Duration)}
}

// stateChanged applies the published ranks and drops the gates of removed routes.
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
	maps.DeleteFunc(g.maxBudget, func(name string, _ time.Duration) bool { return state.Catalog.Route(name) == nil })
}

// gate returns the gate of a request and creates it if needed. The caller holds mu.
func (g *gates) gate(r *request) *shed.Gate {
	key := gateKey{r.route.Name, r.service, r.rank}
	gate := g.byKey[key]
	if gate == nil {
		at, _ := slices.BinarySearch(g.ranks, r.rank)
		lessUrgent := len(g.ranks) - 1 - at
		gate = shed.NewGate(float64(max(lessUrgent, 0)) / float64(max(len(g.ranks)-1, 1)))
		g.byKey[key] = gate
	}
	return gate
}

// admit decides whether a new request is admitted; random is uniform in [0, 1).
// done must follow once an admitted request has ended.
func (g *gates) admit(r *request, random float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate := g.gate(r)
	if !gate.Admit(r.arrived, r.retried, random) {
		return false
	}
	r.admittedBy = gate
	return true
}

// done records the end of a request at the gate that admitted it, if any did.
func (g *gates) done(r *request, now time.Time) {
	if r.admittedBy == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r.admittedBy.Done(now, r.end)
	r.admittedBy = nil
}

// observe records the pressure that a response carried: at the gate of a new
// request, or for the call chain of the parent if the request is a call.
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

// observeTimeout records the pressure that is assumed after a timeout.
func (g *gates) observeTimeout(r *request, now time.Time) {
	g.observe(r, now, shed.TimeoutPressure)
}

// isRetry reports whether a request is a retry made no sooner than the Retry-After
// time of an earlier refusal. Clients do not mark retries, but a retry has a
// smaller time budget than other requests of its route, by at least the time waited.
func (g *gates) isRetry(r *request) bool {
	earliest := time.Duration(retryDelayShare * minRetryAfterShare * float64(g.maxRetryAfter(r)))
	g.mu.Lock()
	defer g.mu.Unlock()
	largest := max(g.maxBudget[r.route.Name], r.budget)
	g.maxBudget[r.route.Name] = largest
	return largest-r.budget >= earliest
}

// maxRetryAfter returns the longest Retry-After time after which a retry can still
// get its response within the objective of the route.
func (g *gates) maxRetryAfter(r *request) time.Duration {
	objective := r.route.Objective
	if objective == 0 {
		objective = defaultObjective
	}
	return max(objective-g.routes.latencyOf(r)-objective/8, objective/4, minRetryAfter)
}

// retryAfter returns a random Retry-After time for a refused request.
func (g *gates) retryAfter(r *request) time.Duration {
	if r.route == nil {
		return notReadyRetryAfter
	}
	latest := g.maxRetryAfter(r)
	if g.closing(r) {
		latest = max(latest, time.Duration(longRetryAfterShare*float64(r.budget)))
	}
	return time.Duration((minRetryAfterShare + (1-minRetryAfterShare)*rand.Float64()) * float64(latest))
}

// closing reports whether the gate of a request has closed because calls can't run. That
// lasts longer than a moment of overload, and a late response is worth more than none.
func (g *gates) closing(r *request) bool {
	if r.call {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate(r).Closing()
}

// gateStatus is the state of a gate for a log line.
type gateStatus struct {
	window, pressure, failureShare float64
	inFlight                       int
	age                            time.Duration
}

func (g *gates) status(r *request, now time.Time) gateStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate := g.gate(r)
	pressure, age := gate.Pressure(now)
	window, inFlight := gate.Window()
	return gateStatus{window: window, inFlight: inFlight, pressure: pressure, failureShare: gate.FailureShare(), age: age}
}
