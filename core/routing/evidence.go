package routing

import (
	"slices"
	"time"
)

const (
	// connectWeight is the weight of a failed connect in an instance's failure
	// share: nothing speaks for an instance that can't be reached.
	connectWeight = 1.0
	// Back-off before a probe: doubles with each ejection in a row.
	firstBackoff = time.Second
	maxBackoff   = 30 * time.Second
	// forgetAfter is the time without ejection after which the back-off starts
	// again from firstBackoff.
	forgetAfter = 60 * time.Second
	// lateProbe is how many times the back-off an ejected instance waits for a
	// retryable request before it is probed with any.
	lateProbe = 4
	// maxBusy is the largest number of typical latencies for which failures
	// count as in flight.
	maxBusy = 16
	// refusedDelay is the least queue delay that a refusal for load implies.
	refusedDelay = 50 * time.Millisecond
)

// Finish records how the attempt ended.
func (t *Table) Finish(now time.Time, c Choice, o Outcome) {
	i := c.instance
	i.inFlight--
	if c.Probe {
		i.probing = false
	}
	if o.Result == TimedOut {
		o.Result = Abandoned
		if o.Latency >= t.Patience() {
			o.Result = Lost
		}
	}
	if o.Result == Abandoned {
		return
	}
	if o.Result == Completed || o.Result == Refused || o.Result == Failed {
		i.silentSince = now
	}
	if o.Report != nil {
		t.learn(now, c.sent, i, o)
	}
	switch o.Result {
	case Completed:
		t.measured(now, i, o.Latency)
		t.succeeded(now, i)
	case Refused:
		t.succeeded(now, i)
	case Failed:
		t.failed(now, i, t.policy.FailedWeight, c.Probe)
	case Lost:
		t.failed(now, i, t.policy.LostWeight, c.Probe)
	case ConnectFailed:
		t.failed(now, i, connectWeight, c.Probe)
	}
}

// learn takes the hints of a data response.
func (t *Table) learn(now, sent time.Time, i *instance, o Outcome) {
	r := o.Report
	if r.Boot != 0 && r.Boot != i.Boot {
		i.restart(now, r.Boot)
	}
	i.heardAt = now
	i.learnState(now, sent, r.State, t.policy.LeavingLife)
	delay := r.QueueDelay
	if o.Result == Refused {
		delay = max(delay, refusedDelay)
	}
	i.queueDelay.add(now, delay, 1)
	t.queueDelay.add(now, delay, tableWeight)
	if network := o.Latency - r.GuardTime; r.GuardTime > 0 && network >= 0 {
		i.zone.network.add(now, network, tableWeight)
	}
}

func (t *Table) measured(now time.Time, i *instance, latency time.Duration) {
	i.latency.add(now, latency, latencyWeight)
	t.latency.add(now, latency, tableWeight)
	t.measuredZone(now, i.zone, latency)
}

// measuredZone averages the latency of a zone, and lets the floor follow it
// down at once and up slowly.
func (t *Table) measuredZone(now time.Time, zone *zoneCost, latency time.Duration) {
	zone.answers++
	zone.latency.add(now, latency, max(zoneWeight, 1/float64(zone.answers)))
	if zone.answers < zoneAnswers {
		return
	}
	if t.floor.at.IsZero() || zone.latency.value < t.floor.value {
		t.floor = zone.latency
		return
	}
	passed := min(1, float64(now.Sub(t.floor.at))/float64(floorLife))
	t.floor.add(now, zone.latency.value, max(0, passed))
}

func (t *Table) succeeded(now time.Time, i *instance) {
	i.failure -= t.policy.FailedWeight * i.failure
	i.unconnected = false
	i.suspectUntil = time.Time{}
	if i.ejected {
		i.ejected = false
		i.failure = 0
		i.busyUntil = time.Time{}
		i.startedAt = now
	}
}

