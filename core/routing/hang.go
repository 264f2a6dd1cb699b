package routing

import (
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

const (
	// An instance with requests in flight is suspect after it has been
	// unresponsive for hangFactor typical latencies, and at least
	// minHangTimeout.
	hangFactor     = 8
	minHangTimeout = 250 * time.Millisecond
	// minHungRequests is the number of requests that must be in flight at an
	// unresponsive instance before it counts as hung without other evidence.
	minHungRequests = 3
	// hangTimeoutDivisor divides the time after which an unresponsive instance
	// becomes suspect if at least minHungRequests requests are in flight there.
	hangTimeoutDivisor = 4
)

// Hung reports whether a waiting attempt is unlikely to get a response: its
// instance has been unresponsive for HangTimeout, another instance is available,
// and the instance is either being probed, ejected or suspect, or has at least
// minHungRequests requests in flight. A single slow request is not sufficient
// evidence. exclude lists the instances that were already tried.
func (t *Table) Hung(now time.Time, c Choice, exclude []member.InstanceID) bool {
	i := c.instance
	if now.Sub(i.waitingSince) < t.HangTimeout() || !t.hasOther(now, i, exclude) {
		return false
	}
	return c.Probe || i.ejected || now.Before(i.suspectUntil) || i.inFlight >= minHungRequests
}

// hasOther reports whether any instance besides the given ones accepts requests
// and is neither ejected nor suspect.
func (t *Table) hasOther(now time.Time, except *instance, exclude []member.InstanceID) bool {
	for _, i := range t.instances {
		if i == except || !i.acceptsRequests() || i.ejected || slices.Contains(exclude, i.ID) {
			continue
		}
		if !i.suspect(now, t.HangTimeout()) {
			return true
		}
	}
	return false
}

// HangTimeout returns the time without a response after which an instance with
// requests in flight is suspect.
func (t *Table) HangTimeout() time.Duration {
	return max(minHangTimeout, hangFactor*t.TypicalLatency())
}
