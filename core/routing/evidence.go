package routing

import (
	"slices"
	"time"
)

const (
	// connectFailedWeight is the weight of a failed connect in an instance's
	// failure rate. It sets the rate to 1, since an unreachable instance can't
	// serve any request.
	connectFailedWeight = 1.0
	// The backoff before a probe doubles with each consecutive ejection, from
	// minBackoff to maxBackoff.
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
	// backoffResetAfter is the time since the end of the last backoff after
	// which the next one starts again from minBackoff.
	backoffResetAfter = 60 * time.Second
	// lateProbeFactor is how long an ejected instance waits for a retryable
	// request to probe it, in multiples of the backoff. After that any request
	// may probe.
	lateProbeFactor = 4
	// maxPenaltyFactor is the upper limit of the failure penalty, in multiples
	// of the typical latency.
	maxPenaltyFactor = 16
	// minRefusedDelay is the minimum queue delay assumed after a refusal
	// because of load.
	minRefusedDelay = 50 * time.Millisecond
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
		i.waitingSince = now
	}
	if o.Report != nil {
		t.applyReport(now, c.sentAt, i, o)
	}
	switch o.Result {
	case Completed:
		t.recordLatency(now, i, o.Latency)
		t.recordSuccess(now, i)
	case Refused:
		t.recordSuccess(now, i)
	case Failed:
		t.recordFailure(now, i, t.policy.FailedWeight, c.Probe)
	case Lost:
		t.recordFailure(now, i, t.policy.LostWeight, c.Probe)
	case ConnectFailed:
		t.recordFailure(now, i, connectFailedWeight, c.Probe)
	}
}

// applyReport applies the report that came with a response to an attempt that
// was sent at the given time.
func (t *Table) applyReport(now, sent time.Time, i *instance, o Outcome) {
	r := o.Report
	if r.Boot != 0 && r.Boot != i.Boot {
		i.updateBoot(now, r.Boot)
	}
	i.lastContact = now
	i.updateState(now, sent, r.State, t.policy.LeavingProbeDelay)
	delay := r.QueueDelay
	if o.Result == Refused {
		delay = max(delay, minRefusedDelay)
	}
	i.queueDelay.add(now, delay, 1)
	t.queueDelay.add(now, delay, tableWeight)
	if network := o.Latency - r.GuardTime; r.GuardTime > 0 && network >= 0 {
		i.zone.network.add(now, network, tableWeight)
	}
}

func (t *Table) recordLatency(now time.Time, i *instance, latency time.Duration) {
	i.latency.add(now, latency, latencyWeight)
	t.latency.add(now, latency, tableWeight)
	t.recordZoneLatency(now, i.zone, latency)
}

// recordZoneLatency updates the mean latency of a zone. The lowest zone latency
// follows it down at once and up with the time constant zoneLatencyRiseTime.
func (t *Table) recordZoneLatency(now time.Time, zone *zoneStats, latency time.Duration) {
	zone.samples++
	zone.latency.add(now, latency, max(minZoneWeight, 1/float64(zone.samples)))
	if zone.samples < minZoneSamples {
		return
	}
	if t.lowestZoneLatency.at.IsZero() || zone.latency.value < t.lowestZoneLatency.value {
		t.lowestZoneLatency = zone.latency
		return
	}
	weight := min(1, float64(now.Sub(t.lowestZoneLatency.at))/float64(zoneLatencyRiseTime))
	t.lowestZoneLatency.add(now, zone.latency.value, max(0, weight))
}

func (t *Table) recordSuccess(now time.Time, i *instance) {
	i.failureRate -= t.policy.FailedWeight * i.failureRate
	i.connectFailed = false
	i.suspectUntil = time.Time{}
	if i.ejected {
		i.ejected = false
		i.failureRate = 0
		i.penaltyUntil = time.Time{}
		i.slowStartedAt = now
	}
}

