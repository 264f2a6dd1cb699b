package usage

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucancove/toucancove/core/catalog"
)

const (
	// demandTime is the time constant of the measured demand.
	demandTime = time.Second
	// lotTime is the demand that a lot covers. Nodes draw more often.
	lotTime = 400 * time.Millisecond
	// leastLot is the size below which a node keeps no lot and asks for each
	// request: parts of tokens in many nodes are of no use to any.
	leastLot = 1
	// leastCredit is what a node may spend on credit of a workspace that it had
	// no demand for.
	leastCredit = 1
	// keepFactor is how many times its size a lot may hold before a part is
	// given back.
	keepFactor = 2
	// steadyDemand is the demand in requests per second above which a node's part
	// of the fleet's is known: below, it is one or two requests by chance.
	steadyDemand = 3
	// leastDemand is the demand in requests per second below which a workspace
	// counts as not in use at a node.
	leastDemand = 0.05
	// maxRetryAfter bounds the time that a refused caller is told to wait.
	maxRetryAfter = 5 * time.Second
)

// Draw is what a node asks of the pool for one workspace.
type Draw struct {
	Workspace string
	// Wanted is the number of tokens asked for; a negative one gives back.
	Wanted float64
	// Held is the number of tokens that the node holds then.
	Held float64
	// Demand is the demand at the node in requests per second.
	Demand float64
}

// Grant is the answer to a Draw.
type Grant struct {
	Workspace string
	Tokens    float64
	// Demand is that of the fleet in requests per second.
	Demand float64
	// RetryAfter is the time until a token is minted, if not all were granted.
	RetryAfter time.Duration
	// Credit lets the node spend tokens before it draws them.
	Credit bool
}

// Verdict is the decision about one request.
type Verdict uint8

// Verdicts.
const (
	// Admitted requests have taken a token.
	Admitted Verdict = iota
	// Short requests find no token here, but the pool may have one.
	Short
	// Refused requests exceed the quota.
	Refused
)

// Limiter admits requests of workspaces at one node. It is not safe for
// concurrent use.
type Limiter struct {
	node      string
	tolerance Tolerance
	nodes     int
	// heardAt is when a collector last answered.
	heardAt time.Time
	lots    map[string]*lot
}

// lot holds the tokens of one workspace at this node.
type lot struct {
	workspace catalog.Workspace
	tokens    float64
	// chance lies between 0 and 1, evenly over the nodes.
	chance float64
	// credit is set while tokens may be spent before they are drawn.
	credit bool
	// emptyUntil is when the pool is expected to have a token again.
	emptyUntil time.Time
	// fleet is the demand of all nodes together.
	fleet float64
	// mintedAt is the time up to which tokens were minted, by a collector or here.
	mintedAt time.Time
	// unknown is set while the collector answers and knows no such workspace.
	unknown bool

	demand   float64
	demandAt time.Time
}

// NewLimiter returns the limiter of a named node in a fleet of unknown size.
func NewLimiter(now time.Time, node string, tolerance Tolerance) *Limiter {
	return &Limiter{node: node, tolerance: tolerance, nodes: 1, heardAt: now, lots: make(map[string]*lot)}
}

// SetTolerance replaces the tolerance.
func (l *Limiter) SetTolerance(t Tolerance) { l.tolerance = t }

// Configure takes the published workspaces and the number of nodes. A lot of a
// workspace whose rate fell is dropped, since it was sized to the higher one.
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

// Take counts a request of the workspace and decides about it. If it is refused,
// retryAfter is the time until a token is expected.
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
	return Short, 0
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

// ClaimAlone takes a token for a request that was Short and about which no
// collector said anything: the node's share of the rate, or what it may spend on
// credit.
func (l *Limiter) ClaimAlone(now time.Time, workspace string) bool {
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

// GiveBack returns what a request of the workspace took that did not run.
func (l *Limiter) GiveBack(workspace string) {
	if held := l.lots[workspace]; held != nil {
		held.tokens++
	}
}

// Draws returns what to ask of the pool so that each lot covers the demand, and
// takes out of the lots what it gives back.
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
		case held.tokens < size && (held.tokens < 0 || !now.Before(held.emptyUntil)): // what is owed is paid at once
			draw.Wanted = size - held.tokens
		}
		draws = append(draws, draw)
	}
	return draws
}

// DrawFor returns what to ask of the pool for a number of requests that wait.
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

// Granted takes what a collector granted for draws. It does not mint for
// workspaces that it grants nothing for: it does not know them yet.
func (l *Limiter) Granted(now time.Time, draws []Draw, grants []Grant) {
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

// credit returns how many tokens the node may spend before it draws them: what
// it needs between two draws, with room for its swings, and no more than its part
// of what the fleet may. Parts below one token are rounded by chance, which is
// fixed for a node and a workspace, so that they add up over many nodes.
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

// mint adds the node's share of the rate for the time that no collector minted
// for it: one does until reportLife after it last answered the node.
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

// chance returns a number between 0 and 1 that is fixed for a node and a
// workspace.
func chance(node, workspace string) float64 {
	return float64(xxhash.Sum64String(node+"\x00"+workspace)) / math.MaxUint64
}

func (h *lot) fade(now time.Time) {
	passed := now.Sub(h.demandAt)
	if passed <= 0 {
		return
	}
	h.demand *= math.Exp(-float64(passed) / float64(demandTime))
	h.demandAt = now
}

func (h *lot) count(now time.Time) {
	h.fade(now)
	h.demand += 1 / demandTime.Seconds()
}

// Status describes the quota of one workspace at a node, for a log line.
type Status struct {
	// Rate is the quota of the fleet in requests per second.
	Rate float64 `json:"rate"`
	// Tokens is the lot of this node.
	Tokens float64 `json:"tokens"`
	// Demand and Fleet are the demands at this node and at all nodes, in
	// requests per second.
	Demand float64 `json:"demand"`
	Fleet  float64 `json:"fleetDemand"`
	// Age is the time since a collector answered.
	Age time.Duration `json:"ageNs"`
}

// Status returns what decides about requests of the workspace.
func (l *Limiter) Status(now time.Time, workspace string) Status {
	held := l.lots[workspace]
	if held == nil {
		return Status{}
	}
	held.fade(now)
	return Status{
		Rate: held.workspace.Rate, Tokens: held.tokens, Demand: held.demand, Fleet: held.fleet, Age: now.Sub(l.heardAt),
	}
}
