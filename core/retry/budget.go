package retry

import (
	"math"
	"time"
)

const (
	// budgetRatio is the allowed ratio of recent retries to recent successes.
	budgetRatio = 0.1
	// budgetMinRetries is the number of recent retries that are allowed
	// regardless of successes.
	budgetMinRetries = 3
	// budgetHalfLife is the half-life of the counts of successes and retries.
	budgetHalfLife = 5 * time.Second
)

// Budget is the retry budget of one destination: it bounds the retries by the
// recent successes.
type Budget struct {
	successes float64
	retries   float64
	at        time.Time
}

// Succeeded records a completed attempt, either the first or a retry.
func (b *Budget) Succeeded(now time.Time) {
	b.decay(now)
	b.successes++
}

// Take reports whether a retry is allowed, and counts it if it is.
func (b *Budget) Take(now time.Time) bool {
	b.decay(now)
	if b.retries+1 > budgetMinRetries+budgetRatio*b.successes {
		return false
	}
	b.retries++
	return true
}

func (b *Budget) decay(now time.Time) {
	elapsed := now.Sub(b.at)
	if b.at.IsZero() || elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(budgetHalfLife))
		b.successes *= factor
		b.retries *= factor
		b.at = now
	}
}
