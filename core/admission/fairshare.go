package admission

import (
	"math"
	"time"
)

const (
	// serviceHalfLife is the half-life of the service recorded for a flow.
	serviceHalfLife = 2 * time.Second
	// rebaseAfter is the number of half-lives after which recorded services are
	// scaled down to keep them finite.
	rebaseAfter = 64
	// flowIdleTime is the time after its last use at which a flow is dropped.
	flowIdleTime = 30 * time.Second
)

// flow is the state of one workspace within one class.
type flow struct {
	workspace string
	share     float64
	// service is the recent service time divided by the share, in the growing
	// units of forwardDecay, so that it decays without being updated.
	service  float64
	lastUsed int64 // nanoseconds
	queue    deadlineQueue
}

// forwardDecay implements exponential decay by units that grow with time: an
// amount charged one half-life later has double the weight, which has the same
// effect as halving the older amount.
type forwardDecay struct {
	origin int64 // nanoseconds
}

// unit returns the weight of an amount charged now.
func (d *forwardDecay) unit(now int64) float64 {
	return math.Exp2(float64(now-d.origin) / float64(serviceHalfLife))
}

// needsRebase reports whether amounts must be scaled down, so that they don't
// overflow.
func (d *forwardDecay) needsRebase(now int64) bool {
	return now-d.origin > rebaseAfter*int64(serviceHalfLife)
}

// charge adds service time (nanoseconds, may be negative) to the flow.
func (d *forwardDecay) charge(now int64, f *flow, service float64) {
	f.service = max(0, f.service+service/f.share*d.unit(now))
	f.lastUsed = now
}

// projectedService returns the service of the flow as if its queued requests had
// run too, each for the expected service time in nanoseconds.
func (d *forwardDecay) projectedService(now int64, f *flow, queued int, expected float64) float64 {
	return f.service + float64(queued)*expected/f.share*d.unit(now)
}
