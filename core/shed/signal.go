package shed

import (
	"math"
	"time"
)

const (
	// signalTime is the time constant of the average pressure.
	signalTime = 150 * time.Millisecond
	// signalLife is the time after which a pressure that was not confirmed
	// counts as gone.
	signalLife = time.Second
	// leastWeight is what each of several answers in one moment still counts.
	leastWeight = 0.02
)

// TimeoutPressure is what an answer that did not come in time says about the
// pressure of its chain: that work waits there.
const TimeoutPressure = 1.5

// Signal averages the pressure that answers carry. Its zero value has heard
// nothing. It is not safe for concurrent use.
type Signal struct {
	value float64
	at    time.Time
}

// Observe takes the pressure that one answer carried.
func (s *Signal) Observe(now time.Time, pressure float64) {
	if s.at.IsZero() || now.Sub(s.at) > signalLife {
		s.value, s.at = pressure, now
		return
	}
	weight := max(leastWeight, 1-math.Exp(-float64(now.Sub(s.at))/float64(signalTime)))
	s.value += weight * (pressure - s.value)
	s.at = now
}

// Value returns the average, 0 if nothing was heard lately.
func (s *Signal) Value(now time.Time) float64 {
	if s.at.IsZero() || now.Sub(s.at) > signalLife {
		return 0
	}
	return s.value
}
