package usage

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucancove/toucancove/core/catalog"
)

const (
	// demandTime is the time constant of the exponential decay of the measured
	// demand.
	demandTime = time.Second
	// lotTime is the time whose demand a lot covers. Nodes draw more often.
	lotTime = 400 * time.Millisecond
	// leastLot is the size in tokens below which a node keeps no lot and draws for
	// each request: fractions of a token on many nodes can't be spent by any of
	// them.
	leastLot = 1
	// leastCredit is the number of tokens that a node may spend on credit for a
	// workspace without recent demand.
	leastCredit = 1
	// keepFactor is the multiple of its target size that a lot may hold before the
	// surplus is returned.
	keepFactor = 2
	// steadyDemand is the demand in requests per second above which a node's share
	// of the fleet's demand is a reliable estimate. Below it, the measured demand
	// stems from one or two random requests.
	steadyDemand = 3
	// leastDemand is the demand in requests per second below which a workspace
	// counts as not in use at a node.
	leastDemand = 0.05
	// maxRetryAfter bounds the Retry-After time of a refused request.
	maxRetryAfter = 5 * time.Second
)

// Draw is a request of a node to the pool for tokens of one workspace.
type Draw struct {
	Workspace string
	// Wanted is the number of tokens requested. A negative number returns tokens.
	Wanted float64
	// Held is the number of tokens that the node holds when it draws. It is
	// negative if tokens were spent on credit.
	Held float64
	// Demand is the demand at the node in requests per second.
	Demand float64
}

// Grant is the reply of the pool to a Draw.
type Grant struct {
	Workspace string
	// Tokens is the number of tokens granted.
	Tokens float64
	// Demand is the demand of the fleet in requests per second.
	Demand float64
	// RetryAfter is the time until a token is minted, if fewer tokens were granted
	// than requested and the node holds less than one.
	RetryAfter time.Duration
	// Credit reports whether the node may spend tokens before it draws them.
	Credit bool
}

// Verdict is the decision about one request.
type Verdict uint8

// Verdicts.
const (
	// Admitted means that the request has taken a token.
	Admitted Verdict = iota
	// NeedsDraw means that the lot has no token left but the pool may have one, so
	// that a draw decides about the request.
	NeedsDraw
	// Refused means that the request exceeds the quota.
	Refused
)

// Limiter admits requests of workspaces at one node. It is not safe for
// concurrent use.
type Limiter struct {
	node      string
	tolerance Tolerance
	nodes     int
	// heardAt is when a collector last answered a draw.
	heardAt time.Time
	lots    map[string]*lot
}

// lot holds the tokens of one workspace at this node.
type lot struct {
	workspace catalog.Workspace
	tokens    float64
	// chance is a hash of the node and the workspace, uniform between 0 and 1, that
	// decides how fractional credit is rounded.
	chance float64
	// credit is set while tokens may be spent before they are drawn.
	credit bool
	// emptyUntil is when the pool is expected to have a token again.
	emptyUntil time.Time
	// fleet is the demand of all nodes together in requests per second.
	fleet float64
	// mintedAt is the time up to which tokens were minted for this node, by a
	// collector or by the node itself.
	mintedAt time.Time
	// unknown is set while the collector answers draws but does not know the
	// workspace.
	unknown bool

	// demand is the measured demand in requests per second, decayed up to demandAt.
	demand   float64
	demandAt time.Time
}

// NewLimiter returns the limiter of a named node in a fleet of unknown size.
func NewLimiter(now time.Time, node string, tolerance Tolerance) *Limiter {
	return &Limiter{node: node, tolerance: tolerance, nodes: 1, heardAt: now, lots: make(map[string]*lot)}
}

// SetTolerance replaces the tolerance.
func (l *Limiter) SetTolerance(t Tolerance) { l.tolerance = t }

