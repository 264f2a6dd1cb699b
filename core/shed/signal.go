package shed

import (
	"math"
	"time"
)

const (
	// signalTimeConstant is the time constant of the average pressure.
	signalTimeConstant = 150 * time.Millisecond
	// signalLifetime is the time after the last response at which the average
	// expires.
	signalLifetime = time.Second
	// minWeight is the smallest weight of a response, so that each of several
	// responses at one moment counts.
	minWeight = 0.02
)

// TimeoutPressure is the pressure assumed for a chain whose response did not
// arrive in time. It is above 1, since requests wait in such a chain.
const TimeoutPressure = 1.5

// Signal is the exponential moving average of the pressure that responses
// carry. Its zero value is empty. It is not safe for concurrent use.
type Signal struct {
	value     float64
	updatedAt time.Time
}

// Observe records the pressure that one response carried.
func (s *Signal) Observe(now time.Time, pressure float64) {
	if s.updatedAt.IsZero() || now.Sub(s.updatedAt) > signalLifetime {
		s.value, s.updatedAt = pressure, now
		return
	}
	weight := max(minWeight, 1-math.Exp(-float64(now.Sub(s.updatedAt))/float64(signalTimeConstant)))
	s.value += weight * (pressure - s.value)
	s.updatedAt = now
}

// Value returns the average, or 0 if it is empty or has expired.
func (s *Signal) Value(now time.Time) float64 {
	if s.updatedAt.IsZero() || now.Sub(s.updatedAt) > signalLifetime {
		return 0
	}
	return s.value
}
