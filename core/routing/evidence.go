package routing

import (
	"slices"
	"time"
)

const (
	// connectWeight is the weight of a failed connect in an instance's failure
	// rate. It sets the rate to 1, since an unreachable instance can't serve any
	// request.
	connectWeight = 1.0
	// The backoff before a probe doubles with each consecutive ejection, from
	// firstBackoff to maxBackoff.
	firstBackoff = time.Second
	maxBackoff   = 30 * time.Second
	// forgetAfter is the time since the end of the last backoff after which the
	// next one starts again from firstBackoff.
	forgetAfter = 60 * time.Second
	// lateProbe is how long an ejected instance waits for a retryable request to
	// probe it, in multiples of the backoff. After that any request may probe.
	lateProbe = 4
	// maxBusy is the upper limit of the failure penalty, in multiples of the
	// typical latency.
	maxBusy = 16
	// refusedDelay is the minimum queue delay assumed after a refusal because of
	// load.
	refusedDelay = 50 * time.Millisecond
)

// Finish records how the attempt ended and removes it from those in flight.
func (t *Table) Finish(now time.Time, c Choice, o Outcome) {
	i := c.instance
	i.inFlight--
	if c.Probe {
		i.probing = false
	}
	if o.Result == TimedOut {
		o.Result = Abandoned
		if o.Latency >= t.HangTimeout() {
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

// learn applies the report that came with a response to an attempt that was
// sent at the given time.
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

// measuredZone updates the mean latency of a zone. The lowest zone latency
// follows it down at once and up with the time constant floorLife.
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

// failed adds a failure to the instance's failure rate and ejects the instance
// if it is an outlier.
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

// standsOut reports whether the failure rate of an instance is at least twice
// that of the instances that would take over its load. If the whole service
// fails, for example because of a service that it depends on, no instance is an
// outlier. An instance to which the last connect failed always is one.
func (t *Table) standsOut(i *instance) bool {
	return i.unconnected || i.failure >= 2*t.othersFailure(i)
}

// release readmits the instances that are no longer outliers, so that all of
// them are available when the service recovers.
func (t *Table) release() {
	for _, i := range t.instances {
		if !i.suspectUntil.IsZero() && !t.standsOut(i) {
			i.ejected = false
			i.suspectUntil = time.Time{}
		}
	}
}

// countBusy extends the failure penalty of the instance by one typical latency.
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

// backOff makes the instance suspect for a time that doubles with each
// consecutive ejection.
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

// probeDue reports whether a request may probe an instance that is ejected, or
// that reported some time ago to be draining or leaving.
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

// othersFailure returns the mean failure rate of the best other instances: as
// many as remain if the maximum number is ejected.
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

// firstEjected returns the matching ejected instance whose backoff ends first,
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

// holdCap readmits instances until no more than the maximum are ejected, in the
// order in which their backoffs end.
func (t *Table) holdCap(now time.Time) {
	for t.ejected() > t.maxEjected() {
		first := t.firstEjected(func(*instance) bool { return true })
		first.ejected = false
		first.startedAt = now
	}
}
