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
// recent successes. Its zero value uses the limits of this package.
type Budget struct {
	successes float64
	retries   float64
	at        time.Time

	customLimits bool
	ratio        float64
	minRetries   float64
	halfLife     time.Duration
}

// SetLimits replaces the limits: ratio is the allowed ratio of recent retries to
// recent successes, minRetries the number of recent retries that are allowed
// regardless of successes, and halfLife the half-life of both counts.
func (b *Budget) SetLimits(ratio, minRetries float64, halfLife time.Duration) {
	b.customLimits, b.ratio, b.minRetries, b.halfLife = true, ratio, minRetries, halfLife
}

func (b *Budget) limits() (ratio, minRetries float64, halfLife time.Duration) {
	if b.customLimits {
		return b.ratio, b.minRetries, b.halfLife
	}
	return budgetRatio, budgetMinRetries, budgetHalfLife
}

// Succeeded records a completed attempt, either the first or a retry.
func (b *Budget) Succeeded(now time.Time) {
	b.decay(now)
	b.successes++
}

// Take reports whether a retry is allowed, and counts it if it is.
func (b *Budget) Take(now time.Time) bool {
	b.decay(now)
	ratio, minRetries, _ := b.limits()
	if b.retries+1 > minRetries+ratio*b.successes {
		return false
	}
	b.retries++
	return true
}

func (b *Budget) decay(now time.Time) {
	elapsed := now.Sub(b.at)
	if b.at.IsZero() || elapsed > 0 {
		_, _, halfLife := b.limits()
		factor := math.Exp2(-float64(elapsed) / float64(halfLife))
		b.successes *= factor
		b.retries *= factor
		b.at = now
	}
}