// failed weighs evidence against the instance and ejects it when it stands out.
func (t *Table) failed(now time.Time, i *instance, weight float64, probe bool) {
	i.failure += weight * (1 - i.failure)
	i.unconnected = weight == connectWeight
	t.countBusy(now, i)
	if probe && i.State != Serving {
		i.setState(now, i.State, t.policy.LeavingLife)
	}
	if i.ejected {
		if probe {
			t.backOff(now, i)
		}
		t.release()
		return
	}
	if i.failure <= t.policy.EjectShare {
		return
	}
	if t.standsOut(i) {
		t.backOff(now, i)
		i.ejected = t.ejected()+1 <= t.maxEjected()
	}
	t.release()
}

// standsOut reports whether an instance fails more than those that would carry
// the load without it. When the whole service fails, perhaps for another below
// it, none stands out.
func (t *Table) standsOut(i *instance) bool {
	return i.unconnected || i.failure >= 2*t.othersFailure(i)
}

// release takes back what was held against instances that no longer stand out,
// so that they are all there when the service recovers.
func (t *Table) release() {
	for _, i := range t.instances {
		if !i.suspectUntil.IsZero() && !t.standsOut(i) {
			i.ejected = false
			i.suspectUntil = time.Time{}
		}
	}
}

// countBusy lets a failure count as in flight for one typical latency.
func (t *Table) countBusy(now time.Time, i *instance) {
	latency := t.TypicalLatency()
	if i.busyUntil.Before(now) {
		i.busyUntil = now
	}
	i.busyUntil = i.busyUntil.Add(latency)
	if end := now.Add(maxBusy * latency); i.busyUntil.After(end) {
		i.busyUntil = end
	}
}

// backOff makes the instance suspect for a time that doubles in a row.
func (t *Table) backOff(now time.Time, i *instance) {
	if now.Sub(i.suspectUntil) > forgetAfter {
		i.ejections = 0
	}
	i.ejections++
	i.suspectUntil = now.Add(i.backoff())
}

func (i *instance) backoff() time.Duration {
	d := firstBackoff
	for n := 1; n < i.ejections && d < maxBackoff; n++ {
		d *= 2
	}
	return min(d, maxBackoff)
}

// probeDue reports whether the request may test an ejected instance, or one
// that said some time ago that it drains or leaves.
func (i *instance) probeDue(now time.Time, retryable bool) bool {
	due, wait := i.suspectUntil, i.backoff()
	retryable = retryable || i.unconnected
	if i.State != Serving {
		due, wait = i.stateUntil, drainingLife
	}
	if i.probing || due.IsZero() || now.Before(due) {
		return false
	}
	return retryable || !now.Before(due.Add(lateProbe*wait))
}

// othersFailure returns the mean failure share of the best other instances: as
// many as stay when the most are ejected that may be.
func (t *Table) othersFailure(except *instance) float64 {
	failures := make([]float64, 0, len(t.instances))
	for _, i := range t.instances {
		if i != except {
			failures = append(failures, i.failure)
		}
	}
	if len(failures) == 0 {
		return 0
	}
	slices.Sort(failures)
	staying := min(max(len(t.instances)-t.maxEjected(), 1), len(failures))
	var sum float64
	for _, failure := range failures[:staying] {
		sum += failure
	}
	return sum / float64(staying)
}

func (t *Table) ejected() int {
	n := 0
	for _, i := range t.instances {
		if i.ejected {
			n++
		}
	}
	return n
}

func (t *Table) maxEjected() int {
	return int(t.policy.MaxEjected * float64(len(t.instances)))
}

// firstEjected returns the matching ejected instance that is to be probed first,
// or nil.
func (t *Table) firstEjected(match func(*instance) bool) *instance {
	var first *instance
	for _, i := range t.instances {
		if i.ejected && match(i) && (first == nil || i.suspectUntil.Before(first.suspectUntil)) {
			first = i
		}
	}
	return first
}

// holdCap takes back ejections above the cap, soonest to be probed first.
func (t *Table) holdCap(now time.Time) {
	for t.ejected() > t.maxEjected() {
		first := t.firstEjected(func(*instance) bool { return true })
		first.ejected = false
		first.startedAt = now
	}
}
