package admission

import (
	"math"
	"time"

	"github.com/toucancove/toucancove/core/target"
)

const (
	// minRankSamples is the number of runs of a rank after which its own
	// service time is used.
	minRankSamples = 8
	// rankLifetime is the time after the last run of a rank for which its own
	// service time is used.
	rankLifetime = time.Second
	// staleAfter is the shortest time without a finished run after which an
	// estimate counts as stale. From then on it halves once in every such time.
	staleAfter = 100 * time.Millisecond
)

// serviceTimes estimates service times by rank. The ranks differ, since requests
// of more urgent ranks wait less in the queues of deeper services.
type serviceTimes struct {
	all   serviceTime
	ranks []serviceTime
}

// serviceTime is the moving mean of the service time of finished runs.
type serviceTime struct {
	latency clippedMean
	lastEnd int64 // nanoseconds
}

func newServiceTimes(ranks int) serviceTimes {
	return serviceTimes{ranks: make([]serviceTime, ranks)}
}

// recordEnd records the end of a run. A run that succeeded counts; a cancelled
// one counts only if it took longer than the mean, since its service time is
// only known to be at least that long.
func (s *serviceTimes) recordEnd(now int64, rank target.Rank, latency float64, outcome Outcome) {
	for _, t := range []*serviceTime{&s.all, &s.ranks[rank]} {
		if now-t.lastEnd > int64(rankLifetime) {
			t.latency.samples = 0
		}
		if outcome == Succeeded || (outcome == Cancelled && latency > t.latency.mean) {
			t.latency.add(latency)
		}
		t.lastEnd = now
	}
}

// of returns the estimate for a rank.
func (s *serviceTimes) of(now int64, rank target.Rank) *serviceTime {
	t := &s.ranks[rank]
	if t.latency.samples >= minRankSamples && now-t.lastEnd < int64(rankLifetime) {
		return t
	}
	return &s.all
}

// expected returns the expected service time in nanoseconds.
func (t *serviceTime) expected(now int64) float64 {
	return t.latency.mean * t.confidence(now)
}

// conservative returns a service time that most runs don't exceed, in
// nanoseconds.
func (t *serviceTime) conservative(now int64) float64 {
	return (t.latency.mean + t.latency.dev) * t.confidence(now)
}

// confidence returns the factor of at most 1 that is applied to the estimate. It
// decays while no run ends, so that a stale estimate doesn't refuse all requests
// forever.
func (t *serviceTime) confidence(now int64) float64 {
	staleTime := max(float64(staleAfter), clipFactor*t.latency.mean)
	idle := float64(now-t.lastEnd) - staleTime
	if idle <= 0 {
		return 1
	}
	return math.Exp2(-idle / staleTime)
}
