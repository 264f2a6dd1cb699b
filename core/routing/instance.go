package routing

import (
	"time"

	"github.com/toucancove/toucancove/core/member"
)

const (
	// sampleLife is the age at which a measured value has decayed to the typical
	// value of the table.
	sampleLife = 2 * time.Second
	// latencyWeight is the share of a new sample in an instance's latency.
	latencyWeight = 0.2
	// tableWeight is the share of a new sample in the table's typical values.
	tableWeight = 0.05
	// floorLife is the time constant with which the lowest zone latency rises
	// towards the present one.
	floorLife = 60 * time.Second
	// slowZone is the ratio of the own zone's latency to the other zone's above
	// which requests go to the other zone, whatever the guards report.
	slowZone = 3
	// zoneWeight is the minimum share of a new sample in a zone's latency.
	zoneWeight = 0.02
	// zoneAnswers is the number of samples that a zone's latency needs before
	// zones are compared by it.
	zoneAnswers = 50
	// slowStartShare is the share of its picks that a new instance accepts at
	// the beginning of slow start.
	slowStartShare = 0.1
	// drainingLife is the time after which an instance that reported to be
	// draining is probed.
	drainingLife = 10 * time.Second
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
	if age >= sampleLife {
		return typical
	}
	if age < 0 {
		age = 0
	}
	stale := float64(age) / float64(sampleLife)
	return s.value + time.Duration(stale*float64(typical-s.value))
}

// zoneCost is what the entry measured at the instances of one zone.
type zoneCost struct {
	zone    member.Zone
	network sample
	latency sample
	// answers is the number of latency samples.
	answers int
}

// instance is the table's state of one instance.
type instance struct {
	// The State of Candidate is the last that the instance itself reported.
	Candidate
	zone *zoneCost
	// listed is the state according to the list.
	listed State
	// stateAt is when the state was last reported. stateUntil is when an
	// instance that is not Serving may be probed.
	stateAt    time.Time
	stateUntil time.Time
	// heardAt is when the instance last reported its boot id.
	heardAt time.Time
	// startedAt is the beginning of slow start, zero once it has ended.
	startedAt time.Time

	inFlight int
	// silentSince is when the last response was received, or when the first of
	// the requests in flight or the last probe was sent, whichever is latest.
	silentSince time.Time
	latency     sample
	queueDelay  sample

	// busyUntil is the end of the failure penalty. Each failure counts as a
	// request in flight for one typical latency, so that an instance that fails
	// fast does not attract traffic.
	busyUntil time.Time
	// failure is the moving average of failed attempts, from 0 to 1.
	failure float64
	// suspectUntil is the end of the current backoff, zero without one.
	suspectUntil time.Time
	ejected      bool
	ejections    int
	probing      bool
	// unconnected is set if the last failure was a failed connect. A probe that
	// fails in the same way did not run, so any request may probe.
	unconnected bool
}

// suspect reports whether the instance is in backoff or has been unresponsive
// with requests in flight.
func (i *instance) suspect(now time.Time, hang time.Duration) bool {
	if now.Before(i.suspectUntil) {
		return true
	}
	if i.inFlight >= hungRequests {
		hang /= doubtFactor
	}
	return i.inFlight > 0 && now.Sub(i.silentSince) > hang
}

// taken reports whether an instance in slow start accepts this pick. It ends
// the slow start when its time is over.
func (i *instance) taken(now time.Time, random uint64, slowStart time.Duration) bool {
	age := now.Sub(i.startedAt)
	if age >= slowStart {
		i.startedAt = time.Time{}
		return true
	}
	share := slowStartShare + (1-slowStartShare)*float64(age)/float64(slowStart)
	return float64(random>>11)/(1<<53) < share
}

// takesWork reports whether the instance accepts new requests, according to
// both the list and its own reports.
func (i *instance) takesWork() bool { return i.listed == Serving && i.State == Serving }

// learnState records the state reported on a response to an attempt that was
// sent at the given time. A late response to an attempt that was sent before the
// instance last reported to be leaving or draining does not end that state.
func (i *instance) learnState(now, sent time.Time, s State, leavingLife time.Duration) {
	if s == Serving && i.State != Serving {
		if sent.Before(i.stateAt) {
			return
		}
		i.startedAt = now
	}
	i.setState(now, s, leavingLife)
}

// setState records the reported state and when it may be probed.
func (i *instance) setState(now time.Time, s State, leavingLife time.Duration) {
	i.State = s
	i.stateAt = now
	switch s {
	case Draining:
		i.stateUntil = now.Add(drainingLife)
	case Leaving:
		i.stateUntil = now.Add(leavingLife)
	case Serving:
		i.stateUntil = time.Time{}
	}
}

// restart records the boot id and discards what is known of an earlier boot.
func (i *instance) restart(now time.Time, boot member.BootID) {
	known := i.Boot != 0
	i.Boot = boot
	if !known {
		return
	}
	i.setState(now, Serving, 0)
	i.startedAt = now
	i.latency = sample{}
	i.queueDelay = sample{}
	i.busyUntil = time.Time{}
	i.failure = 0
	i.suspectUntil = time.Time{}
	i.ejected = false
	i.ejections = 0
	i.probing = false
}
