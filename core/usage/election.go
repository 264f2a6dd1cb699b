package usage

import (
	"time"

	"github.com/toucancove/toucancove/core/member"
)

const (
	// silentFor is how long a collector that did not answer is passed over.
	silentFor = 3 * time.Second
	// ownWord is how long a node's own finding goes before what others say: they
	// need about a draw to find out themselves.
	ownWord = 600 * time.Millisecond
)

// Election is one node's view of who collects, and its pool for when that is the
// node itself. It is not safe for concurrent use.
//
// Nodes that find the first instance silent turn to the second. They do so at
// different moments, so the second mints only once it finds the first silent
// itself; until then it names the first, to which the others go back. Pools that
// mint side by side, after a restart of the fleet or in two parts of it that are
// not in touch, each mint the part of the nodes that draw from them.
type Election struct {
	pool   *Pool
	own    member.InstanceID
	ids    []member.InstanceID
	silent map[member.InstanceID]time.Time
	// leads is set while this node takes itself for the collector.
	leads bool
	// asked is set when another node took this one for the collector and it
	// did not agree.
	asked bool
	// drewFrom is the collector that answered last, at drewAt; beforeAt is when
	// another one did that may have minted on. Both begin with the zero time.
	drewFrom         member.InstanceID
	drewAt, beforeAt time.Time
	// released is set once that collector is known to mint no longer.
	released bool
}

// Answer is what a node says to a draw.
type Answer struct {
	Grants []Grant
	// Collector is the instance to ask instead; empty if Grants answers.
	Collector member.InstanceID
}

// NewElection returns the view of a node that knows no instance yet.
func NewElection(tolerance Tolerance) *Election {
	return &Election{pool: NewPool(tolerance), silent: make(map[member.InstanceID]time.Time)}
}

// Pool returns the pool for its configuration.
func (e *Election) Pool() *Pool { return e.pool }

// Listed takes the instances that may collect and which of them is beside this
// node, empty if none is.
func (e *Election) Listed(now time.Time, ids []member.InstanceID, own member.InstanceID) {
	e.ids, e.own = ids, own
	e.update(now)
}

// Collector returns the instance whose node to draw from, and false if none is
// known.
func (e *Election) Collector(now time.Time) (member.InstanceID, bool) {
	return member.First(e.ids, func(id member.InstanceID) bool { return e.isSilent(now, id) })
}

// Lost takes note that an instance's node did not answer and reports whether that
// is news. ended is set if its process is known to have ended.
func (e *Election) Lost(now time.Time, id member.InstanceID, ended bool) bool {
	e.released = e.released || (ended && id == e.drewFrom)
	news := !e.isSilent(now, id)
	e.silent[id] = now
	return news
}

// Heard takes note that an instance's node answered.
func (e *Election) Heard(id member.InstanceID) { delete(e.silent, id) }

// Drew takes note that an instance's node answered a draw with grants, and reports
// whether it is another one than before.
func (e *Election) Drew(now time.Time, id member.InstanceID) bool {
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

// Away returns the time since a collector other than the instance's node last
// answered and may still mint for this node.
func (e *Election) Away(now time.Time, id member.InstanceID) time.Duration {
	switch {
	case e.drewFrom == id:
		return now.Sub(e.beforeAt)
	case e.released:
		return reportLife
	default:
		return now.Sub(e.drewAt)
	}
}

// Named takes note that by, which was asked, takes another instance for the
// collector.
func (e *Election) Named(now time.Time, by, id member.InstanceID) {
	e.released = e.released || by == e.drewFrom
	if now.Sub(e.silent[id]) >= ownWord {
		delete(e.silent, id)
	}
}

// Probe returns an instance that this node should ask, with a draw of nothing, to
// learn whether it is there: one that it took over from, or the one it names.
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

// longestSilent returns the instance that comes before the own one and did not
// answer for the longest time.
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

// Answer serves a draw of another node or of this one.
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
		e.pool.Begin(now)
	}
	e.leads = leads
}

func (e *Election) isSilent(now time.Time, id member.InstanceID) bool {
	at, failed := e.silent[id]
	return failed && now.Sub(at) < silentFor
}
