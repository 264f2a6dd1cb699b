package policybench

import (
	"slices"
	"time"
)

// bucketWidth is the length of an interval of the time series of latencies.
const bucketWidth = 250 * time.Millisecond

// bucket holds the latencies of the root requests that completed in one interval.
type bucket struct {
	latencies []time.Duration
}

// Result holds the measurements of a run.
type Result struct {
	scenario *Scenario
	// From and To bound the measurement window, in time since the start of the
	// run. Offered, Completed, Runs and Wasted cover the root requests that arrive
	// in it.
	From, To time.Duration
	// Offered and Completed count root requests by rank and workspace.
	Offered, Completed [Ranks][Workspaces]int
	// Runs counts runs of requests on servers, Wasted those whose root request
	// failed.
	Runs, Wasted int
	// MaxAttempts is the largest number of runs of one root request at the
	// last hop.
	MaxAttempts int
	buckets     []bucket
}

func newResult(s *Scenario) *Result {
	return &Result{
		scenario: s, From: s.measureFrom(), To: s.measureTo(),
		buckets: make([]bucket, s.Duration/bucketWidth+1),
	}
}

// measureFrom returns the start of the second step of demand, or of the run if
// there is only one step.
func (s *Scenario) measureFrom() time.Duration {
	if len(s.Steps) > 1 {
		return s.Steps[1].At
	}
	return 0
}

// measureTo returns the end of the second step of demand, but at most the end of
// the run less the longest deadline, so that every counted request has ended.
func (s *Scenario) measureTo() time.Duration {
	end := s.Duration - slices.Max(s.Deadline[:])
	if len(s.Steps) > 2 {
		return min(end, s.Steps[2].At)
	}
	return end
}

func (r *Result) inWindow(rt *root) bool { return rt.start >= r.From && rt.start < r.To }

func (r *Result) recordOffered(rt *root) {
	if r.inWindow(rt) {
		r.Offered[rt.rank][rt.workspace]++
	}
}

// recordRun records the start of a run on a server; last is set at the last hop.
func (r *Result) recordRun(rt *root, last bool) {
	rt.runs++
	if last {
		rt.lastHopRuns++
		r.MaxAttempts = max(r.MaxAttempts, rt.lastHopRuns)
	}
	if !r.inWindow(rt) {
		return
	}
	r.Runs++
	if rt.ended && !rt.succeeded {
		r.Wasted++
	}
}

func (r *Result) recordEnd(rt *root, now time.Duration) {
	if rt.succeeded {
		b := &r.buckets[now/bucketWidth]
		b.latencies = append(b.latencies, now-rt.start)
	}
	if !r.inWindow(rt) {
		return
	}
	if rt.succeeded {
		r.Completed[rt.rank][rt.workspace]++
	} else {
		r.Wasted += rt.runs
	}
}

// Goodput returns the rate of requests that completed in the window as a share of
// the capacity.
func (r *Result) Goodput() float64 {
	return r.goodputBetween(r.From, r.To)
}

func (r *Result) goodputBetween(from, to time.Duration) float64 {
	n := 0
	for i := from / bucketWidth; i < to/bucketWidth; i++ {
		n += len(r.buckets[i].latencies)
	}
	return float64(n) / (r.scenario.capacity() * (to - from).Seconds())
}

// Completion returns the share of the offered requests of a rank that completed.
func (r *Result) Completion(rank int) float64 {
	return ratio(sum(r.Completed[rank]), sum(r.Offered[rank]))
}

// WastedShare returns the share of runs whose root request failed.
func (r *Result) WastedShare() float64 { return ratio(r.Wasted, r.Runs) }

// WorstWorkspace returns, over all ranks and workspaces, the smallest ratio of
// completed requests to the max-min fair share of the workspace in all completed
// requests of the rank.
func (r *Result) WorstWorkspace() float64 {
	worst := 1.0
	for rank := range Ranks {
		fair := fairShares(r.Offered[rank], sum(r.Completed[rank]))
		for w, f := range fair {
			const minRequests = 200 // requests; smaller samples are too noisy
			if f >= minRequests {
				worst = min(worst, float64(r.Completed[rank][w])/f)
			}
		}
	}
	return worst
}

// fairShares divides total among the demands by max-min fairness.
func fairShares(demand [Workspaces]int, total int) [Workspaces]float64 {
	order := make([]int, Workspaces)
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return demand[a] - demand[b] })
	var shares [Workspaces]float64
	left := float64(total)
	for i, w := range order {
		shares[w] = min(float64(demand[w]), left/float64(Workspaces-i))
		left -= shares[w]
	}
	return shares
}

// RecoveryTime returns the time from the end of a trigger until goodput and the
// 99th percentile of latency have returned to their values before it. They must
// have returned over one second, and over the rest of the run, so that a
// temporary return doesn't count as recovery.
func (r *Result) RecoveryTime(before, trigger time.Duration) time.Duration {
	const referencePeriod = 5 * time.Second
	rate := r.goodputBetween(before-referencePeriod, before)
	p99 := percentile99(r.latenciesBetween(before-referencePeriod, before))
	end := r.scenario.Duration - bucketWidth
	for t := trigger; t < end-time.Second; t += bucketWidth {
		if r.recovered(t, t+time.Second, recoveredShareOneSecond*rate, p99) && r.recovered(t, end, recoveredShareRest*rate, p99) {
			return t - trigger
		}
	}
	return end - trigger
}

const (
	// recoveredShareOneSecond and recoveredShareRest are the shares of the goodput
	// before the trigger that are required over one second and over the rest of
	// the run. The former is lower because one second of Poisson arrivals is noisy.
	recoveredShareOneSecond = 0.85
	recoveredShareRest      = 0.95
	// maxLatencyRise is the largest ratio of the 99th percentile of latency to its
	// value before the trigger.
	maxLatencyRise = 1.5
)

func (r *Result) recovered(from, to time.Duration, rate float64, p99 time.Duration) bool {
	return r.goodputBetween(from, to) >= rate &&
		percentile99(r.latenciesBetween(from, to)) <= time.Duration(maxLatencyRise*float64(p99))
}

func (r *Result) latenciesBetween(from, to time.Duration) []time.Duration {
	var all []time.Duration
	for i := from / bucketWidth; i < to/bucketWidth; i++ {
		all = append(all, r.buckets[i].latencies...)
	}
	return all
}

func percentile99(samples []time.Duration) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return samples[len(samples)*99/100]
}

func sum(counts [Workspaces]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
