package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/toucancove/toucancove/core/retry"
)

// errHung is the cause of cancellation of an attempt whose instance hangs.
var errHung = errors.New("instance does not answer")

// hangWatch cancels an attempt when its instance hangs and the retry policy
// allows another attempt. It uses the attempt budget of the request, so nothing
// else may access the budget before stop has returned.
type hangWatch struct {
	mu sync.Mutex
	// timer is nil for an attempt that is not watched.
	timer   *time.Timer
	stopped bool
	// gaveUp is set if the watch cancelled the attempt.
	gaveUp bool
}

// watchHang starts the watch of an attempt. Requests that must not run twice,
// or that are bound to one instance by a ticket, can't be retried elsewhere and
// are not watched; they wait until their deadline.
func (e *Entry) watchHang(route Route, in *inbound, body *requestBody, cancel context.CancelCauseFunc) *hangWatch {
	w := &hangWatch{stopped: true}
	if !in.route.Idempotent || !body.repeatable() || in.ticket != nil {
		return w
	}
	w.stopped = false
	_, recheckAfter := e.cfg.Router.Hung(route, in.tried)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(recheckAfter, func() { e.checkHang(w, route, in, body, cancel) })
	return w
}

func (e *Entry) checkHang(w *hangWatch, route Route, in *inbound, body *requestBody, cancel context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	hung, recheckAfter := e.cfg.Router.Hung(route, in.tried)
	if hung && e.decide(in, body, retry.Failure{}).Retry {
		w.gaveUp = true
		w.stopped = true
		cancel(errHung)
		return
	}
	w.timer.Reset(recheckAfter)
}

// stop ends the watch and reports whether it cancelled the attempt, in which
// case the retry policy has already allowed another one.
func (w *hangWatch) stop() (gaveUp bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.gaveUp
}
