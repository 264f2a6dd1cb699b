package usage

import (
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

const (
	// reportTTL is the age at which a node's report expires, and the time without
	// an answer of a collector after which a node mints for itself. It covers two
	// draws and a third that times out half way.
	reportTTL = 900 * time.Millisecond
	// reporterMemory is the time for which a pool remembers a node that no longer
	// draws. A node that comes back within it has no further part of the initial fill.
	reporterMemory = time.Minute
	// countInterval is the minimum time between counts of the nodes that draw.
	countInterval = 50 * time.Millisecond
	// creditLevel is the fraction of the depth that must be in the pool for nodes
	// to spend on credit. It covers what they spend until they receive a grant
	// without credit.
	creditLevel = 0.5
	// minRetryAfter is the minimum time after which a node draws from an empty
	// pool again.
	minRetryAfter = 60 * time.Millisecond
)

// Pool mints the tokens of all workspaces at the collector. It is not safe for
// concurrent use.
type Pool struct {
	tolerance  Tolerance
	workspaces map[string]*workspacePool
	// reporters are the nodes that have drawn since the pool was empty. As of the last
	// count, nodes is the size of the fleet, drawing the number of reporters that
	// still draw, and counted the number of those that this pool mints for.
	reporters               map[string]reporter
	size                    fleetSize
	nodes, drawing, counted int
	countedAt               time.Time
	// filled is the sum of the parts of the initial fill that reporters added with
	// their first draws.
	filled float64
}

// reporter is a node that draws from a pool, or did.
type reporter struct {
	// at is when it last drew, joinedAt when it last came from another collector.
	at, joinedAt time.Time
	// mintsFrom is the time from which neither another pool nor the node itself
	// mints for it, so that this pool does.
	mintsFrom time.Time
}

// workspacePool is the state of one workspace: its tokens as of refilledAt, and
// the last report of each node.
type workspacePool struct {
	workspace  catalog.Workspace
	tokens     float64
	refilledAt time.Time
	reports    map[string]report
}

// report is the last draw of a node: the tokens that it holds and its demand in
// requests per second.
type report struct {
	at     time.Time
	held   float64
	demand float64
}

// NewPool returns a pool without workspaces.
func NewPool(tolerance Tolerance) *Pool {
	return &Pool{tolerance: tolerance, workspaces: make(map[string]*workspacePool), nodes: 1, reporters: make(map[string]reporter)}
}

// SetTolerance replaces the tolerance. A lower depth applies from the next
// refill.
func (p *Pool) SetTolerance(t Tolerance) { p.tolerance = t }

// Configure sets the published workspaces and the number of listed instances.
func (p *Pool) Configure(now time.Time, workspaces []catalog.Workspace, listed int) {
	p.size.set(now, listed)
	p.nodes = p.size.nodes(now)
	next := make(map[string]*workspacePool, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		m := p.workspaces[w.Name]
		if m == nil {
			m = &workspacePool{refilledAt: now, reports: make(map[string]report)}
			m.tokens = p.tolerance.initialFill(w) * p.share().minted
		}
		m.refill(now, p.tolerance, p.share())
		m.workspace = *w
		m.tokens = min(m.tokens, p.tolerance.depth(w))
		next[w.Name] = m
	}
	p.workspaces = next
}

// Reset empties the pool when this node becomes the collector: another one
// minted until now. The first draw of each node adds the node's part of the
// initial fill.
func (p *Pool) Reset(now time.Time) {
	p.reporters, p.drawing, p.counted, p.filled = make(map[string]reporter), 0, 0, 0
	for _, m := range p.workspaces {
		m.refilledAt, m.tokens, m.reports = now, 0, make(map[string]report)
	}
}

// Caller is a node that draws.
type Caller struct {
	// Node is its name.
	Node string
	// SinceOther is the time since another collector that may still mint for the
	// node last answered it.
	SinceOther time.Duration
	// SinceFill is the time since a pool last started with the node's part of the
	// initial fill.
	SinceFill time.Duration
	// Depleted names the workspaces whose pool was not well filled when the node last
	// drew.
	Depleted []string
	// Switched is set if its last grants came from another collector.
	Switched bool
}

// Draw serves the draws of a node. A call without draws reports that the node is up.
// It reports whether it added the node's part of the initial fill.
func (p *Pool) Draw(now time.Time, caller Caller, draws []Draw) (grants []Grant, filled bool) {
	filled = p.recordReporter(now, caller)
	grants = make([]Grant, 0, len(draws))
	for _, d := range draws {
		m := p.workspaces[d.Workspace]
		if m == nil {
			continue // the node has a newer configuration and mints for itself
		}
		grants = append(grants, m.draw(now, caller.Node, d, p.tolerance, p.share()))
	}
	return grants, filled
}

// stop ends the minting when this node steps down as collector. The tokens are kept, to be
// handed over.
func (p *Pool) stop() { p.counted = 0 }

// handOver returns a node's part of the tokens of a pool that no longer mints, once for
// each node that drew from it last.
func (p *Pool) handOver(node string) []Grant {
	if r, ok := p.reporters[node]; !ok || !p.draws(r) {
		return nil
	}
	part := 1 / float64(p.drawing)
	delete(p.reporters, node)
	p.drawing--
	var grants []Grant
	for name, m := range p.workspaces {
		if tokens := part * m.tokens; tokens > 0 {
			m.tokens -= tokens
			grants = append(grants, Grant{Workspace: name, Tokens: tokens})
		}
	}
	return grants
}

// recordReporter records that a node draws, and recounts the nodes if it is new and after
// countInterval. It reports whether it added the node's part of the initial fill.
func (p *Pool) recordReporter(now time.Time, caller Caller) (filled bool) {
	if now.Sub(p.countedAt) >= countInterval {
		p.recount(now)
	}
	r, known := p.reporters[caller.Node]
	drew := known && now.Sub(r.at) <= reportTTL
	if !drew || caller.Switched {
		r.mintsFrom = now.Add(reportTTL - min(caller.SinceOther, reportTTL))
	}
	switch {
	case !known:
		r.joinedAt = now
	case caller.Switched && now.Sub(r.joinedAt) >= reportTTL: // once for draws in flight together
		p.dropPart(now)
		r.joinedAt = now
	}
	r.at = now
	p.reporters[caller.Node] = r
	if !drew {
		p.recount(now)
	}
	if !known {
		p.fill(now, caller)
	}
	return !known
}

// dropPart removes the part of the tokens that belongs to a node which comes back from
// another collector: that one had tokens for it as well. The nodes that came back just
// before have no part.
func (p *Pool) dropPart(now time.Time) {
	parts := 0
	for _, r := range p.reporters {
		if now.Sub(r.joinedAt) >= reportTTL {
			parts++
		}
	}
	for _, m := range p.workspaces {
		m.refill(now, p.tolerance, p.share())
		if parts > 0 && m.tokens > 0 {
			m.tokens -= m.tokens / float64(parts)
		}
	}
}

// recount counts the nodes that draw and those that this pool mints for.
func (p *Pool) recount(now time.Time) {
	for _, m := range p.workspaces {
		m.refill(now, p.tolerance, p.share())
	}
	p.countedAt, p.nodes, p.drawing, p.counted = now, p.size.nodes(now), 0, 0
	for node, r := range p.reporters {
		switch {
		case now.Sub(r.at) > reporterMemory:
			delete(p.reporters, node)
		case !p.draws(r):
		case now.Before(r.mintsFrom):
			p.drawing++
		default:
			p.drawing++
			p.counted++
		}
	}
}

// draws reports whether a reporter still drew at the last count.
func (p *Pool) draws(r reporter) bool { return p.countedAt.Sub(r.at) <= reportTTL }

// fill adds one node's part of the initial fill. More nodes may draw than are listed.
//
// Collectors may fail one after the other, and the tolerance covers one initial fill in
// a window. A node therefore regains its part in the course of a window. Where the
// earlier pool was well filled it takes the place of tokens that are lost.
func (p *Pool) fill(now time.Time, caller Caller) {
	part := min(1/float64(p.nodes), max(1-p.filled, 0))
	p.filled += part
	regained := min(caller.SinceFill.Seconds()/p.tolerance.Window.Seconds(), 1)
	for name, m := range p.workspaces {
		m.refill(now, p.tolerance, p.share())
		added := part * p.tolerance.initialFill(&m.workspace)
		if slices.Contains(caller.Depleted, name) {
			added *= regained
		}
		limit := p.share().depth(p.tolerance, &m.workspace)
		m.tokens = max(m.tokens, min(m.tokens+added, limit))
	}
}

// Reporters returns the names of the nodes that draw from this pool, in order.
func (p *Pool) Reporters() []string {
	var names []string
	for name, r := range p.reporters {
		if p.draws(r) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// share is the part of the fleet that a pool serves, as fractions of its
// nodes: those that it mints for, and those that draw from it. The two differ
// while another pool, or the nodes themselves, may still mint for some of them.
type share struct {
	minted, drawing float64
}

func (p *Pool) share() share {
	nodes := float64(p.nodes)
	return share{minted: min(float64(p.counted)/nodes, 1), drawing: min(float64(p.drawing)/nodes, 1)}
}

// depth returns the number of requests that the nodes of the share may admit at
// once. The depths of pools that serve parts of the fleet side by side add up to
// that of the fleet, but each pool can hold a whole token.
func (s share) depth(t Tolerance, w *catalog.Workspace) float64 {
	whole := t.depth(w)
	return max(s.drawing*whole, min(whole, 1))
}

// draw serves one draw.
func (m *workspacePool) draw(now time.Time, node string, d Draw, t Tolerance, share share) Grant {
	m.refill(now, t, share)
	grant := Grant{Workspace: d.Workspace}
	if d.Wanted < 0 {
		m.tokens -= d.Wanted
	} else {
		// Tokens spent on credit are granted even if the pool does not have them.
		grant.Tokens = max(min(d.Wanted, max(m.tokens, 0)), min(-d.Held, d.Wanted))
		m.tokens -= grant.Tokens
	}
	if grant.Tokens < d.Wanted && grant.Tokens+d.Held < 1 {
		grant.RetryAfter = m.nextToken(t, max(share.minted, share.drawing))
	}
	grant.Credit = m.tokens > creditLevel*share.depth(t, &m.workspace)
	grant.Overdrawn = m.tokens < 0
	m.reports[node] = report{at: now, held: d.Held + grant.Tokens + min(d.Wanted, 0), demand: d.Demand}
	grant.Demand = m.demand()
	if share.drawing > 0 {
		grant.Demand /= share.drawing // extrapolates to the nodes that draw from other pools
	}
	return grant
}

// nextToken returns the time until a token is minted for a part of the fleet.
func (m *workspacePool) nextToken(t Tolerance, share float64) time.Duration {
	if share <= 0 {
		return reportTTL
	}
	wait := time.Duration((1 - m.tokens) / (share * t.rate(&m.workspace)) * float64(time.Second))
	return max(wait, minRetryAfter)
}

// refill mints the share of the rate for the time since the last refill, up to the
// depth of the share. Tokens that nodes hold count against the depth. Above that
// depth, tokens are lost at the rate at which they are minted elsewhere for the nodes
// that no longer draw from this pool.
func (m *workspacePool) refill(now time.Time, t Tolerance, share share) {
	// The nodes' reports expire after reportTTL; from then on tokens are minted
	// for them elsewhere.
	elapsed := min(max(now.Sub(m.refilledAt), 0), reportTTL)
	m.refilledAt = now
	if !m.workspace.Limited() {
		return
	}
	minted, held := t.rate(&m.workspace)*elapsed.Seconds(), m.held(now)
	m.tokens = min(m.tokens, max(t.depth(&m.workspace)-held, 0))
	if limit := max(share.depth(t, &m.workspace)-held, 0); m.tokens > limit {
		m.tokens = max(m.tokens-(1-share.drawing)*minted, limit)
	} else {
		m.tokens = min(m.tokens+share.minted*minted, limit)
	}
}

func (m *workspacePool) held(now time.Time) float64 {
	sum := 0.0
	for node, r := range m.reports {
		if now.Sub(r.at) > reportTTL {
			delete(m.reports, node)
			continue
		}
		sum += max(r.held, 0)
	}
	return sum
}

func (m *workspacePool) demand() float64 {
	sum := 0.0
	for _, r := range m.reports {
		sum += r.demand
	}
	return sum
}
