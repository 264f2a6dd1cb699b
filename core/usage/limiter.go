package usage

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucancove/toucancove/core/catalog"
)

const (
	// demandTimeConstant is the time constant of the exponential decay of the
	// measured demand.
	demandTimeConstant = time.Second
	// lotCoverage is the time whose demand a lot covers. Nodes draw more often.
	lotCoverage = 400 * time.Millisecond
	// minLot is the size in tokens below which a node keeps no lot and draws for
	// each request: fractions of a token on many nodes can't be spent by any of
	// them.
	minLot = 1
	// minCredit is the number of tokens that a node may spend on credit for a
	// workspace without recent demand.
	minCredit = 1
	// maxLotFactor is the multiple of its target size that a lot may hold
	// before the surplus is returned.
	maxLotFactor = 2
	// minDemand is the demand in requests per second below which a workspace
	// counts as not in use at a node.
	minDemand = 0.05
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
	// RetryAfter is the time until a token is minted, if fewer tokens were
	// granted than requested and the node holds less than one.
	RetryAfter time.Duration
	// Credit reports whether the node may spend tokens before it draws them.
	Credit bool
	// Overdrawn reports whether the pool owes tokens that were spent on credit.
	Overdrawn bool
}

// Verdict is the decision about one request.
type Verdict uint8

// Verdicts.
const (
	// Admitted means that the request has taken a token.
	Admitted Verdict = iota
	// NeedsDraw means that the lot has no token left but the pool may have one,
	// so that a draw decides about the request.
	NeedsDraw
	// Refused means that the request exceeds the quota.
	Refused
)

// Limiter admits requests of workspaces at one node. It is not safe for
// concurrent use.
type Limiter struct {
	node      string
	tolerance Tolerance
	size      fleetSize
	// lastAnswerAt is when a collector last answered a draw.
	lastAnswerAt time.Time
	lots         map[string]*lot
}

// lot holds the tokens of one workspace at this node.
type lot struct {
	workspace catalog.Workspace
	tokens    float64
	// roundingThreshold is a hash of the node and the workspace, uniform
	// between 0 and 1, that decides how fractional credit is rounded.
	roundingThreshold float64
	// credit is set while tokens may be spent before they are drawn. depleted is set if
	// the last grant did not allow that.
	credit, depleted bool
	// poolEmptyUntil is when the pool is expected to have a token again. overdrawn is
	// set if it owed tokens.
	poolEmptyUntil time.Time
	overdrawn      bool
	// fleetDemand is the demand of all nodes together in requests per second, and
	// demandShare this node's part of it, both as of the last grant.
	fleetDemand, demandShare float64
	// mintedUntil is the time up to which tokens were minted for this node, by a
	// collector or by the node itself.
	mintedUntil time.Time
	// unknownToCollector is set while the collector answers draws but does not
	// know the workspace.
	unknownToCollector bool

	// demand is the measured demand in requests per second, decayed up to
	// demandAt.
	demand   float64
	demandAt time.Time
}

// NewLimiter returns the limiter of a named node in a fleet of unknown size.
func NewLimiter(now time.Time, node string, tolerance Tolerance) *Limiter {
	return &Limiter{node: node, tolerance: tolerance, lastAnswerAt: now.Add(-reportTTL), lots: make(map[string]*lot)}
}

// SetTolerance replaces the tolerance.
func (l *Limiter) SetTolerance(t Tolerance) { l.tolerance = t }

