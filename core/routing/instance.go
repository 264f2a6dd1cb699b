package routing

import (
	"time"

	"github.com/toucancove/toucancove/core/member"
)

const (
	// sampleLife is the age at which a measured value counts no more than the
	// typical value of the table.
	sampleLife = 2 * time.Second
	// latencyWeight is the share of a new sample in an instance's latency.
	latencyWeight = 0.2
	// tableWeight is the share of a new sample in the table's typical values.
	tableWeight = 0.05
	// floorLife is the time constant with which the lowest latency seen rises
	// towards the present one.
	floorLife = 60 * time.Second
	// slowZone is how many times the latency of the other zone the own one may
	// take before requests go there, whatever its guards report.
	slowZone = 3
	// zoneWeight is the least share of a new sample in a zone's latency.
	zoneWeight = 0.02
	// zoneAnswers is the number of answers after which a zone's latency is
	// taken for known.
	zoneAnswers = 50
	// slowStartShare is the share of its draws that a new instance begins with.
	slowStartShare = 0.1
	// drainingLife is the time after which an instance that reported to drain
	// is probed.
	drainingLife = 10 * time.Second
)

// sample is a smoothed measurement that fades with age.
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

// estimate fades the value towards typical as it ages.
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

// zoneCost is what the entry measured of the instances of one zone.
type zoneCost struct {
	zone    member.Zone
	network sample
	latency sample
	// answers is the number of latencies measured.
	answers int
}

// instance is what the table knows of one instance.
type instance struct {
	// Candidate holds the state that the instance itself reported last.
	Candidate
	zone *zoneCost
	// listed is the state according to the list.
	listed State
	// stateAt is when the reported state was learned, stateUntil when one that
	// is not Serving is tested by a probe.
	stateAt    time.Time
	stateUntil time.Time
	// heardAt is when the last data response came back.
	heardAt time.Time
	// startedAt is the beginning of slow start, zero for an established one.
	startedAt time.Time

	inFlight int
	// silentSince is when something last came back, or when the first of the
	// requests in flight was sent, whichever is later.
	silentSince time.Time
	latency     sample
	queueDelay  sample

	// busyUntil ends the time for which failures count as in flight, as though
	// each had taken a typical latency, so that failing fast draws no traffic.
	busyUntil time.Time
	// failure is the recent share of failed attempts, from 0 to 1.
	failure float64
	// suspectUntil is the end of the current back-off.
	suspectUntil time.Time
	ejected      bool
	ejections    int
	probing      bool
	// unconnected is set when the last failure was a connect: a probe that
	// fails in the same way did not run, so any request may probe.
	unconnected bool
}

// suspect reports whether evidence speaks against the instance.
func (i *instance) suspect(now time.Time, hang time.Duration) bool {
	if now.Before(i.suspectUntil) {
		return true
	}
	if i.inFlight >= hungRequests {
		hang /= doubtFactor
	}
	return i.inFlight > 0 && now.Sub(i.silentSince) > hang
}

// taken reports whether an instance in slow start takes this draw.
func (i *instance) taken(now time.Time, random uint64, slowStart time.Duration) bool {
	age := now.Sub(i.startedAt)
	if age >= slowStart {
		i.startedAt = time.Time{}
		return true
	}
	share := slowStartShare + (1-slowStartShare)*float64(age)/float64(slowStart)
	return float64(random>>11)/(1<<53) < share
}

// takesWork reports whether neither the list nor the instance itself speaks
// against new work there.
func (i *instance) takesWork() bool { return i.listed == Serving && i.State == Serving }

// learnState takes the state from a response to an attempt that was sent at the
// given time. A response that was under way when the instance began to leave
// does not end that.
func (i *instance) learnState(now, sent time.Time, s State, leavingLife time.Duration) {
	if s == Serving && i.State != Serving {
		if sent.Before(i.stateAt) {
			return
		}
		i.startedAt = now
	}
	i.setState(now, s, leavingLife)
}

// setState records what a response said about new work.
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

// restart forgets what is known of an earlier boot of the instance.
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
