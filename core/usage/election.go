package usage

import (
	"time"

	"github.com/toucancove/toucancove/core/member"
)

const (
	// unresponsiveFor is how long an instance that did not answer is treated as
	// unresponsive and not chosen as collector.
	unresponsiveFor = 3 * time.Second
	// ownObservationFor is how long a node's own observation that an instance is
	// unresponsive takes precedence over another node that names it as collector:
	// the other node needs about one draw interval to detect it itself.
	ownObservationFor = 600 * time.Millisecond
)

// Election is one node's view of which instance is the collector, and holds the
// node's pool for the time that it is the collector itself. It is not safe for
// concurrent use.
//
// The collector is the first instance in the order of hashes that is not
// unresponsive. If it becomes unresponsive the nodes fail over to the second
// instance, each at a different time. The second therefore mints only once it
// finds the first unresponsive itself; until then it redirects draws to the
// first. Several pools may mint at the same time, after a restart of the fleet or
// during a network partition; each mints the share of the nodes that draw from
// it.
type Election struct {
	pool *Pool
	own  member.InstanceID
	ids  []member.InstanceID
	// failures holds the last failure of each instance that did not answer.
	failures map[member.InstanceID]failure
	// isCollector is set while this node is the collector in its own view, which it
	// last ceased to be at steppedDownAt.
	isCollector   bool
	steppedDownAt time.Time
	// redirected is set when this node received a draw and redirected it, until
	// the next probe.
	redirected bool
	// lastCollector is the collector that last answered a draw with grants, at
	// lastGrantAt. otherGrantAt is when another collector last did that may
	// still mint for this node. Both times are zero initially.
	lastCollector             member.InstanceID
	lastGrantAt, otherGrantAt time.Time
	// released is set once lastCollector is known to no longer mint.
	released bool
	// filledAt is when a pool last added this node's part of the initial fill. It is
	// zero initially.
	filledAt time.Time
}

// failure is a draw or probe that an instance's node did not answer. ended is set if its
// process is known to have ended.
type failure struct {
	at    time.Time
	ended bool
}

// Answer is the reply of a node to draws.
type Answer struct {
	// Grants are those of the pool. With a redirect they hold the caller's part of a
	// pool that this node kept until it stepped down as collector.
	Grants []Grant
	// Filled reports whether the pool added the caller's part of its initial fill.
	Filled bool
	// Collector is the instance to draw from instead. It is empty if this node is
	// the collector.
	Collector member.InstanceID
}

// NewElection returns the view of a node without instances.
func NewElection(tolerance Tolerance) *Election {
	return &Election{pool: NewPool(tolerance), failures: make(map[member.InstanceID]failure)}
}

// Pool returns the node's pool, so that the caller can configure it.
func (e *Election) Pool() *Pool { return e.pool }

// SetInstances sets the candidates for collector and which of them is this
// node's own instance, empty if none is. It reports whether the list was empty before.
func (e *Election) SetInstances(now time.Time, ids []member.InstanceID, own member.InstanceID) (first bool) {
	first = len(e.ids) == 0 && len(ids) > 0
	e.ids, e.own = ids, own
	e.update(now)
	return first
}

// Collector returns the instance whose node to draw from, and false if there is
// none.
func (e *Election) Collector(now time.Time) (member.InstanceID, bool) {
	return member.First(e.ids, func(id member.InstanceID) bool { return e.isUnresponsive(now, id) })
}

// MarkUnresponsive records that an instance's node did not answer, and reports
// whether it was not yet unresponsive. ended is set if its process is known to
// have ended.
func (e *Election) MarkUnresponsive(now time.Time, id member.InstanceID, ended bool) bool {
	e.released = e.released || (ended && id == e.lastCollector)
	changed := !e.isUnresponsive(now, id)
	e.failures[id] = failure{at: now, ended: ended}
	return changed
}

// MarkResponsive records that an instance's node answered.
func (e *Election) MarkResponsive(id member.InstanceID) { delete(e.failures, id) }