// Configure sets the published workspaces and the number of nodes. If the rate of
// a workspace decreased its lot is emptied, since it was sized for the higher
// rate.
func (l *Limiter) Configure(now time.Time, workspaces []catalog.Workspace, nodes int) {
	l.nodes = max(nodes, 1)
	next := make(map[string]*lot, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		held := l.lots[w.Name]
		if held == nil {
			held = &lot{demandAt: now, mintedAt: now, chance: chance(l.node, w.Name)}
		} else if w.Rate < held.workspace.Rate {
			held.tokens = 0
		}
		held.workspace = *w
		next[w.Name] = held
	}
	l.lots = next
}

// Take counts a request of the workspace towards the demand and decides about it.
// If the request is refused, retryAfter is the time until a token is expected.
func (l *Limiter) Take(now time.Time, workspace string) (v Verdict, retryAfter time.Duration) {
	held := l.lots[workspace]
	if held == nil || !held.workspace.Limited() {
		return Admitted, 0
	}
	held.count(now)
	l.mint(now, held)
	if held.tokens >= 1 || (held.credit && held.tokens-1 >= -l.credit(held)) {
		held.tokens--
		return Admitted, 0
	}
	if wait := held.emptyUntil.Sub(now); wait > 0 {
		return Refused, min(wait, maxRetryAfter)
	}
	return NeedsDraw, 0
}

// Claim takes a token for a request that was Short, after a grant. It returns
// false if there is none.
func (l *Limiter) Claim(workspace string) bool {
	held := l.lots[workspace]
	if held == nil || !held.workspace.Limited() {
		return true
	}
	if held.tokens < 1 {
		return false
	}
	held.tokens--
	return true
}

// ClaimLocal takes a token for a request that was Short when no collector answered
// the draw: one that the node minted itself from its share of the rate, or one on
// credit. It returns false if there is none.
func (l *Limiter) ClaimLocal(now time.Time, workspace string) bool {
	held := l.lots[workspace]
	if held == nil {
		return true
	}
	l.mint(now, held)
	if held.tokens < 1 && held.tokens-1 < -l.credit(held) {
		return false
	}
	held.tokens--
	return true
}

// RetryAfter returns the time until a token of the workspace is expected.
func (l *Limiter) RetryAfter(now time.Time, workspace string) time.Duration {
	held := l.lots[workspace]
	if held == nil {
		return 0
	}
	return min(max(held.emptyUntil.Sub(now), 0), maxRetryAfter)
}

// ReturnToken returns the token of a request that did not run.
func (l *Limiter) ReturnToken(workspace string) {
	if held := l.lots[workspace]; held != nil {
		held.tokens++
	}
}

// Draws returns the draws that adjust each lot to the demand. It removes the
// surplus tokens that the draws return from the lots.
func (l *Limiter) Draws(now time.Time) []Draw {
	var draws []Draw
	for name, held := range l.lots {
		held.fade(now)
		if !held.workspace.Limited() || (held.demand < leastDemand && held.tokens < 1 && held.tokens > -0.5) {
			continue
		}
		size := held.demand * lotTime.Seconds()
		if size < leastLot {
			size = 0
		}
		draw := Draw{Workspace: name, Held: held.tokens, Demand: held.demand}
		switch {
		case held.tokens > keepFactor*size:
			draw.Wanted = size - held.tokens
			held.tokens = size
		case held.tokens < size && (held.tokens < 0 || !now.Before(held.emptyUntil)): // spent credit is drawn at once
			draw.Wanted = size - held.tokens
		}
		draws = append(draws, draw)
	}
	return draws
}

// DrawFor returns the draw for a number of waiting requests of the workspace.
func (l *Limiter) DrawFor(now time.Time, workspace string, waiting int) Draw {
	held := l.lots[workspace]
	if held == nil {
		return Draw{Workspace: workspace}
	}
	held.fade(now)
	return Draw{
		Workspace: workspace, Wanted: float64(waiting) - held.tokens,
		Held: held.tokens, Demand: held.demand,
	}
}

