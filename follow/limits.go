package follow

import (
	"sync/atomic"
	"time"
)

// DefaultApplyWithin is ApplyWithin where the configuration names none.
const DefaultApplyWithin = 2 * time.Second

// Shares of ApplyWithin.
const (
	// watchWaitShare is how long one watch waits for changes. Its response confirms
	// the copy, so it has to end well before the copy is too old to be passed on. It
	// is not shorter because the store charges for each call.
	watchWaitShare = 0.5
	// maxAgeShare is the age up to which a copy is passed on to nodes that poll this
	// one, and after which a watch without a response counts as lost. The rest of
	// ApplyWithin is for those nodes to read the store themselves.
	maxAgeShare = 0.75
	// pollWaitShare is how long a long poll at the reader of the zone waits for a
	// newer state, and pollTimeoutShare how long it may take in all.
	pollWaitShare    = 0.5
	pollTimeoutShare = 0.65
)

// limits are the times that follow from ApplyWithin. They are safe for concurrent use.
type limits struct{ applyWithin atomic.Int64 }

func (l *limits) set(applyWithin time.Duration) {
	if applyWithin <= 0 {
		applyWithin = DefaultApplyWithin
	}
	l.applyWithin.Store(int64(applyWithin))
}

func (l *limits) share(share float64) time.Duration {
	return time.Duration(share * float64(l.applyWithin.Load()))
}

func (l *limits) watchWait() time.Duration   { return l.share(watchWaitShare) }
func (l *limits) maxAge() time.Duration      { return l.share(maxAgeShare) }
func (l *limits) pollWait() time.Duration    { return l.share(pollWaitShare) }
func (l *limits) pollTimeout() time.Duration { return l.share(pollTimeoutShare) }
