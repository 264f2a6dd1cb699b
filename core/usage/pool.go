package usage

import (
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

const (
	// reportLife is the age at which a node's report expires, and the time without
	// an answer of a collector after which a node mints for itself. It covers two
	// draws and a third that times out half way.
	reportLife = 900 * time.Millisecond
	// countInterval is the minimum time between counts of the nodes that draw.
	countInterval = 50 * time.Millisecond
	// creditLevel is the fraction of the depth that must be in the pool for nodes
	// to spend on credit. It covers what they spend until they receive a grant
	// without credit.
	creditLevel = 0.5
	// leastRetryAfter is the minimum time after which a node draws from an empty
	// pool again.
	leastRetryAfter = 60 * time.Millisecond
)

// Pool mints the tokens of all workspaces at the collector. It is not safe for
// concurrent use.
type Pool struct {
	tolerance  Tolerance
	workspaces map[string]*minting
	// fleet is the number of listed nodes. reporters are the nodes that draw from
	// this pool; counted is the number of them that this pool mints for.
	fleet     int
	reporters map[string]reporter
	counted   int
	countedAt time.Time
	// filled holds the nodes whose part of the first fill has been added.
	filled map[string]bool
}

// reporter is a node that draws from a pool.
type reporter struct {
	at time.Time
	// countsFrom is the time from which neither another pool nor the node itself
	// mints for it, so that this pool does.
	countsFrom time.Time
}

// minting is the state of one workspace: its tokens as of the time at, and the last
// report of each node.
type minting struct {
	workspace catalog.Workspace
	tokens    float64
	at        time.Time
	reports   map[string]report
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
	return &Pool{tolerance: tolerance, workspaces: make(map[string]*minting), fleet: 1, reporters: make(map[string]reporter), filled: make(map[string]bool)}
}

// SetTolerance replaces the tolerance. A lower depth applies from the next refill.
func (p *Pool) SetTolerance(t Tolerance) { p.tolerance = t }

// Configure sets the published workspaces and the number of nodes.
func (p *Pool) Configure(now time.Time, workspaces []catalog.Workspace, nodes int) {
	p.fleet = max(nodes, 1)
	next := make(map[string]*minting, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		m := p.workspaces[w.Name]
		if m == nil {
			m = &minting{at: now, reports: make(map[string]report)}
			m.tokens = p.tolerance.firstFill(w) * p.share()
		}
		m.refill(now, p.tolerance, p.share())
		m.workspace = *w
		m.tokens = min(m.tokens, p.tolerance.depth(w))
		next[w.Name] = m
	}
	p.workspaces = next
}

// Reset empties the pool when this node becomes the collector: another one minted
// until now. The first draw of each node adds the node's part of the first fill.
func (p *Pool) Reset(now time.Time) {
	p.reporters, p.counted, p.filled = make(map[string]reporter), 0, make(map[string]bool)
	for _, m := range p.workspaces {
		m.at, m.tokens, m.reports = now, 0, make(map[string]report)
	}
}

// Draw serves the draws of a node. A call without draws reports that the node is
// up. away is the time since another collector that may still mint for the node
// last answered it.
func (p *Pool) Draw(now time.Time, node string, away time.Duration, draws []Draw) []Grant {
	p.count(now, node, away)
	grants := make([]Grant, 0, len(draws))
	for _, d := range draws {
		m := p.workspaces[d.Workspace]
		if m == nil {
			continue // the node has a newer configuration and mints for itself
		}
		grants = append(grants, m.draw(now, node, d, p.tolerance, p.share()))
	}
	return grants
}

// count records that a node draws, and recounts the nodes after countInterval.
func (p *Pool) count(now time.Time, node string, away time.Duration) {
	if now.Sub(p.countedAt) >= countInterval {
		p.recount(now)
	}
	r, known := p.reporters[node]
	if !known {
		r.countsFrom = now.Add(reportLife - min(away, reportLife))
		if !p.filled[node] {
			p.filled[node] = true
			p.fill(now)
		}
	}
	r.at = now
	p.reporters[node] = r
}

// recount counts the nodes that this pool mints for, and removes those that no
// longer draw.
func (p *Pool) recount(now time.Time) {
	for _, m := range p.workspaces {
		m.refill(now, p.tolerance, p.share())
	}
	p.countedAt, p.counted = now, 0
	for node, r := range p.reporters {
		switch {
		case now.Sub(r.at) > reportLife:
			delete(p.reporters, node)
		case !now.Before(r.countsFrom):
			p.counted++
		}
	}
}

// fill adds one node's part of the first fill.
func (p *Pool) fill(now time.Time) {
	part := 1 / float64(p.fleet)
	for _, m := range p.workspaces {
		m.refill(now, p.tolerance, p.share())
		m.tokens = min(m.tokens+part*p.tolerance.firstFill(&m.workspace), p.tolerance.depth(&m.workspace))
	}
}

// share returns the part of the fleet's nodes that this pool mints for.
func (p *Pool) share() float64 { return min(float64(p.counted)/float64(p.fleet), 1) }

func (m *minting) draw(now time.Time, node string, d Draw, t Tolerance, share float64) Grant {
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
		grant.RetryAfter = m.nextToken(t, share)
	}
	grant.Credit = m.tokens > creditLevel*t.depth(&m.workspace)
	m.reports[node] = report{at: now, held: d.Held + grant.Tokens + min(d.Wanted, 0), demand: d.Demand}
	grant.Demand = m.demand()
	if share > 0 {
		grant.Demand /= share // extrapolates to the nodes that draw from other pools
	}
	return grant
}

// nextToken returns the time until a token is minted.
func (m *minting) nextToken(t Tolerance, share float64) time.Duration {
	if share <= 0 {
		return reportLife
	}
	wait := time.Duration((1 - m.tokens) / (share * t.rate(&m.workspace)) * float64(time.Second))
	return max(wait, leastRetryAfter)
}

// refill mints the share of the rate for the time since the last refill. Tokens
// that nodes hold count against the depth.
func (m *minting) refill(now time.Time, t Tolerance, share float64) {
	// The nodes' reports expire after reportLife; from then on tokens are minted
	// for them elsewhere.
	passed := min(max(now.Sub(m.at), 0), reportLife)
	m.at = now
	if !m.workspace.Limited() {
		return
	}
	most := max(t.depth(&m.workspace)-m.held(now), 0)
	m.tokens = max(min(m.tokens+share*t.rate(&m.workspace)*passed.Seconds(), most), min(m.tokens, 0))
}

func (m *minting) held(now time.Time) float64 {
	sum := 0.0
	for node, r := range m.reports {
		if now.Sub(r.at) > reportLife {
			delete(m.reports, node)
			continue
		}
		sum += max(r.held, 0)
	}
	return sum
}

func (m *minting) demand() float64 {
	sum := 0.0
	for _, r := range m.reports {
		sum += r.demand
	}
	return sum
}