// RecordGrants records that an instance's node answered a draw with grants, and
// whether its pool added this node's part of the initial fill. It reports whether the
// collector changed.
func (e *Election) RecordGrants(now time.Time, id member.InstanceID, filled bool) bool {
	if filled {
		e.filledAt = now
	}
	changed := id != e.lastCollector
	if changed {
		e.otherGrantAt = e.lastGrantAt
		if e.released {
			e.otherGrantAt = time.Time{}
		}
	}
	e.lastCollector, e.lastGrantAt, e.released = id, now, false
	return changed
}

// Caller returns this node as it draws from the instance's node. depleted names the
// workspaces whose pool was not well filled at its last draw.
func (e *Election) Caller(now time.Time, node string, id member.InstanceID, depleted []string) Caller {
	return Caller{
		Node: node, Depleted: depleted, SinceOther: e.sinceOther(now, id), SinceFill: now.Sub(e.filledAt),
		Switched: e.lastCollector != "" && e.lastCollector != id,
	}
}

// sinceOther returns the time since a collector other than the instance's node that
// may still mint for this node last answered a draw of this node.
func (e *Election) sinceOther(now time.Time, id member.InstanceID) time.Duration {
	switch {
	case e.lastCollector == id:
		return now.Sub(e.otherGrantAt)
	case e.released:
		return reportTTL
	default:
		return now.Sub(e.lastGrantAt)
	}
}

// RecordRedirect records that the node of the instance by redirected a draw to
// the instance id, which is the collector in its view.
func (e *Election) RecordRedirect(now time.Time, by, id member.InstanceID) {
	e.released = e.released || by == e.lastCollector
	if f := e.failures[id]; f.ended || now.Sub(f.at) >= ownObservationFor {
		delete(e.failures, id)
	}
}

// Probe returns an instance that this node should probe with an empty draw: if it
// is the collector, an unresponsive instance that it took over from; otherwise
// the collector, if this node redirected a draw to it since the last probe.
func (e *Election) Probe(now time.Time) (member.InstanceID, bool) {
	e.update(now)
	redirected := e.redirected
	e.redirected = false
	if !e.isCollector {
		id, ok := e.Collector(now)
		return id, ok && redirected
	}
	return e.oldestFailure(now)
}

// oldestFailure returns the unresponsive instance whose last failure is the
// oldest, among those that precede the own one, so that they are probed in turn.
func (e *Election) oldestFailure(now time.Time) (id member.InstanceID, ok bool) {
	var since time.Time
	for _, other := range e.ids {
		f, failed := e.failures[other]
		if !failed || (ok && !f.at.Before(since)) || now.Sub(f.at) >= unresponsiveFor {
			continue
		}
		if before, _ := member.First([]member.InstanceID{other, e.own}, never); before == other {
			id, since, ok = other, f.at, true
		}
	}
	return id, ok
}

func never(member.InstanceID) bool { return false }

// Answer serves draws of another node or of this one.
func (e *Election) Answer(now time.Time, caller Caller, draws []Draw) Answer {
	e.update(now)
	if !e.isCollector {
		if id, ok := e.Collector(now); ok {
			e.redirected = true
			return Answer{Collector: id, Grants: e.handOver(now, caller.Node)}
		}
	}
	grants, filled := e.pool.Draw(now, caller, draws)
	return Answer{Grants: grants, Filled: filled}
}

// handOver returns a node's part of the pool that this node kept as the collector, if
// it stepped down a short time ago. Later, the node has drawn elsewhere.
func (e *Election) handOver(now time.Time, node string) []Grant {
	if now.Sub(e.steppedDownAt) >= reportTTL {
		return nil
	}
	return e.pool.handOver(node)
}

func (e *Election) update(now time.Time) {
	id, ok := e.Collector(now)
	isCollector := ok && id == e.own
	switch {
	case isCollector && !e.isCollector:
		e.pool.Reset(now)
	case !isCollector && e.isCollector:
		e.steppedDownAt = now
		e.pool.stop()
	}
	e.isCollector = isCollector
}

func (e *Election) isUnresponsive(now time.Time, id member.InstanceID) bool {
	f, failed := e.failures[id]
	return failed && now.Sub(f.at) < unresponsiveFor
}
