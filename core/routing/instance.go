package routing

import (
	"time"

	"github.com/toucancove/toucancove/core/member"
)

const (
	// sampleMaxAge is the age at which a measured value has decayed to the
	// typical value of the table.
	sampleMaxAge = 2 * time.Second
	// latencyWeight is the share of a new sample in an instance's latency.
	latencyWeight = 0.2
	// tableWeight is the share of a new sample in the table's typical values.
	tableWeight = 0.05
	// zoneLatencyRiseTime is the time constant with which the lowest zone
	// latency rises towards the present one.
	zoneLatencyRiseTime = 60 * time.Second
	// slowZoneFactor is the ratio of the own zone's latency to the other zone's
	// above which requests go to the other zone, whatever the guards report.
	slowZoneFactor = 3
	// minZoneWeight is the minimum share of a new sample in a zone's latency.
	minZoneWeight = 0.02
	// minZoneSamples is the number of samples that a zone's latency needs before
	// zones are compared by it.
	minZoneSamples = 50
	// slowStartInitialShare is the share of its picks that a new instance
	// accepts at the beginning of slow start.
	slowStartInitialShare = 0.1
	// drainingProbeDelay is the time after which an instance that reported to be
	// draining is probed.
	drainingProbeDelay = 10 * time.Second
)

// sample is an exponentially weighted moving average that decays with age.
type sample struct {
	value time.Duration
	at    time.Time
}

func (s *sample) add(now time.Time, v time.Duration, weight float64) {
	if s.at.IsZero() {
		s.value = v
	} else {
		s.value += time.Duration(weight * float64(v-s.value))
	}
	s.at = now
}

// estimate returns the value, which decays linearly towards typical as it ages.
func (s *sample) estimate(now time.Time, typical time.Duration) time.Duration {
	if s.at.IsZero() {
		return typical
	}
	age := now.Sub(s.at)
	if age >= sampleMaxAge {
		return typical
	}
	if age < 0 {
		age = 0
	}
	stale := float64(age) / float64(sampleMaxAge)
	return s.value + time.Duration(stale*float64(typical-s.value))
}

// zoneStats is what the entry measured at the instances of one zone.
type zoneStats struct {
	zone    member.Zone
	network sample
	latency sample
	// samples is the number of samples in latency.
	samples int
}

// instance is the table's state of one instance.
type instance struct {
	// The State of Candidate is the last that the instance itself reported.
	Candidate
	zone *zoneStats
	// listed is the state according to the list.
	listed State
	// stateReportedAt is when the state was last reported. stateProbeAt is when
	// an instance that is not Serving may be probed.
	stateReportedAt time.Time
	stateProbeAt    time.Time
	// lastContact is when the instance last reported its boot id.
	lastContact time.Time
	// slowStartedAt is the beginning of slow start, zero once it has ended.
	slowStartedAt time.Time

	inFlight int
	// waitingSince is when the last response was received, or when the first of
	// the requests in flight or the last probe was sent, whichever is latest.
	waitingSince time.Time
	latency      sample
	queueDelay   sample

	// penaltyUntil is the end of the failure penalty. Each failure counts as a
	// request in flight for one typical latency, so that an instance that fails
	// fast does not attract traffic.
	penaltyUntil time.Time
	// failureRate is the moving average of failed attempts, from 0 to 1.
	failureRate float64
	// suspectUntil is the end of the current backoff, zero without one.
	suspectUntil time.Time
	ejected      bool
	ejections    int
	probing      bool
	// connectFailed is set if the last failure was a failed connect. A probe
	// that fails in the same way did not run, so any request may probe.
	connectFailed bool
}

// suspect reports whether the instance is in backoff or has been unresponsive
// with requests in flight.
func (i *instance) suspect(now time.Time, hangTimeout time.Duration) bool {
	if now.Before(i.suspectUntil) {
		return true
	}
	if i.inFlight >= minHungRequests {
		hangTimeout /= hangTimeoutDivisor
	}
	return i.inFlight > 0 && now.Sub(i.waitingSince) > hangTimeout
}

// acceptsPick reports whether an instance in slow start accepts this pick. It
// ends the slow start when its time is over.
func (i *instance) acceptsPick(now time.Time, random uint64, slowStart time.Duration) bool {
	age := now.Sub(i.slowStartedAt)
	if age >= slowStart {
		i.slowStartedAt = time.Time{}
		return true
	}
	share := slowStartInitialShare + (1-slowStartInitialShare)*float64(age)/float64(slowStart)
	return float64(random>>11)/(1<<53) < share
}

// acceptsRequests reports whether the instance accepts new requests, according
// to both the list and its own reports.
func (i *instance) acceptsRequests() bool { return i.listed == Serving && i.State == Serving }

// updateState records the state reported on a response to an attempt that was
// sent at the given time. A late response to an attempt that was sent before the
// instance last reported to be leaving or draining does not end that state.
func (i *instance) updateState(now, sent time.Time, s State, leavingProbeDelay time.Duration) {
	if s == Serving && i.State != Serving {
		if sent.Before(i.stateReportedAt) {
			return
		}
		i.slowStartedAt = now
	}
	i.setState(now, s, leavingProbeDelay)
}

// setState records the reported state and when it may be probed.
func (i *instance) setState(now time.Time, s State, leavingProbeDelay time.Duration) {
	i.State = s
	i.stateReportedAt = now
	switch s {
	case Draining:
		i.stateProbeAt = now.Add(drainingProbeDelay)
	case Leaving:
		i.stateProbeAt = now.Add(leavingProbeDelay)
	case Serving:
		i.stateProbeAt = time.Time{}
	}
}

// updateBoot records the boot id and discards what is known of an earlier boot.
func (i *instance) updateBoot(now time.Time, boot member.BootID) {
	known := i.Boot != 0
	i.Boot = boot
	if !known {
		return
	}
	i.setState(now, Serving, 0)
	i.slowStartedAt = now
	i.latency = sample{}
	i.queueDelay = sample{}
	i.penaltyUntil = time.Time{}
	i.failureRate = 0
	i.suspectUntil = time.Time{}
	i.ejected = false
	i.ejections = 0
	i.probing = false
}
