// Package shed decides at the entry of a call chain whether a new request is
// admitted.
//
// Every answer carries the pressure of the most loaded service of its chain
// (see package slots for the measure). A Gate admits a share of the requests of
// one route and rank and moves that share towards the point where the pressure
// meets the target of its rank. More urgent ranks have higher targets, so they
// give way only after the lesser ones have.
//
// The load pattern it answers is a chain whose deepest service receives several
// times what it can run. Work that is refused there has cost all services above
// it; refusing at the root costs nothing. Since all entries see the pressure of
// the same service, their shares converge.
package shed

import (
	"math"
	"time"
)

const (
	// baseTarget is the pressure that the least urgent rank may cause. Above 1
	// requests wait for slots; with some tens of slots this is near nine tenths
	// of the capacity.
	baseTarget = 1.0
	// maxExtra is what the most urgent rank may add to it; the others lie evenly
	// between. A chain whose calls all wait twice as long as they run takes three
	// times as long as on a calm day; objectives leave 2.5 to 6 times.
	maxExtra = 2.0
	// gain is the relative change of the share in a second for a pressure that
	// is off by one. A chain answers after about half a second, which bounds it.
	gain = 1.5
	// maxFall and maxRise bound the error that is acted upon.
	maxFall = 1.5
	maxRise = 0.5
	// floor is the least share: it lets recovery be noticed.
	floor = 0.02
	// growth lets a small share recover faster than in proportion.
	growth = 0.15
	// maxStep bounds the time that one step accounts for.
	maxStep = 200 * time.Millisecond
	// returnFactor is how much more readily a request is admitted that came
	// back after the time it was told.
	returnFactor = 4
)

// Gate admits a share of the requests of one route and rank. It is not safe for
// concurrent use.
type Gate struct {
	target    float64
	share     float64
	signal    Signal
	steppedAt time.Time
}

// NewGate returns an open gate. urgency lies between 0 for the least urgent
// published rank and 1 for the most urgent.
func NewGate(urgency float64) *Gate {
	return &Gate{target: baseTarget + maxExtra*urgency, share: 1}
}

// Observe takes the pressure that an answer carried.
func (g *Gate) Observe(now time.Time, pressure float64) { g.signal.Observe(now, pressure) }

// Admit decides about one request; random is uniform in [0, 1). returned marks
// a request that came back no sooner than it was told.
func (g *Gate) Admit(now time.Time, returned bool, random float64) bool {
	g.step(now)
	share := g.share
	if returned {
		share *= returnFactor
	}
	return random < share
}

// step moves the share towards the target.
func (g *Gate) step(now time.Time) {
	passed := min(now.Sub(g.steppedAt), maxStep)
	if passed <= 0 {
		return
	}
	g.steppedAt = now
	off := min(max(g.target-g.signal.Value(now), -maxFall), maxRise)
	if off > 0 {
		g.share += gain * off * (g.share + growth) * passed.Seconds()
	} else {
		g.share *= math.Exp(gain * off * passed.Seconds())
	}
	g.share = min(max(g.share, floor), 1)
}

// Share returns the share of new requests that is admitted.
func (g *Gate) Share() float64 { return g.share }

// Pressure returns the pressure that the gate acts upon, and its age, 0 if none
// was ever heard.
func (g *Gate) Pressure(now time.Time) (pressure float64, age time.Duration) {
	if g.signal.at.IsZero() {
		return 0, 0
	}
	return g.signal.Value(now), now.Sub(g.signal.at)
}
