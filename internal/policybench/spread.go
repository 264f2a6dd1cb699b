package policybench

import (
	"math"
	"math/rand/v2"
	"time"
)

// Distribution is the distribution of service times.
type Distribution uint8

// Distributions of service times. Their mean is a parameter of sample.
const (
	Constant Distribution = iota
	Exponential
	// HeavyTail is a Pareto distribution with tail index 1.5, truncated at 100
	// times its smallest value.
	HeavyTail
)

// Distributions lists all distributions.
var Distributions = []Distribution{Constant, Exponential, HeavyTail}

// String returns the name of the distribution.
func (d Distribution) String() string {
	return [...]string{"constant", "exponential", "heavy-tail"}[d]
}

const (
	paretoIndex      = 1.5
	paretoTruncation = 100.0
)

// paretoMean is the mean of the truncated Pareto distribution with smallest
// value 1.
var paretoMean = paretoIndex / (paretoIndex - 1) *
	(1 - math.Pow(paretoTruncation, 1-paretoIndex)) / (1 - math.Pow(paretoTruncation, -paretoIndex))

// sample draws a service time with the given mean.
func (d Distribution) sample(rng *rand.Rand, mean time.Duration) time.Duration {
	switch d {
	case Exponential:
		return time.Duration(rng.ExpFloat64() * float64(mean))
	case HeavyTail:
		u := rng.Float64() * (1 - math.Pow(paretoTruncation, -paretoIndex))
		return time.Duration(math.Pow(1-u, -1/paretoIndex) / paretoMean * float64(mean))
	default:
		return mean
	}
}
