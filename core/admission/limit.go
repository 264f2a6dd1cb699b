package admission

import "math"

const (
	// initialLimit is the limit after a cold start.
	initialLimit = 16
	// minLimit is the smallest limit, so that a failing upstream is still measured.
	minLimit = 2
	// slowStartFactor is the factor by which the limit rises in each window of slow
	// start.
	slowStartFactor = 1.3
	// slowStartSamples is the number of runs started in a window of slow start.
	slowStartSamples = 32
	// referenceSamples is the number of finished runs that the reference of slow
	// start needs for a comparison: the first runs to finish are shorter than the
	// average.
	referenceSamples = 64
	// slowStartExitRise is the rise of mean latency, as a factor, that ends slow
	// start if two windows in a row show it.
	slowStartExitRise = 1.25
	// flatRise is the rise of latency, as a factor, below which a concurrency
	// counts as not exceeding the slots.
	flatRise = 1.1
	// slowdownFactor is the rise of latency, relative to the rise of
	// concurrency, above which the upstream itself has become slower.
	slowdownFactor = 1.5
	// significantErrors is the number of standard errors above which a difference
	// counts as significant.
	significantErrors = 2.5
	// singleWindowErrors is the same for a difference that ends slow start after
	// one window instead of two.
	singleWindowErrors = 4
	// headroom is the ratio of the limit after slow start to the estimated slots.
	headroom = 1.3
	// lowShare is the share of the limit that is used in a low phase.
	lowShare = 0.8
	// lowSamples is the number of runs started in a low phase.
	lowSamples = 96
	// minSamples is the number of finished runs that a comparison needs.
	minSamples = 16
	// lowPhaseLatencies is the length of a low phase in mean latencies.
	lowPhaseLatencies = 3
	// maxLowPhaseLatencies is the length, in mean latencies, at which a low phase
	// ends even if it has started fewer than lowSamples runs.
	maxLowPhaseLatencies = 10
	// highPhaseRatio is the length of a high phase in low phases once the limit
	// has converged, and searchPhaseRatio before that.
	highPhaseRatio   = 9
	searchPhaseRatio = 3
	// searchComparisons is the number of comparisons after slow start from which
	// the limit may count as converged.
	searchComparisons = 3
	// limitReachedShare is the share of runs that must reach the limit for a phase
	// to be used to adjust the limit.
	limitReachedShare = 0.2
	// targetElasticity is the target elasticity: the relative change of latency
	// for a relative change of concurrency. The elasticity is 0 if all requests
	// find a free slot in the upstream, and 1 if one more request only lengthens
	// the wait in it.
	targetElasticity = 0.6
	// searchGain and convergedGain are the parts of a measured error that one
	// comparison corrects, before and after the limit has converged.
	searchGain    = 0.5
	convergedGain = 0.25
	// trendWeight is the weight of a new elasticity in the trend.
	trendWeight = 0.3
	// restartTrend is the trend of the elasticity below which slow start resumes,
	// and convergedTolerance the distance of the trend from the target within
	// which the limit counts as converged.
	restartTrend       = 0.15
	convergedTolerance = 0.25
	// minLogRatio is the smallest logarithm of the ratio of concurrencies of two
	// phases that are compared.
	minLogRatio = 0.1
	// clipFactor is the largest latency sample in mean latencies, so that a heavy
	// tail doesn't dominate the comparison.
	clipFactor = 4
	// smoothingSamples is the number of samples over which the mean latency is
	// smoothed.
	smoothingSamples = 64
	// failWeight is the weight of a new outcome in the moving average of the share
	// of failed runs.
	failWeight = 1.0 / 32
	// failShare is the share of failed runs above which the limit is reduced.
	failShare = 0.5
	// failCut and shedCut are the factors of a multiplicative decrease after
	// failures and after a refusal by the upstream itself. There is at most one
	// decrease per mean latency.
	failCut = 0.7
	shedCut = 0.95
)

// mode is what the limiter does in a phase.
type mode uint8

const (
	slowStart mode = iota // the limit grows until latency rises
	highPhase             // the full limit is used
	lowPhase              // lowShare of the limit is used, to compare latencies
)

// keptPhases is the number of phases whose statistics are kept. A run counts for
// the phase that it started in, so comparisons wait until nearly all of the
// runs of a phase have finished; otherwise short runs would be overrepresented.
const keptPhases = 4

