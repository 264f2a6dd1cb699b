package admission

import "math"

// phaseSum holds statistics of the runs that started in one phase of the
// limiter. Own latency is the latency of a run less the time of its calls to
// deeper services. It is clipped, so that a heavy tail doesn't dominate
// comparisons. Times are in nanoseconds.
type phaseSum struct {
	started   int
	inFlight  float64 // sum, over started runs, of the runs in flight at the start
	saturated int     // started runs at whose start the limit was reached
	done      int     // finished runs
	own       float64 // sum of own latencies of finished runs
	squares   float64 // sum of the squares of own latencies
	deeper    float64 // sum of times in calls to deeper services
}

func (p *phaseSum) add(own, deeper float64) {
	p.done++
	p.own += own
	p.squares += own * own
	p.deeper += deeper
}

func (p *phaseSum) merge(o *phaseSum) {
	p.started += o.started
	p.inFlight += o.inFlight
	p.saturated += o.saturated
	p.done += o.done
	p.own += o.own
	p.squares += o.squares
	p.deeper += o.deeper
}

func (p *phaseSum) meanOwn() float64      { return p.own / float64(p.done) }
func (p *phaseSum) meanInFlight() float64 { return p.inFlight / float64(p.started) }

// limitReached reports whether enough runs of the phase reached the limit for
// the phase to be used to adjust the limit.
func (p *phaseSum) limitReached() bool {
	return float64(p.saturated) >= limitReachedShare*float64(p.started)
}

// variance returns the square of the standard error of the mean own latency.
func (p *phaseSum) variance() float64 {
	mean := p.meanOwn()
	return max(0, p.squares/float64(p.done)-mean*mean) / float64(p.done)
}

// latencyRatio returns the latency of a phase relative to that of o, with the
// time in deeper services of p added to both own latencies, so that a change of
// deeper services isn't mistaken for queueing in this upstream.
func latencyRatio(p, o *phaseSum) float64 {
	deeper := p.deeper / float64(p.done)
	return (p.meanOwn() + deeper) / (o.meanOwn() + deeper)
}

// significantlyAbove reports whether the latency is more than factor times that
// of o, and by more than the given number of standard errors, so that the
// difference is unlikely to be random.
func (p *phaseSum) significantlyAbove(o *phaseSum, factor, standardErrors float64) bool {
	if p.done < slowStartSamples/2 || o.done < referenceSamples {
		return false
	}
	rise := p.meanOwn() - o.meanOwn()
	return latencyRatio(p, o) > factor && rise > standardErrors*math.Sqrt(p.variance()+o.variance())
}

// clippedMean is a moving mean in which each sample is bounded by clipFactor
// times the mean once there are smoothingSamples samples.
type clippedMean struct {
	mean    float64 // nanoseconds; 0 before the first sample
	dev     float64 // moving mean absolute deviation, in nanoseconds
	samples int     // up to smoothingSamples
}

// add includes a sample and returns it clipped.
func (m *clippedMean) add(sample float64) float64 {
	m.samples = min(m.samples+1, smoothingSamples)
	if m.samples == smoothingSamples {
		sample = min(sample, clipFactor*m.mean)
	}
	m.dev += (math.Abs(sample-m.mean) - m.dev) / float64(m.samples)
	m.mean += (sample - m.mean) / float64(m.samples)
	return sample
}