// recordFailure adds a failure to the instance's failure rate and ejects the
// instance if it is an outlier.
func (t *Table) recordFailure(now time.Time, i *instance, weight float64, probe bool) {
	i.failureRate += weight * (1 - i.failureRate)
	i.connectFailed = weight == connectFailedWeight
	t.addPenalty(now, i)
	if probe && i.State != Serving {
		i.setState(now, i.State, t.policy.LeavingProbeDelay)
	}
	if i.ejected {
		if probe {
			t.startBackoff(now, i)
		}
		t.readmitNonOutliers()
		return
	}
	if i.failureRate <= t.policy.EjectThreshold {
		return
	}
	if t.isOutlier(i) {
		t.startBackoff(now, i)
		i.ejected = t.ejectedCount()+1 <= t.maxEjected()
	}
	t.readmitNonOutliers()
}

// isOutlier reports whether the failure rate of an instance is at least twice
// that of the instances that would take over its load. If the whole service
// fails, for example because of a service that it depends on, no instance is an
// outlier. An instance to which the last connect failed always is one.
func (t *Table) isOutlier(i *instance) bool {
	return i.connectFailed || i.failureRate >= 2*t.othersFailureRate(i)
}

// readmitNonOutliers readmits the instances that are no longer outliers, so
// that all of them are available when the service recovers.
func (t *Table) readmitNonOutliers() {
	for _, i := range t.instances {
		if !i.suspectUntil.IsZero() && !t.isOutlier(i) {
			i.ejected = false
			i.suspectUntil = time.Time{}
		}
	}
}

// addPenalty extends the failure penalty of the instance by one typical latency.
func (t *Table) addPenalty(now time.Time, i *instance) {
	latency := t.TypicalLatency()
	if i.penaltyUntil.Before(now) {
		i.penaltyUntil = now
	}
	i.penaltyUntil = i.penaltyUntil.Add(latency)
	if end := now.Add(maxPenaltyFactor * latency); i.penaltyUntil.After(end) {
		i.penaltyUntil = end
	}
}

// startBackoff makes the instance suspect for a time that doubles with each
// consecutive ejection.
func (t *Table) startBackoff(now time.Time, i *instance) {
	if now.Sub(i.suspectUntil) > backoffResetAfter {
		i.ejections = 0
	}
	i.ejections++
	i.suspectUntil = now.Add(i.backoff())
}

func (i *instance) backoff() time.Duration {
	d := minBackoff
	for n := 1; n < i.ejections && d < maxBackoff; n++ {
		d *= 2
	}
	return min(d, maxBackoff)
}

// probeDue reports whether a request may probe an instance that is ejected, or
// that reported some time ago to be draining or leaving.
func (i *instance) probeDue(now time.Time, retryable bool) bool {
	due, wait := i.suspectUntil, i.backoff()
	retryable = retryable || i.connectFailed
	if i.State != Serving {
		due, wait = i.stateProbeAt, drainingProbeDelay
	}
	if i.probing || due.IsZero() || now.Before(due) {
		return false
	}
	return retryable || !now.Before(due.Add(lateProbeFactor*wait))
}

// othersFailureRate returns the mean failure rate of the best other instances:
// as many as remain if the maximum number is ejected.
func (t *Table) othersFailureRate(except *instance) float64 {
	rates := make([]float64, 0, len(t.instances))
	for _, i := range t.instances {
		if i != except {
			rates = append(rates, i.failureRate)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	remaining := min(max(len(t.instances)-t.maxEjected(), 1), len(rates))
	var sum float64
	for _, rate := range rates[:remaining] {
		sum += rate
	}
	return sum / float64(remaining)
}

func (t *Table) ejectedCount() int {
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

// enforceMaxEjected readmits instances until no more than the maximum are
// ejected, in the order in which their backoffs end.
func (t *Table) enforceMaxEjected(now time.Time) {
	for t.ejectedCount() > t.maxEjected() {
		first := t.firstEjected(func(*instance) bool { return true })
		first.ejected = false
		first.slowStartedAt = now
	}
}
