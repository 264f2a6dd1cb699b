package admission

import (
	"math"
	"time"

	"github.com/toucancove/toucancove/core/target"
)

const (
	// minExcess is the credit that a success returns beyond its own right after
	// a refusal. It doubles every excessDoubling expected service times without
	// another refusal, at most maxDoublings times and up to maxExcess. This extra
	// credit probes for spare capacity.
	minExcess      = 0.005
	maxExcess      = 1
	maxDoublings   = 10
	excessDoubling = 2
	// initialCut is the share of the outstanding requests whose credit is lost
	// at the first refusal: too many are in flight then.
	initialCut = 0.5
	// congestedCut is the credit that a run loses if its response is marked as
	// congested.
	congestedCut = 0.2
	// lessUrgentRatio is the number of outstanding requests of less urgent ranks,
	// relative to those of a rank, above which congestion marks don't reduce the
	// credit of the rank.
	lessUrgentRatio = 2
	// refusalCost is the credit that a refusal costs beyond that of its run.
	refusalCost = 2
	// refusalsEndedAfter is the number of expected service times without a refusal
	// after which refusals count as over.
	refusalsEndedAfter = 6
	// downstreamProbeInterval is the time without a success after which a rank
	// gets the credit for a probe if deeper services refuse no more urgent rank,
	// and downstreamRareProbeInterval is the same if they do.
	downstreamProbeInterval     = 100 * time.Millisecond
	downstreamRareProbeInterval = 2 * time.Second
	// maxCredit is the credit above which a rank is no longer throttled: it has
	// more credit than requests.
	maxCredit = 50
	// throttleWeight is the weight of a new decision in the admitted share.
	throttleWeight = 1.0 / 64
)

// throttle limits, for each rank, the root requests that a deeper service would
// refuse, so that this upstream doesn't work on requests that then fail. It is
// credit-based: each rank has a credit of runs, which successes return and
// refusals don't.
type throttle struct {
	ranks []rankThrottle
}

type rankThrottle struct {
	active      bool    // the rank is throttled
	outstanding int     // root requests admitted and not ended
	credit      float64 // runs that may start
	debt        float64 // credit that the next completions don't return
	lastProbe   int64   // last success or probe, in nanoseconds
	lastRefused int64   // nanoseconds
	admitted    float64 // moving average of the share admitted
}

func newThrottle(ranks int) throttle {
	t := throttle{ranks: make([]rankThrottle, ranks)}
	for i := range t.ranks {
		t.ranks[i].admitted = 1
	}
	return t
}

// allow spends credit for one run and reports whether there was enough.
// expected is the expected service time in nanoseconds.
func (t *throttle) allow(now int64, rank target.Rank, expected float64) bool {
	r := &t.ranks[rank]
	if !r.active {
		r.outstanding++
		return true
	}
	if r.credit < 1 && now-r.lastProbe > t.probeInterval(now, rank, expected) {
		r.credit++
		r.lastProbe = now
	}
	if r.credit > maxCredit {
		r.active, r.admitted = false, 1
		r.outstanding++
		return true
	}
	if r.credit < 1 {
		r.admitted -= r.admitted * throttleWeight
		return false
	}
	r.credit--
	r.outstanding++
	r.admitted += (1 - r.admitted) * throttleWeight
	return true
}

// probeInterval returns the time without a success after which the rank is
// probed, in nanoseconds.
func (t *throttle) probeInterval(now int64, rank target.Rank, expected float64) int64 {
	if t.moreUrgentRefused(now, rank, expected) {
		return int64(downstreamRareProbeInterval)
	}
	return int64(downstreamProbeInterval)
}

// moreUrgentRefused reports whether deeper services refuse a more urgent rank at
// present. Any spare capacity that they have is then left to that rank.
func (t *throttle) moreUrgentRefused(now int64, rank target.Rank, expected float64) bool {
	for i := range t.ranks[:rank] {
		if moreUrgent := &t.ranks[i]; moreUrgent.active && !moreUrgent.refusalsEnded(now, expected) {
			return true
		}
	}
	return false
}

// refusalsEnded reports whether deeper services have stopped refusing the rank.
func (r *rankThrottle) refusalsEnded(now int64, expected float64) bool {
	return now-r.lastRefused > int64(refusalsEndedAfter*expected)
}

// observe updates the credit of the rank at the end of a run.
func (t *throttle) observe(now int64, rank target.Rank, end Completion, expected float64) {
	r := &t.ranks[rank]
	r.outstanding--
	switch end.Outcome {
	case RefusedDownstream:
		if !r.active {
			r.active, r.credit, r.lastProbe = true, 0, now
			r.debt = initialCut * float64(r.outstanding)
		}
		r.lastRefused = now
		r.debt = max(0, r.debt-1)
		r.credit = max(0, r.credit-refusalCost)
	case Succeeded:
		r.lastProbe = now
		if r.debt >= 1 {
			r.debt--
			return
		}
		if end.Congested && !t.lessUrgentDominate(rank) {
			r.observeCongestion(now)
			return
		}
		r.credit++
		if !t.moreUrgentRefused(now, rank, expected) {
			r.credit += r.excess(now, expected)
		}
	case Failed, Shed:
		r.credit++
	}
}

// lessUrgentDominate reports whether more than lessUrgentRatio times as many
// requests of less urgent ranks are outstanding as of the rank. Then the credit
// of those ranks is reduced instead: their responses are marked too if they wait
// in the same queue.
func (t *throttle) lessUrgentDominate(rank target.Rank) bool {
	lessUrgent := 0
	for i := range t.ranks[rank+1:] {
		lessUrgent += t.ranks[int(rank)+1+i].outstanding
	}
	return float64(lessUrgent) > lessUrgentRatio*float64(t.ranks[rank].outstanding)
}

// observeCongestion returns less than the credit of a run, since a queue of a
// deeper service grows.
func (r *rankThrottle) observeCongestion(now int64) {
	if !r.active {
		r.active, r.credit, r.debt = true, 0, 0
	}
	r.lastRefused = now
	r.credit += 1 - congestedCut
}

// excess returns the credit that a success adds beyond its own.
func (r *rankThrottle) excess(now int64, expected float64) float64 {
	serviceTimesSinceRefusal := float64(now-r.lastRefused) / max(1, expected)
	return min(maxExcess, minExcess*math.Exp2(min(maxDoublings, serviceTimesSinceRefusal/excessDoubling)))
}

// returnUnused returns the credit of a request that was admitted but hasn't run.
func (t *throttle) returnUnused(rank target.Rank) {
	t.ranks[rank].outstanding--
	t.ranks[rank].credit++
}

// refuses reports whether the rank counts as refused.
func (t *throttle) refuses(rank target.Rank) bool {
	return t.ranks[rank].admitted < minAdmittedShare
}
