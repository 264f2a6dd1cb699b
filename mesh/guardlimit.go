package mesh

import (
	"time"

	"github.com/valyala/fasthttp"
)

// observeAnnouncements records what the own instance said of itself.
func (g *guard) observeAnnouncements(sent time.Time, received *receivedResponse) {
	now := time.Now()
	g.mu.Lock()
	g.responded = true
	changed := g.announced.observe(sent, now, &received.raw.Header, g.cfg.headers)
	announced := g.announced
	if changed {
		g.instanceLeaving.Store(announced.leaving)
		g.applyLimit(now)
	}
	g.mu.Unlock()
	if changed {
		g.cfg.report.announced(&announced)
	}
}

// adoptLimit applies the request limit that an entry knows, until the own instance
// has responded to this node. A node that has just started would exceed the limit up to
// the first response.
func (g *guard) adoptLimit(header *fasthttp.RequestHeader) {
	rate, ok := parseRate(header.Peek(headerLimit))
	if !ok {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.responded && g.announced.limit.Advertised(now, rate) {
		g.applyLimit(now)
	}
}

// applyLimit applies the request limit that the own instance advertises. The caller holds
// mu.
func (g *guard) applyLimit(now time.Time) {
	if rate, limited := g.announced.limit.Rate(); limited {
		g.queue.SetRate(now, rate)
	} else {
		g.queue.ClearRate()
	}
	g.startWaiting(now)
}

// startWaiting starts the requests that waited for the request limit and may start
// now. The caller holds mu.
func (g *guard) startWaiting(now time.Time) {
	g.effects = g.queue.Start(now, g.effects[:0])
	g.deliver(now)
}

// deliver delivers the decisions in effects. The caller holds mu.
func (g *guard) deliver(now time.Time) {
	for _, effect := range g.effects {
		if start, ok := g.waiting[effect.ID]; ok {
			start <- effect.Verdict
			delete(g.waiting, effect.ID)
		}
	}
	g.scheduleStart(now)
}

// scheduleStart sets the timer for the next request that waits for the request limit.
// The caller holds mu.
func (g *guard) scheduleStart(now time.Time) {
	at, ok := g.queue.NextStart(now)
	switch {
	case !ok:
	case g.startTimer == nil:
		g.startTimer = time.AfterFunc(at.Sub(now), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.startWaiting(time.Now())
		})
	default:
		g.startTimer.Reset(at.Sub(now))
	}
}

// limited reports whether the own instance advertises a request limit.
func (g *guard) limited() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Limited()
}
