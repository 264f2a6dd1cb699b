package mesh

import (
	"context"
	"time"
)

// maxResends is the number of times that a guard sends a request again which its
// instance has rejected. With it, nine of ten requests run on an instance that rejects
// every second one.
const maxResends = 3

// setRetryLimits sets the bound of the requests that are sent again.
func (g *guard) setRetryLimits(limits RetryLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resends.SetLimits(resendShare*limits.Ratio, 0, limits.Window)
}

// sendUntilAccepted sends a request to the own instance, and again if the instance rejects
// it: it has a free slot then, so that the rejection tells little about the next try. Other
// instances can be tried only as often as the route allows, and calls of a long chain need
// more tries than that while a whole service rejects.
func (g *guard) sendUntilAccepted(ctx context.Context, c guardRequest) outcome {
	g.mu.Lock()
	g.resends.Requested(time.Now())
	g.mu.Unlock()
	o := g.send(ctx, c)
	for range maxResends {
		if o.reason != reasonRejected || !c.body.replayable() || context.Cause(ctx) != nil || !g.takeResend() {
			break
		}
		o.release()
		o = g.send(ctx, c)
	}
	return o
}

// takeResend reports whether a request may be sent to the own instance again: not if the
// instance is leaving, or if it advertises a limit of the requests that it gets.
func (g *guard) takeResend() bool {
	if g.draining.Load() || g.instanceLeaving.Load() || g.limited() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resends.Take(time.Now())
}
