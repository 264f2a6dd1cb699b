// Package shed decides at the entry of a call chain whether a new request is
// admitted.
//
// Every response carries the pressure of the most loaded service of its chain
// (see package slots for the measure). A Gate bounds the requests of one route and
// rank that are in flight by a window, and moves the window by feedback towards the
// size at which the pressure meets the target of the rank. More urgent ranks have
// higher targets, so their requests are shed only after those of less urgent ranks.
//
// This handles a chain whose deepest service receives several times its
// capacity. A request refused there has already used resources of all services
// above it; a request refused at the entry has used none. All entries observe
// the pressure of the same service, so their windows shrink and grow together.
//
// A service that rejects its calls, or has no instance, isn't occupied and reports a low
// pressure. Requests whose calls can't run end quickly, after other services have worked
// for them, and many may not be repeated. A gate therefore shrinks its window, whatever
// the pressure, while more than a few of its requests end so.
//
// A window admits by what has ended, so that the load on the chain is bounded before
// any response tells of it. A share of the arrivals is not: it goes on admitting for
// as long as the pressure lags behind, by the time of a whole chain, and overshoots
// in both directions.
package shed

import (
	"math"
	"time"
)

const (
	// baseTarget is the target pressure of the least urgent rank. Above 1
	// requests wait for slots; a little waiting keeps all slots in use.
	baseTarget = 1.15
	// targetRange is what the most urgent rank adds to baseTarget; the others
	// are spaced evenly between. A chain whose calls all wait twice as long as
	// they run takes three times as long as without queueing; objectives allow
	// 2.5 to 6 times.
	targetRange = 1.85
	// gain is the relative change of the window per second at a pressure that is
	// off the target by a factor of e. The requests in flight make the pressure, so
	// that its logarithm is the one by which the window is off. The gain is bounded
	// by the delay of the feedback, up to a second.
	gain = 0.8
	// maxDeviation bounds the logarithm that one step corrects.
	maxDeviation = 1.5
	// minWindow is the smallest window: the responses to these requests show when
	// the overload has ended. A window below 1 admits single requests at random.
	minWindow = 0.05
	// recoveryOffset is added to the window in the rate of its increase, so that
	// a small window recovers faster than in proportion to itself, and those of
	// routes and nodes with few requests sooner than others.
	recoveryOffset = 2.0
	// openFactor is the ratio of the window to the recent requests in flight above
	// which the gate opens.
	openFactor = 1.2
	// peakHalfLife is the half-life of the largest recent number in flight.
	peakHalfLife = time.Second
	// retryFactor multiplies the window for a retry after the Retry-After time.
	retryFactor = 1.25
	// failureWeight and successWeight are the weights of a request in the average share of
	// those that failed because a call of theirs could not run. While the gate is nearly
	// closed few requests tell that calls run again, so that a success weighs more.
	failureWeight = 1.0 / 8
	successWeight = 1.0 / 4
	// maxFailureShare is the average share above which the window shrinks. One failure
	// alone does not reach it.
	maxFailureShare = 0.15
	// failureShareCap bounds the average, so that it falls below maxFailureShare soon
	// after the last failure.
	failureShareCap = 0.4
	// failureHalfLife is the half-life of the average without requests.
	failureHalfLife = 1500 * time.Millisecond
	// failureGain is the relative decrease of the window per second meanwhile, and the
	// increase from the first success on until it is as large as before.
	failureGain = 4.0
	// maxStep bounds the time that one step accounts for.
	maxStep = 200 * time.Millisecond
)

// End is how an admitted request ended, as evidence about its calls.
type End uint8

// Ends of a request.
const (
	// Unanswered: no instance responded, which says nothing about calls.
	Unanswered End = iota
	// Answered: an instance responded, and no call of it is known not to have run.
	Answered
	// CallNotRun: an instance failed because a call made for the request could not run.
	CallNotRun
)