// limiter is an adaptive concurrency limiter: it estimates from latencies how
// many requests the upstream can run together, which are called its slots.
//
// Below the upstream's slots latency doesn't depend on concurrency; above them
// it rises in proportion, since requests wait inside the upstream. After slow
// start the limiter alternates between a long phase at its limit and a short one
// at a share of it and compares the two latencies. The comparison uses no latency
// baseline from the past, so a slowdown of the upstream or of a deeper service
// isn't mistaken for a lack of slots.
type limiter struct {
	limit           float64
	maximum         float64
	mode            mode
	phase           uint32
	phaseStart      int64 // start of the phase in nanoseconds
	lowPhaseTime    int64 // length of the last low phase in nanoseconds
	sums            [keptPhases]phaseSum
	latency         clippedMean // mean latency of runs
	ownLatency      clippedMean // the same less the time of calls to deeper services
	reference       phaseSum    // sum of the windows of slow start without a rise of latency
	risen           bool        // the last window of slow start showed a rise of latency
	trend           float64     // moving average of the elasticity
	flatConcurrency float64     // largest concurrency without a rise of latency
	comparisons     int         // comparisons since slow start
	failedShare     float64     // moving average of the share of failed runs
	lastCut         int64       // nanoseconds
}

func newLimiter(now int64, maximum int) limiter {
	return limiter{
		limit: min(initialLimit, float64(maximum)), maximum: float64(maximum),
		phaseStart: now, trend: targetElasticity,
	}
}

// allowed returns how many requests may run together now.
func (l *limiter) allowed() int {
	if l.mode == lowPhase {
		return max(1, int(l.limit*lowShare))
	}
	return max(1, int(math.Round(l.limit)))
}

// started records the start of a run and returns its phase. inFlight includes
// the run.
func (l *limiter) started(now int64, inFlight int) uint32 {
	l.advance(now)
	sum := &l.sums[l.phase%keptPhases]
	sum.started++
	sum.inFlight += float64(inFlight)
	if inFlight >= l.allowed() {
		sum.saturated++
	}
	return l.phase
}

// finished records the end of a run that started in the phase. Both times are
// in nanoseconds; deeper is the part of the latency that was spent in calls to
// deeper services.
func (l *limiter) finished(now int64, phase uint32, latency, deeper float64, outcome Outcome) {
	switch outcome {
	case Succeeded:
		l.sample(phase, latency, deeper)
		l.failedShare -= l.failedShare * failWeight
	case Cancelled:
		// The latency is only known to be longer than this.
		if latency > l.latency.mean {
			l.sample(phase, latency, deeper)
		}
	case RefusedDownstream:
		// The outcome doesn't depend on this upstream.
	case Shed:
		l.cut(now, shedCut)
	case Failed:
		l.failedShare += (1 - l.failedShare) * failWeight
		if l.failedShare > failShare {
			l.cut(now, failCut)
		}
	}
	l.advance(now)
}

func (l *limiter) sample(phase uint32, latency, deeper float64) {
	l.latency.add(latency)
	own := l.ownLatency.add(latency - deeper)
	if l.phase-phase < keptPhases {
		l.sums[phase%keptPhases].add(own, deeper)
	}
}

// cut decreases the limit, at most once per mean latency.
func (l *limiter) cut(now int64, factor float64) {
	if now-l.lastCut < int64(l.latency.mean) {
		return
	}
	l.lastCut = now
	l.flatConcurrency *= factor
	l.limit = l.clamp(l.limit * factor)
	if l.failedShare > failShare {
		l.restart(now)
	}
}

// restart begins slow start at the current limit.
func (l *limiter) restart(now int64) {
	l.nextPhase(now, slowStart)
	l.reference = phaseSum{}
	l.risen = false
}

// nextPhase begins a phase.
func (l *limiter) nextPhase(now int64, m mode) {
	l.phase++
	l.mode = m
	l.phaseStart = now
	l.sums[l.phase%keptPhases] = phaseSum{}
}

// advance ends the phase if it has run long enough.
func (l *limiter) advance(now int64) {
	sum := &l.sums[l.phase%keptPhases]
	elapsed := now - l.phaseStart
	switch l.mode {
	case slowStart:
		if sum.started >= slowStartSamples && elapsed >= int64(2*l.latency.mean) && l.latency.mean > 0 {
			l.endWindow(now)
		}
	case highPhase:
		if elapsed >= l.highPhaseTime() && sum.started >= lowSamples {
			l.endHighPhase(now, sum)
		}
	case lowPhase:
		if elapsed >= int64(lowPhaseLatencies*l.latency.mean) && (sum.started >= lowSamples || elapsed >= int64(maxLowPhaseLatencies*l.latency.mean)) {
			l.lowPhaseTime = elapsed
			l.compare()
			if l.trend < restartTrend {
				l.restart(now)
				return
			}
			l.nextPhase(now, highPhase)
		}
	}
}

// endHighPhase starts a low phase if the limit was reached. Otherwise a
// comparison wouldn't show whether the limit is right.
func (l *limiter) endHighPhase(now int64, sum *phaseSum) {
	if !sum.limitReached() {
		l.nextPhase(now, highPhase)
		return
	}
	l.nextPhase(now, lowPhase)
}

// highPhaseTime returns the length of a high phase in nanoseconds.
func (l *limiter) highPhaseTime() int64 {
	ratio := int64(searchPhaseRatio)
	if l.converged() {
		ratio = highPhaseRatio
	}
	return ratio * max(l.lowPhaseTime, int64(lowPhaseLatencies*l.latency.mean))
}

