package mesh

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/toucancove/toucancove/core/quarantine"
	"github.com/toucancove/toucancove/internal/sockets"
)

const (
	// crashSettleTime is the time after a lost response until the other connections
	// to an instance that has crashed are found closed too.
	crashSettleTime = 3 * time.Millisecond
	// crashCheckTimeout bounds the time for which a lost response waits for the check
	// whether the instance has crashed.
	crashCheckTimeout = 50 * time.Millisecond
)

// crashCheck is a check whether the own instance has crashed. done is closed when it has
// ended.
type crashCheck struct {
	done chan struct{}
}

// endRun records how a run ended, and returns its outcome.
func (g *guard) endRun(ctx context.Context, run *quarantine.Run, received *receivedResponse, err error) outcome {
	if err == nil {
		o := classifyResponse(received, g.cfg.headers.NotRun)
		switch {
		case o.run != runYes:
			g.cfg.quarantines.abandoned(run)
		case received.stream != nil:
			received.stream.onClose = func(s *responseStream) { g.endStream(run, s) }
		default:
			g.cfg.quarantines.served(run)
		}
		return o
	}
	o := exchangeFailure(ctx, err)
	switch {
	case o.reason == reasonResponseLost && g.mayCrash():
		if g.responseLost(run) {
			o.reason = reasonInstanceCrashed
		}
		return o
	case errors.Is(err, syscall.ECONNREFUSED):
		o.reason = reasonInstanceDown
		g.cfg.quarantines.abandoned(run)
		if g.mayCrash() {
			g.cfg.quarantines.crashed()
		}
	case o.run == runNo || !g.mayCrash():
		g.cfg.quarantines.abandoned(run)
	default:
		g.cfg.quarantines.left(run)
	}
	return o
}

// endStream records how a run ended whose response was streamed.
func (g *guard) endStream(run *quarantine.Run, s *responseStream) {
	switch {
	case s.complete:
		g.cfg.quarantines.served(run)
	case s.broken && g.mayCrash():
		if !g.cfg.quarantines.lost(run) {
			g.startCrashCheck()
		}
	default:
		g.cfg.quarantines.left(run)
	}
}

// mayCrash reports whether an end of the own instance would be a crash: it is listed and
// has not announced to leave.
func (g *guard) mayCrash() bool {
	return g.listed.Load() && !g.draining.Load() && !g.instanceLeaving.Load()
}

// responseLost checks whether a response was lost because the own instance has crashed.
func (g *guard) responseLost(run *quarantine.Run) (crashed bool) {
	if g.cfg.quarantines.lost(run) {
		return true
	}
	timer := time.NewTimer(crashCheckTimeout)
	defer timer.Stop()
	select {
	case <-g.startCrashCheck().done:
	case <-timer.C:
	}
	return g.cfg.quarantines.hasCrashed()
}

// startCrashCheck starts a check whether the own instance has crashed, or returns the one
// under way.
func (g *guard) startCrashCheck() *crashCheck {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashCheck == nil {
		g.crashCheck = &crashCheck{done: make(chan struct{})}
		go g.checkCrash(g.crashCheck)
	}
	return g.crashCheck
}

// checkCrash finds out whether the own instance has crashed: all idle connections are
// closed, and a new one is refused.
func (g *guard) checkCrash(check *crashCheck) {
	time.Sleep(crashSettleTime)
	if !g.pool.hasOpenIdle() && errors.Is(g.pool.probe(), syscall.ECONNREFUSED) {
		g.cfg.quarantines.crashed()
	}
	g.mu.Lock()
	g.crashCheck = nil
	g.mu.Unlock()
	close(check.done)
}

// hasOpenIdle reports whether an idle connection is open.
func (p *connPool) hasOpenIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		if sockets.IsIdle(conn.Conn) {
			return true
		}
	}
	return false
}

// probe opens a connection, which stays in the pool.
func (p *connPool) probe() error {
	conn, err := p.dial(context.Background(), time.Now().Add(dialTimeout))
	if err != nil {
		return err
	}
	p.putIdle(conn)
	return nil
}