// AddGrants adds the grants that a collector returned for draws. The collector does
// not know a workspace yet for which it returned no grant, and does not mint for
// it.
func (l *Limiter) AddGrants(now time.Time, draws []Draw, grants []Grant) {
	l.heardAt = now
	for _, d := range draws {
		if held := l.lots[d.Workspace]; held != nil {
			held.unknown = true
		}
	}
	for _, g := range grants {
		held := l.lots[g.Workspace]
		if held == nil {
			continue
		}
		held.tokens += g.Tokens
		held.fleet = g.Demand
		held.mintedAt, held.unknown = now.Add(reportLife), false
		held.emptyUntil = now.Add(g.RetryAfter)
		held.credit = g.Credit
	}
}

// credit returns how many tokens the node may spend before it draws them: twice
// its demand between two draws, to absorb fluctuations, but at most its share of
// the credit of the fleet. A fraction of a token is rounded up on a share of the
// nodes that is equal to the fraction, so that the sum over many nodes is right;
// which nodes round up is fixed for each workspace.
func (l *Limiter) credit(held *lot) float64 {
	share := 1 / float64(l.nodes)
	if held.fleet > 0 && held.demand >= steadyDemand {
		share = min(held.demand/held.fleet, 1)
	}
	part := share * l.tolerance.credit(&held.workspace)
	whole := math.Floor(part)
	if part-whole > held.chance {
		whole++
	}
	return min(whole, leastCredit+2*held.demand*lotTime.Seconds())
}

// mint adds the node's share of the rate for the time in which no collector minted
// for it. A collector mints for a node until reportLife after it last answered
// it.
func (l *Limiter) mint(now time.Time, held *lot) {
	from := held.mintedAt
	if heard := l.heardAt.Add(reportLife); !held.unknown && heard.After(from) {
		from = heard
	}
	passed := now.Sub(from)
	if passed <= 0 {
		return
	}
	share := 1 / float64(l.nodes)
	if held.fleet > 0 {
		share = min(held.demand/held.fleet, 1)
	}
	held.mintedAt = now
	held.tokens = min(held.tokens+share*held.workspace.Rate*passed.Seconds(), max(1, share*held.workspace.Burst))
}

// chance returns a hash of the node and the workspace, uniform between 0 and 1.
func chance(node, workspace string) float64 {
	return float64(xxhash.Sum64String(node+"\x00"+workspace)) / math.MaxUint64
}

// fade applies the decay of the demand up to now.
func (h *lot) fade(now time.Time) {
	passed := now.Sub(h.demandAt)
	if passed <= 0 {
		return
	}
	h.demand *= math.Exp(-float64(passed) / float64(demandTime))
	h.demandAt = now
}

// count adds one request to the demand.
func (h *lot) count(now time.Time) {
	h.fade(now)
	h.demand += 1 / demandTime.Seconds()
}

// Status describes the quota of one workspace at a node, for a log line.
type Status struct {
	// Rate is the quota of the fleet in requests per second.
	Rate float64 `json:"rate"`
	// Tokens is the number of tokens in the lot of this node.
	Tokens float64 `json:"tokens"`
	// Demand and Fleet are the demand at this node and that of the fleet, in
	// requests per second.
	Demand      float64 `json:"demand"`
	FleetDemand float64 `json:"fleetDemand"`
	// Age is the time since a collector last answered a draw.
	Age time.Duration `json:"ageNs"`
}

// Status returns the state from which requests of the workspace are decided.
func (l *Limiter) Status(now time.Time, workspace string) Status {
	held := l.lots[workspace]
	if held == nil {
		return Status{}
	}
	held.fade(now)
	return Status{
		Rate: held.workspace.Rate, Tokens: held.tokens, Demand: held.demand, FleetDemand: held.fleet, Age: now.Sub(l.heardAt),
	}
}