// converged reports whether the elasticity of recent comparisons is near the
// target.
func (l *limiter) converged() bool {
	return l.comparisons >= searchComparisons && math.Abs(l.trend-targetElasticity) <= convergedTolerance
}

// endWindow ends a window of slow start. It evaluates the window before, whose
// runs have finished by now.
func (l *limiter) endWindow(now int64) {
	before := &l.sums[(l.phase-1)%keptPhases]
	current := &l.sums[l.phase%keptPhases]
	saturated := current.limitReached()
	switch l.classify(before) {
	case riseByQueueing:
		if l.risen || before.significantlyAbove(&l.reference, slowStartExitRise, singleWindowErrors) {
			l.endSlowStart(now, before)
			return
		}
		l.risen = true
	case riseBySlowdown:
		// The slots are somewhere between the concurrency at which latency was
		// flat and the limit. A limit far above them would let requests wait
		// inside the upstream, where class order isn't kept.
		l.risen = false
		l.limit = l.clamp(max(math.Sqrt(l.limit*min(l.limit, l.reference.meanInFlight())), min(l.limit, l.flatConcurrency)))
		l.reference = phaseSum{}
		saturated = false
	case noRise:
		l.risen = false
		l.recordFlat(before)
		l.reference.merge(before)
	}
	if saturated {
		l.limit = l.clamp(l.limit * slowStartFactor)
	}
	l.nextPhase(now, slowStart)
}

// recordFlat records the concurrency of a window whose latency was about the same
// as in the reference.
func (l *limiter) recordFlat(window *phaseSum) {
	if window.done < slowStartSamples/2 || l.reference.done < slowStartSamples/2 {
		return
	}
	if latencyRatio(window, &l.reference) < flatRise {
		l.flatConcurrency = max(l.flatConcurrency, window.meanInFlight())
	}
}

// rise is the cause of a rise of latency above the reference of slow start.
type rise uint8

const (
	noRise rise = iota
	// riseByQueueing means that more requests ran than the upstream has slots.
	riseByQueueing
	// riseBySlowdown means that the upstream itself has become slower: latency
	// rose more than concurrency can explain.
	riseBySlowdown
)

// classify compares the latency of a window with the reference.
func (l *limiter) classify(window *phaseSum) rise {
	if !window.significantlyAbove(&l.reference, slowStartExitRise, significantErrors) {
		return noRise
	}
	concurrencyRise := window.meanInFlight() / l.reference.meanInFlight()
	if latencyRatio(window, &l.reference) > slowdownFactor*concurrencyRise {
		return riseBySlowdown
	}
	return riseByQueueing
}

// endSlowStart sets the limit from the window that ended slow start. Latency was
// flat up to the concurrency of the reference, so the limit isn't set lower.
func (l *limiter) endSlowStart(now int64, window *phaseSum) {
	l.limit = l.clamp(max(l.estimatedSlots(window)*headroom, l.flatConcurrency))
	l.trend, l.comparisons = targetElasticity, 0
	l.nextPhase(now, highPhase)
}

// estimatedSlots estimates the number of requests that the upstream serves at
// once from a window with raised latency, whose other requests only waited in
// the upstream.
func (l *limiter) estimatedSlots(window *phaseSum) float64 {
	return window.meanInFlight() / latencyRatio(window, &l.reference)
}

// clamp returns the limit within its bounds.
func (l *limiter) clamp(limit float64) float64 {
	return min(l.maximum, max(minLimit, limit))
}

// compare adjusts the limit by the latencies of the high and the low phase of the
// cycle before this one.
func (l *limiter) compare() {
	highSum := &l.sums[(l.phase-3)%keptPhases]
	lowSum := &l.sums[(l.phase-2)%keptPhases]
	if highSum.done < minSamples || lowSum.done < minSamples {
		return
	}
	logRatio := math.Log(highSum.meanInFlight() / lowSum.meanInFlight())
	if logRatio < minLogRatio {
		return
	}
	elasticity := math.Log(latencyRatio(highSum, lowSum)) / logRatio
	weight := min(1, float64(lowSum.done)/lowSamples)
	l.adjust(weight*logRatio, min(1.5, max(-0.5, elasticity)))
}

// adjust changes the limit to reduce the error of the elasticity. step is the
// change of the logarithm of the limit for an error of one at a gain of one.
func (l *limiter) adjust(step, elasticity float64) {
	l.comparisons++
	if elasticity > targetElasticity {
		l.flatConcurrency = min(l.flatConcurrency, l.limit)
	}
	l.trend += (elasticity - l.trend) * max(trendWeight, 1/float64(l.comparisons+1))
	gain := searchGain
	if l.converged() {
		gain = convergedGain
	}
	change := math.Exp(gain * step * (targetElasticity - elasticity))
	l.limit = l.clamp(l.limit * change)
}
