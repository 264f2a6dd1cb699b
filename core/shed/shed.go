// Package shed decides at the entry of a call chain whether a new request is
// admitted.
//
// Every response carries the pressure of the most loaded service of its chain
// (see package slots for the measure). A Gate admits a share of the requests of
// one route and rank and moves that share by feedback towards the point where
// the pressure meets the target of the rank. More urgent ranks have higher
// targets, so their requests are shed only after those of less urgent ranks.
//
// This handles a chain whose deepest service receives several times its
// capacity. A request refused there has already used resources of all services
// above it; a request refused at the entry has used none. All entries observe
// the pressure of the same service, so their shares converge.
package shed

import (
	"math"
	"time"
)

const (
	// baseTarget is the target pressure of the least urgent rank. Above 1
	// requests wait for slots; with some tens of slots this is near nine tenths
	// of the capacity.
	baseTarget = 1.0
	// targetRange is what the most urgent rank adds to baseTarget; the others
	// are spaced evenly between. A chain whose calls all wait twice as long as
	// they run takes three times as long as without queueing; objectives allow
	// 2.5 to 6 times.
	targetRange = 2.0
	// gain is the relative change of the share per second for a deviation of
	// one. The gain is bounded by the delay of the feedback: a chain responds
	// after about half a second.
	gain = 1.5
	// maxExcess and maxShortfall bound the deviation that one step corrects, for
	// a pressure above and below the target.
	maxExcess    = 1.5
	maxShortfall = 0.5
	// minShare is the smallest share: the responses to these requests show when
	// the overload has ended.
	minShare = 0.02
	// recoveryOffset is added to the share in the rate of its increase, so that
	// a small share recovers faster than in proportion to itself.
	recoveryOffset = 0.15
	// maxStep bounds the time that one step accounts for.
	maxStep = 200 * time.Millisecond
	// retryFactor multiplies the share for a retry after the Retry-After time.
	retryFactor = 4
)

// Gate admits a share of the requests of one route and rank. It is not safe for
// concurrent use.
type Gate struct {
	target   float64
	share    float64
	signal   Signal
	lastStep time.Time
}

// NewGate returns a gate that admits every request. urgency lies between 0 for
// the least urgent published rank and 1 for the most urgent.
func NewGate(urgency float64) *Gate {
	return &Gate{target: baseTarget + targetRange*urgency, share: 1}
}

// Observe records the pressure that a response carried.
func (g *Gate) Observe(now time.Time, pressure float64) { g.signal.Observe(now, pressure) }

// Admit decides about one request; random is uniform in [0, 1). retried is set
// for a retry made no sooner than the Retry-After time.
func (g *Gate) Admit(now time.Time, retried bool, random float64) bool {
	g.step(now)
	share := g.share
	if retried {
		share *= retryFactor
	}
	return random < share
}

// step moves the share towards the target.
func (g *Gate) step(now time.Time) {
	elapsed := min(now.Sub(g.lastStep), maxStep)
	if elapsed <= 0 {
		return
	}
	g.lastStep = now
	deviation := min(max(g.target-g.signal.Value(now), -maxExcess), maxShortfall)
	if deviation > 0 {
		g.share += gain * deviation * (g.share + recoveryOffset) * elapsed.Seconds()
	} else {
		g.share *= math.Exp(gain * deviation * elapsed.Seconds())
	}
	g.share = min(max(g.share, minShare), 1)
}

// Share returns the share of new requests that is admitted.
func (g *Gate) Share() float64 { return g.share }

// Pressure returns the average pressure that the share follows and the time
// since the last response that carried one. Both are 0 before the first.
func (g *Gate) Pressure(now time.Time) (pressure float64, age time.Duration) {
	if g.signal.updatedAt.IsZero() {
		return 0, 0
	}
	return g.signal.Value(now), now.Sub(g.signal.updatedAt)
}