// Gate bounds the requests of one route and rank in flight. It is not safe for
// concurrent use.
type Gate struct {
	target float64
	signal Signal
	// failureShare is the average share of the requests that failed because a call of
	// theirs could not run, lastFailed is set if the last one did.
	failureShare float64
	lastFailed   bool
	// proven is the window before failures shrank it, 0 once it is reached again.
	proven float64
	// window is the bound, +Inf while the gate is open.
	window   float64
	inFlight int
	// peak is the largest recent number in flight, which decays.
	peak     float64
	lastStep time.Time
}

// NewGate returns a gate that admits every request. urgency lies between 0 for
// the least urgent published rank and 1 for the most urgent.
func NewGate(urgency float64) *Gate {
	return &Gate{target: baseTarget + targetRange*urgency, window: math.Inf(1)}
}

// Observe records the pressure that a response carried.
func (g *Gate) Observe(now time.Time, pressure float64) { g.signal.Observe(now, pressure) }

// Admit decides about one request; random is uniform in [0, 1). retried is set
// for a retry made no sooner than the Retry-After time. Done must follow once an
// admitted request has ended.
func (g *Gate) Admit(now time.Time, retried bool, random float64) bool {
	g.step(now)
	window := g.window
	if retried {
		window *= retryFactor
	}
	if random >= window-float64(g.inFlight) {
		return false
	}
	g.inFlight++
	g.peak = max(g.peak, float64(g.inFlight))
	return true
}

// Done records the end of an admitted request.
func (g *Gate) Done(now time.Time, end End) {
	g.step(now)
	g.inFlight--
	switch end {
	case CallNotRun:
		g.lastFailed = true
		g.failureShare = min(g.failureShare+failureWeight*(1-g.failureShare), failureShareCap)
	case Answered:
		g.lastFailed = false
		g.failureShare -= successWeight * g.failureShare
	case Unanswered:
	}
}

// step moves the window towards the target.
func (g *Gate) step(now time.Time) {
	elapsed := now.Sub(g.lastStep)
	if elapsed <= 0 {
		return
	}
	g.lastStep = now
	g.peak = max(g.peak*math.Exp2(-float64(elapsed)/float64(peakHalfLife)), float64(g.inFlight))
	g.failureShare *= math.Exp2(-float64(elapsed) / float64(failureHalfLife))
	seconds := min(elapsed, maxStep).Seconds()
	if g.failureShare > maxFailureShare {
		g.proven = max(g.proven, min(g.window, g.peak))
		g.shrink(failureGain * seconds)
		return
	}
	deviation := maxDeviation
	if pressure := g.signal.Value(now); pressure > 0 {
		deviation = min(max(math.Log(g.target/pressure), -maxDeviation), maxDeviation)
	}
	if deviation < 0 {
		g.proven = 0
		g.shrink(-gain * deviation * seconds)
		return
	}
	if math.IsInf(g.window, 1) {
		return
	}
	growth := gain * deviation
	if g.window >= g.proven {
		g.proven = 0
	} else if !g.lastFailed {
		growth = failureGain
	}
	trust := 1 - g.failureShare/maxFailureShare
	g.window += growth * trust * (g.window + recoveryOffset) * seconds
	if g.window > openFactor*max(g.peak, 1) {
		g.window = math.Inf(1)
	}
}

// shrink divides the window, or the recent requests in flight if the gate was open, by
// e to the given power.
func (g *Gate) shrink(power float64) {
	g.window = max(min(g.window, max(g.peak, 1))*math.Exp(-power), minWindow)
}

// Closing reports whether the window shrinks because calls of requests can't run.
func (g *Gate) Closing() bool { return g.failureShare > maxFailureShare }

// FailureShare returns the average share of the requests that failed because a call of
// theirs could not run, from 0 to 1.
func (g *Gate) FailureShare() float64 { return g.failureShare }

// Window returns the bound of the requests in flight, +Inf while the gate is open, and
// their number.
func (g *Gate) Window() (window float64, inFlight int) { return g.window, g.inFlight }

// Pressure returns the average pressure that the window follows and the time
// since the last response that carried one. Both are 0 before the first.
func (g *Gate) Pressure(now time.Time) (pressure float64, age time.Duration) {
	if g.signal.updatedAt.IsZero() {
		return 0, 0
	}
	return g.signal.Value(now), now.Sub(g.signal.updatedAt)
}
