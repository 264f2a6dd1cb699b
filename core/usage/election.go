package usage

import (
	"time"

	"github.com/toucancove/toucancove/core/member"
)

const (
	// silentFor is how long an instance that did not answer is treated as
	// unresponsive and not chosen as collector.
	silentFor = 3 * time.Second
	// ownWord is how long a node's own observation that an instance is
	// unresponsive takes precedence over another node that names it as collector:
	// the other node needs about one draw interval to detect it itself.
	ownWord = 600 * time.Millisecond
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
	pool   *Pool
	own    member.InstanceID
	ids    []member.InstanceID
	silent map[member.InstanceID]time.Time
	// leads is set while this node is the collector in its own view.
	leads bool
	// asked is set when this node received a draw and redirected it, until the next
	// probe.
	asked bool
	// drewFrom is the collector that last answered a draw with grants, at drewAt.
	// beforeAt is when another collector last did that may still mint for this
	// node. Both times are zero initially.
	drewFrom         member.InstanceID
	drewAt, beforeAt time.Time
	// released is set once the collector drewFrom is known to no longer mint.
	released bool
}

// Answer is the reply of a node to draws.
type Answer struct {
	Grants []Grant
	// Collector is the instance to draw from instead. It is empty if this node is
	// the collector and Grants holds the result.
	Collector member.InstanceID
}

// NewElection returns the view of a node without instances.
func NewElection(tolerance Tolerance) *Election {
	return &Election{pool: NewPool(tolerance), silent: make(map[member.InstanceID]time.Time)}
}

// Pool returns the node's pool, so that the caller can configure it.
func (e *Election) Pool() *Pool { return e.pool }

// SetInstances sets the candidates for collector and which of them is this node's own
// instance, empty if none is.
func (e *Election) SetInstances(now time.Time, ids []member.InstanceID, own member.InstanceID) {
	e.ids, e.own = ids, own
	e.update(now)
}

// Collector returns the instance whose node to draw from, and false if there is
// none.
func (e *Election) Collector(now time.Time) (member.InstanceID, bool) {
	return member.First(e.ids, func(id member.InstanceID) bool { return e.isSilent(now, id) })
}

// MarkUnresponsive records that an instance's node did not answer, and reports whether it was
// not yet unresponsive. ended is set if its process is known to have ended.
func (e *Election) MarkUnresponsive(now time.Time, id member.InstanceID, ended bool) bool {
	e.released = e.released || (ended && id == e.drewFrom)
	news := !e.isSilent(now, id)
	e.silent[id] = now
	return news
}

// MarkResponsive records that an instance's node answered.
func (e *Election) MarkResponsive(id member.InstanceID) { delete(e.silent, id) }

// RecordGrants records that an instance's node answered a draw with grants, and reports
// whether the collector changed.
func (e *Election) RecordGrants(now time.Time, id member.InstanceID) bool {
	news := id != e.drewFrom
	if news {
		e.beforeAt = e.drewAt
		if e.released {
			e.beforeAt = time.Time{}
		}
	}
	e.drewFrom, e.drewAt, e.released = id, now, false
	return news
}

// SinceOtherCollector returns the time since a collector other than the instance's node that may
// still mint for this node last answered a draw of this node.
func (e *Election) SinceOtherCollector(now time.Time, id member.InstanceID) time.Duration {
	switch {
	case e.drewFrom == id:
		return now.Sub(e.beforeAt)
	case e.released:
		return reportLife
	default:
		return now.Sub(e.drewAt)
	}
}

// RecordRedirect records that the node of the instance by redirected a draw to the instance
// id, which is the collector in its view.
func (e *Election) RecordRedirect(now time.Time, by, id member.InstanceID) {
	e.released = e.released || by == e.drewFrom
	if now.Sub(e.silent[id]) >= ownWord {
		delete(e.silent, id)
	}
}

// Probe returns an instance that this node should probe with an empty draw: if it
// is the collector, an unresponsive instance that it took over from; otherwise
// the collector, if this node redirected a draw to it since the last probe.
func (e *Election) Probe(now time.Time) (member.InstanceID, bool) {
	e.update(now)
	asked := e.asked
	e.asked = false
	if !e.leads {
		id, ok := e.Collector(now)
		return id, ok && asked
	}
	return e.longestSilent(now)
}

// longestSilent returns the instance that has been unresponsive for the longest
// time among those that precede the own one.
func (e *Election) longestSilent(now time.Time) (id member.InstanceID, ok bool) {
	var since time.Time
	for _, other := range e.ids {
		at, failed := e.silent[other]
		if !failed || (ok && !at.Before(since)) || now.Sub(at) >= silentFor {
			continue
		}
		if before, _ := member.First([]member.InstanceID{other, e.own}, never); before == other {
			id, since, ok = other, at, true
		}
	}
	return id, ok
}

func never(member.InstanceID) bool { return false }

// Answer serves draws of another node or of this one. away is the time since
// another collector that may still mint for that node last answered it.
func (e *Election) Answer(now time.Time, node string, away time.Duration, draws []Draw) Answer {
	e.update(now)
	if !e.leads {
		if id, ok := e.Collector(now); ok {
			e.asked = true
			return Answer{Collector: id}
		}
	}
	return Answer{Grants: e.pool.Draw(now, node, away, draws)}
}

func (e *Election) update(now time.Time) {
	id, ok := e.Collector(now)
	leads := ok && id == e.own
	if leads && !e.leads {
		e.pool.Reset(now)
	}
	e.leads = leads
}

func (e *Election) isSilent(now time.Time, id member.InstanceID) bool {
	at, failed := e.silent[id]
	return failed && now.Sub(at) < silentFor
}
