package admission

import (
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/target"
)

const (
	// hintLifetime is the time after its receipt at which a hint expires.
	hintLifetime = time.Second
	// probeInterval is the time between two requests of refused ranks that are
	// sent to one instance as probes.
	probeInterval = 50 * time.Millisecond
)

// EarlyRefusal refuses requests at an entry if the latest hint of the chosen
// instance doesn't admit their rank. It lets one request per probeInterval
// pass as a probe, so that the end of an overload is detected.
type EarlyRefusal struct {
	views map[member.InstanceID]*view
}

// view is the state of one instance as last received.
type view struct {
	hint      Hint
	received  time.Time
	nextProbe time.Time
}

// NewEarlyRefusal returns an EarlyRefusal without hints; it admits everything.
func NewEarlyRefusal() *EarlyRefusal {
	return &EarlyRefusal{views: make(map[member.InstanceID]*view)}
}

// Observe records a hint received from an instance.
func (e *EarlyRefusal) Observe(now time.Time, instance member.InstanceID, hint Hint) {
	v := e.views[instance]
	if v == nil {
		v = &view{}
		e.views[instance] = v
	}
	if hint.Admits(AllRanks, true) || v.received.IsZero() {
		v.nextProbe = now.Add(probeInterval)
	}
	v.hint, v.received = hint, now
}

// Retain drops the hints of instances other than the given ones.
func (e *EarlyRefusal) Retain(instances []member.InstanceID) {
	for id := range e.views {
		if !slices.Contains(instances, id) {
			delete(e.views, id)
		}
	}
}

// Admits reports whether the instance admits the rank according to its latest
// hint. Without one, or if it has expired, every rank is admitted. Admits counts
// no probe. root tells whether the request is a root request.
func (e *EarlyRefusal) Admits(now time.Time, instance member.InstanceID, rank target.Rank, root bool) bool {
	v := e.views[instance]
	return v == nil || now.Sub(v.received) > hintLifetime || v.hint.Admits(rank, root)
}

// Offer decides whether a request of the rank is sent to the instance. If it
// isn't, the decision is Refused with the time after which to retry.
func (e *EarlyRefusal) Offer(now time.Time, instance member.InstanceID, rank target.Rank, root bool) Decision {
	d := e.Peek(now, instance, rank, root)
	if d.Verdict == Run && !e.Admits(now, instance, rank, root) {
		e.views[instance].nextProbe = now.Add(probeInterval)
	}
	return d
}

// Peek returns the decision that Offer would give, without counting a probe.
func (e *EarlyRefusal) Peek(now time.Time, instance member.InstanceID, rank target.Rank, root bool) Decision {
	if e.Admits(now, instance, rank, root) || !now.Before(e.views[instance].nextProbe) {
		return Decision{Verdict: Run}
	}
	wait := max(e.views[instance].hint.RetryAfter, probeInterval)
	return Decision{Verdict: Refused, Reason: Overload, RetryAfter: wait}
}
