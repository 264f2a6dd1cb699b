package retry

import (
	"math"
	"time"
)

const (
	// budgetRatio is the allowed ratio of recent retries to recent successes.
	budgetRatio = 0.1
	// budgetFloor is the number of recent retries that are allowed regardless of
	// successes.
	budgetFloor = 3
	// budgetLife is the half-life of the counts of successes and retries.
	budgetLife = 5 * time.Second
)

// Budget is the retry budget of one destination: it bounds the retries by the
// recent successes. Its zero value uses the limits of this package.
type Budget struct {
	successes float64
	retries   float64
	at        time.Time

	limited bool
	ratio   float64
	floor   float64
	life    time.Duration
}

// SetLimits replaces the limits: ratio is the allowed ratio of recent retries to
// recent successes, floor the number of recent retries that are allowed
// regardless of successes, and life the half-life of both counts.
func (b *Budget) SetLimits(ratio, floor float64, life time.Duration) {
	b.limited, b.ratio, b.floor, b.life = true, ratio, floor, life
}

func (b *Budget) limits() (ratio, floor float64, life time.Duration) {
	if b.limited {
		return b.ratio, b.floor, b.life
	}
	return budgetRatio, budgetFloor, budgetLife
}

// Succeeded records a completed attempt, either the first or a retry.
func (b *Budget) Succeeded(now time.Time) {
	b.fade(now)
	b.successes++
}

// Take reports whether a retry is allowed, and counts it if it is.
func (b *Budget) Take(now time.Time) bool {
	b.fade(now)
	ratio, floor, _ := b.limits()
	if b.retries+1 > floor+ratio*b.successes {
		return false
	}
	b.retries++
	return true
}

func (b *Budget) fade(now time.Time) {
	passed := now.Sub(b.at)
	if b.at.IsZero() || passed > 0 {
		_, _, life := b.limits()
		factor := math.Exp2(-float64(passed) / float64(life))
		b.successes *= factor
		b.retries *= factor
		b.at = now
	}
}
