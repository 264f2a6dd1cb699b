// Package usage holds each workspace to its quota over the whole fleet without
// asking anybody when a request arrives.
//
// Every node admits from a bucket of its own for each workspace. A node's share
// of the rate and the burst is half an equal part and half in proportion to its
// share of the demand, so the shares of all nodes add up to one whatever each
// knows. Nodes report their demand to a collector a few times a second and learn
// the demand of the fleet from its answer (see Collector). A collector keeps
// nothing that matters: while none can be reached the last shares stay.
//
// The load pattern it answers is one workspace that sends many times its rate:
// its share at each node is known before, so it is held from the first request,
// and the others are not touched. What the rule allows above the exact bound
// pays for shares that are out of date.
package usage

import (
	"math"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

const (
	// demandTime is the time constant of the measured demand.
	demandTime = 2 * time.Second
	// evenPart is the part of a quota that is shared out evenly, so that a node
	// without recent demand can admit the first requests.
	evenPart = 0.5
	// usedSlack is the part of the tolerance that deepens the buckets. The rest
	// is left for shares that are out of date.
	usedSlack = 0.5
	// leastDepth lets every node admit single requests.
	leastDepth = 1
	// maxRetryAfter bounds the time that a refused caller is told to wait.
	maxRetryAfter = 5 * time.Second
)

// Tolerance is what may be admitted above the exact quota in any window.
type Tolerance struct {
	// Window is the length of the sliding windows.
	Window time.Duration
	// Ratio is the part of rate x window + burst that may come on top.
	Ratio float64
	// Requests may come on top besides.
	Requests float64
}

// slack returns the requests that may be admitted above the exact quota.
func (t Tolerance) slack(w *catalog.Workspace) float64 {
	return t.Ratio*(w.Rate*t.Window.Seconds()+w.Burst) + t.Requests
}

// Demand is the demand for one workspace in requests per second.
type Demand struct {
	Workspace string
	PerSecond float64
}

// Total is the demand of the whole fleet.
type Total struct {
	// Nodes is the number of nodes that report.
	Nodes  int
	Demand []Demand
}

// Limiter admits requests of workspaces at one node. It is not safe for
// concurrent use.
type Limiter struct {
	tolerance Tolerance
	nodes     int
	buckets   map[string]*bucket
}

// bucket holds the share of one workspace at this node.
type bucket struct {
	workspace catalog.Workspace
	share     float64
	// fleet is the demand of all nodes together.
	fleet float64

	tokens   float64
	filledAt time.Time

	demand   float64
	demandAt time.Time
}

// NewLimiter returns a limiter for a node of a fleet of unknown size.
func NewLimiter(tolerance Tolerance) *Limiter {
	return &Limiter{tolerance: tolerance, nodes: 1, buckets: make(map[string]*bucket)}
}

// Configure takes the published workspaces and the number of nodes. Lower
// limits apply at once.
func (l *Limiter) Configure(now time.Time, workspaces []catalog.Workspace, nodes int) {
	l.nodes = max(nodes, 1)
	next := make(map[string]*bucket, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		b := l.buckets[w.Name]
		if b == nil {
			b = &bucket{filledAt: now, demandAt: now, tokens: math.Inf(1)}
		}
		b.fill(now, l.tolerance)
		b.workspace = *w
		b.setShare(l.nodes)
		b.tokens = min(b.tokens, b.depth(l.tolerance))
		next[w.Name] = b
	}
	l.buckets = next
}

// Take counts a request of the workspace and reports whether it is admitted. If
// not, retryAfter is the time until this node can admit one.
func (l *Limiter) Take(now time.Time, workspace string) (ok bool, retryAfter time.Duration) {
	b := l.buckets[workspace]
	if b == nil || !b.workspace.Limited() {
		return true, 0
	}
	b.count(now)
	b.fill(now, l.tolerance)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	wait := time.Duration((1 - b.tokens) / b.refill() * float64(time.Second))
	return false, min(wait, maxRetryAfter)
}

// GiveBack returns what a request of the workspace took that did not run.
func (l *Limiter) GiveBack(workspace string) {
	if b := l.buckets[workspace]; b != nil {
		b.tokens = min(b.tokens+1, b.depth(l.tolerance))
	}
}

// Demands returns what this node has been asked for, for a report.
func (l *Limiter) Demands(now time.Time) []Demand {
	var list []Demand
	for name, b := range l.buckets {
		b.fade(now)
		if b.workspace.Limited() && b.demand > 0.01 {
			list = append(list, Demand{Workspace: name, PerSecond: b.demand})
		}
	}
	return list
}

// SetTotal takes the demand of the whole fleet.
func (l *Limiter) SetTotal(now time.Time, total Total) {
	for _, d := range total.Demand {
		if b := l.buckets[d.Workspace]; b != nil {
			b.fill(now, l.tolerance)
			b.fade(now)
			b.fleet = d.PerSecond
			b.setShare(max(total.Nodes, l.nodes))
		}
	}
}

// setShare computes the node's share of the quota.
func (b *bucket) setShare(nodes int) {
	even := 1 / float64(nodes)
	part := even
	if b.fleet > 0 {
		part = min(b.demand/b.fleet, 1)
	}
	b.share = evenPart*even + (1-evenPart)*part
}

// refill is the node's part of the rate in requests per second.
func (b *bucket) refill() float64 { return max(b.share*b.workspace.Rate, 1e-6) }

// depth is the largest number of requests that may come at once.
func (b *bucket) depth(t Tolerance) float64 {
	return max(leastDepth, b.share*(b.workspace.Burst+usedSlack*t.slack(&b.workspace)))
}

func (b *bucket) fill(now time.Time, t Tolerance) {
	passed := max(now.Sub(b.filledAt), 0)
	b.filledAt = now
	b.tokens = min(b.tokens+b.refill()*passed.Seconds(), b.depth(t))
}

func (b *bucket) fade(now time.Time) {
	passed := now.Sub(b.demandAt)
	if passed <= 0 {
		return
	}
	b.demand *= math.Exp(-float64(passed) / float64(demandTime))
	b.demandAt = now
}

func (b *bucket) count(now time.Time) {
	b.fade(now)
	b.demand += 1 / demandTime.Seconds()
}
