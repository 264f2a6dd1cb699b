package follow

import (
	"sync/atomic"
	"time"
)

// confirmation is when the store last confirmed a node's copy: the copy contains all
// that the store had acknowledged by then. It is safe for concurrent use.
type confirmation struct{ at atomic.Pointer[time.Time] }

// advance records a confirmation. One that is not later than the last has no effect.
func (c *confirmation) advance(at time.Time) {
	for {
		last := c.at.Load()
		if at.IsZero() || (last != nil && !at.After(*last)) || c.at.CompareAndSwap(last, &at) {
			return
		}
	}
}

// ConfirmedAge returns the time since the store last confirmed the copy of this node,
// to itself or to the peer that it was received from. It returns false if the store
// has not confirmed any.
func (f *Follower) ConfirmedAge(now time.Time) (time.Duration, bool) {
	at := f.confirmed.at.Load()
	if at == nil {
		return 0, false
	}
	return now.Sub(*at), true
}
