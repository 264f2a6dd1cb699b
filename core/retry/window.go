package retry

import "time"

const (
	// bucketsPerWindow is the resolution of the counts of a WindowBudget.
	bucketsPerWindow = 20
	// keptBuckets hold the window that ends now and the one before it, and the bucket
	// under way.
	keptBuckets = 2*bucketsPerWindow + 1
	// paceBuckets is the number of buckets, with the one under way, in which at most
	// paceShare of the retries of a window may be spent. A service that rejects for
	// several seconds would otherwise use up all of them with the requests that are
	// under way when it begins.
	paceBuckets = 2
	paceShare   = 0.2
)

// WindowBudget is a retry budget of one destination: it bounds the retries in any window
// by the requests in it, in the window before, or in the one half a window earlier,
// whichever has most. Requests before a fault thus pay for retries during it, while few
// requests are let in. Its zero value allows none. It is not safe for concurrent use.
type WindowBudget struct {
	ratio, slack float64
	window       time.Duration

	start    time.Time
	current  int64 // index of the bucket under way since start
	requests [keptBuckets]int
	retries  [keptBuckets]int
}

// SetLimits sets the limits: ratio is the allowed ratio of retries to requests over a
// window, slack the number of retries that each window allows regardless of requests.
// Counts of a window of another length are dropped.
func (b *WindowBudget) SetLimits(ratio, slack float64, window time.Duration) {
	if window != b.window {
		*b = WindowBudget{}
	}
	b.ratio, b.slack, b.window = ratio, slack, window
}

// Requested records a request, not counting its retries.
func (b *WindowBudget) Requested(now time.Time) {
	if b.advance(now) {
		b.requests[b.current%keptBuckets]++
	}
}

// Take reports whether a retry is allowed, and counts it if it is.
func (b *WindowBudget) Take(now time.Time) bool {
	if !b.advance(now) || !b.paced() {
		return false
	}
	// A window that begins at any bucket must keep its bound with the requests so far.
	requests := cumulate(&b.requests, b.current)
	retries := cumulate(&b.retries, b.current)
	const end = keptBuckets
	for from := end - 1; from >= bucketsPerWindow; from-- {
		most := max(
			requests[end]-requests[from],
			requests[from]-requests[from-bucketsPerWindow],
			requests[min(from+bucketsPerWindow/2, end)]-requests[from-bucketsPerWindow/2],
		)
		if float64(retries[end]-retries[from]+1) > b.slack+b.ratio*float64(most) {
			return false
		}
	}
	b.retries[b.current%keptBuckets]++
	return true
}

// advance moves on to the bucket of now. It returns false without limits.
func (b *WindowBudget) advance(now time.Time) bool {
	if b.window < bucketsPerWindow {
		return false
	}
	if b.start.IsZero() {
		b.start = now
	}
	next := int64(now.Sub(b.start) / (b.window / bucketsPerWindow))
	for steps := 0; b.current < next && steps < keptBuckets; steps++ {
		b.current++
		b.requests[b.current%keptBuckets], b.retries[b.current%keptBuckets] = 0, 0
	}
	if b.current < next {
		// All buckets are empty now; their positions stay those of the index.
		b.current = next
	}
	return true
}

// paced reports whether another retry fits into the last paceBuckets.
func (b *WindowBudget) paced() bool {
	requests := cumulate(&b.requests, b.current)
	most := max(requests[keptBuckets]-requests[keptBuckets-bucketsPerWindow], requests[bucketsPerWindow+1]-requests[1])
	retries := cumulate(&b.retries, b.current)
	spent := retries[keptBuckets] - retries[keptBuckets-paceBuckets]
	return float64(spent+1) <= b.slack+paceShare*b.ratio*float64(most)
}

// cumulate returns the sums of the buckets up to the one under way: element i is the sum
// of the first i of them, the oldest first.
func cumulate(buckets *[keptBuckets]int, current int64) (sums [keptBuckets + 1]int) {
	for i := range keptBuckets {
		sums[i+1] = sums[i] + buckets[(current+1+int64(i))%keptBuckets]
	}
	return sums
}