// Configure sets the published workspaces and the number of listed instances. If the rate of
// a workspace decreased its lot is emptied, since it was sized for the higher
// rate.
func (l *Limiter) Configure(now time.Time, workspaces []catalog.Workspace, listed int) {
	l.size.set(now, listed)
	next := make(map[string]*lot, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		held := l.lots[w.Name]
		if held == nil {
			held = &lot{demandAt: now, mintedUntil: now, roundingThreshold: hashFraction(l.node, w.Name)}
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
	held.countRequest(now)
	l.mint(now, held)
	if held.tokens >= 1 || (held.credit && held.tokens-1 >= -l.credit(now, held)) {
		held.tokens--
		return Admitted, 0
	}
	if wait := held.poolEmptyUntil.Sub(now); wait > 0 {
		return Refused, min(wait, maxRetryAfter)
	}
	return NeedsDraw, 0
}

// Claim takes a token for a request whose verdict was NeedsDraw, after a grant.
// It returns false if there is none.
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

// ClaimLocal takes a token for a request whose verdict was NeedsDraw and for which
// draws brought none: one that the node minted itself from its share of the rate, or
// one on credit, unless a collector has just found that the pool owes tokens already. It
// returns false if there is none.
func (l *Limiter) ClaimLocal(now time.Time, workspace string) bool {
	held := l.lots[workspace]
	if held == nil {
		return true
	}
	l.mint(now, held)
	overdrawn := held.overdrawn && now.Before(held.poolEmptyUntil)
	if held.tokens < 1 && (overdrawn || held.tokens-1 < -l.credit(now, held)) {
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
	return min(max(held.poolEmptyUntil.Sub(now), 0), maxRetryAfter)
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
		held.decay(now)
		if !held.workspace.Limited() || (held.demand < minDemand && held.tokens < 1 && held.tokens > -0.5) {
			continue
		}
		size := held.demand * lotCoverage.Seconds()
		if size < minLot {
			size = 0
		}
		draw := Draw{Workspace: name, Held: held.tokens, Demand: held.demand}
		switch {
		case held.tokens > maxLotFactor*size:
			draw.Wanted = size - held.tokens
			held.tokens = size
		case held.tokens < size && (held.tokens < 0 || !now.Before(held.poolEmptyUntil)): // spent credit is drawn at once
			draw.Wanted = size - held.tokens
		}
		draws = append(draws, draw)
	}
	return draws
}

// Depleted returns the workspaces whose pool was not well filled at the last grant.
func (l *Limiter) Depleted() []string {
	var names []string
	for name, held := range l.lots {
		if held.depleted && held.workspace.Limited() {
			names = append(names, name)
		}
	}
	return names
}

// DrawFor returns the draw for a number of waiting requests of the workspace.
func (l *Limiter) DrawFor(now time.Time, workspace string, waiting int) Draw {
	held := l.lots[workspace]
	if held == nil {
		return Draw{Workspace: workspace}
	}
	held.decay(now)
	return Draw{
		Workspace: workspace, Wanted: float64(waiting) - held.tokens,
		Held: held.tokens, Demand: held.demand,
	}
}

// AddGrants adds the grants that a collector returned for draws. A collector
// returns no grant for a workspace that it does not know yet, and does not mint
// for it.
func (l *Limiter) AddGrants(now time.Time, draws []Draw, grants []Grant) {
	l.lastAnswerAt = now
	for _, d := range draws {
		if held := l.lots[d.Workspace]; held != nil {
			held.unknownToCollector = true
		}
	}
	for _, g := range grants {
		held := l.lots[g.Workspace]
		if held == nil {
			continue
		}
		held.tokens += g.Tokens
		held.decay(now)
		held.fleetDemand, held.demandShare = g.Demand, 0
		if g.Demand > 0 {
			held.demandShare = min(held.demand/g.Demand, 1)
		}
		held.mintedUntil, held.unknownToCollector = now.Add(reportTTL), false
		held.poolEmptyUntil = now.Add(g.RetryAfter)
		held.credit, held.depleted, held.overdrawn = g.Credit, !g.Credit, g.Overdrawn
	}
}

// AddHandedOver adds the tokens that a node which stepped down as collector handed over.
// What the lots don't need goes to the next collector as surplus.
func (l *Limiter) AddHandedOver(grants []Grant) {
	for _, g := range grants {
		if held := l.lots[g.Workspace]; held != nil {
			held.tokens += g.Tokens
		}
	}
}

// credit returns how many tokens the node may spend before it draws them:
// minCredit plus twice the demand that a lot covers, to absorb fluctuations, but
// at most the node's own share of the credit of the fleet. A fraction of a token is
// rounded up on a share of the nodes that is equal to the fraction, so that the
// sum over many nodes is right; which nodes round up is fixed for each workspace.
func (l *Limiter) credit(now time.Time, held *lot) float64 {
	exact := l.ownShare(now, held) * l.tolerance.credit(&held.workspace)
	whole := math.Floor(exact)
	if exact-whole > held.roundingThreshold {
		whole++
	}
	return min(whole, minCredit+2*held.demand*lotCoverage.Seconds())
}

// mint adds the node's share of the rate for the time in which no collector
// minted for it. A collector mints for a node until reportTTL after it last
// answered it.
func (l *Limiter) mint(now time.Time, held *lot) {
	from := held.mintedUntil
	if collectorUntil := l.lastAnswerAt.Add(reportTTL); !held.unknownToCollector && collectorUntil.After(from) {
		from = collectorUntil
	}
	elapsed := now.Sub(from)
	if elapsed <= 0 {
		return
	}
	share := l.ownShare(now, held)
	held.mintedUntil = now
	held.tokens = min(held.tokens+share*held.workspace.Rate*elapsed.Seconds(), max(1, share*held.workspace.Burst))
}

// ownShare returns the part of the rate that the node mints for itself: half of the
// rate is divided by the last known demand, half evenly. The shares of all nodes sum
// to one. Demand that changed since then is left out, as the node can't tell whether
// that of the others changed as well.
func (l *Limiter) ownShare(now time.Time, held *lot) float64 {
	even := 1 / float64(l.size.nodes(now))
	if held.fleetDemand <= 0 {
		return even
	}
	return (held.demandShare + even) / 2
}

// hashFraction returns a hash of the node and the workspace, uniform between 0
// and 1.
func hashFraction(node, workspace string) float64 {
	return float64(xxhash.Sum64String(node+"\x00"+workspace)) / math.MaxUint64
}

// decay applies the decay of the demand up to now.
func (h *lot) decay(now time.Time) {
	elapsed := now.Sub(h.demandAt)
	if elapsed <= 0 {
		return
	}
	h.demand *= math.Exp(-float64(elapsed) / float64(demandTimeConstant))
	h.demandAt = now
}

// countRequest adds one request to the demand.
func (h *lot) countRequest(now time.Time) {
	h.decay(now)
	h.demand += 1 / demandTimeConstant.Seconds()
}

// Status describes the quota of one workspace at a node, for a log line.
type Status struct {
	// Rate is the quota of the fleet in requests per second.
	Rate float64 `json:"rate"`
	// Tokens is the number of tokens in the lot of this node.
	Tokens float64 `json:"tokens"`
	// Demand and FleetDemand are the demand at this node and that of the fleet,
	// in requests per second.
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
	held.decay(now)
	return Status{
		Rate: held.workspace.Rate, Tokens: held.tokens, Demand: held.demand, FleetDemand: held.fleetDemand, Age: now.Sub(l.lastAnswerAt),
	}
}
