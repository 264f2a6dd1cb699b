package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/proxy"
)

// inboxSize is the capacity of the control goroutine's channel in messages.
const inboxSize = 256

// abandonedCheckInterval is the time between checks for requests whose callers
// have disconnected.
const abandonedCheckInterval = 50 * time.Millisecond

// control owns the configuration of the node. The goroutine of its run method
// is the only writer of the view.
type control struct {
	log    logr.Logger
	inbox  chan func(now time.Time)
	view   atomic.Pointer[config.View]
	active *proxy.ActiveCalls
	// onChange is called after each new view, from the control goroutine.
	onChange func(*config.View)
	// rejected counts the values that were not put in force.
	rejected atomic.Int64
	// lastError holds the error text of the last rejected value, a string.
	lastError atomic.Value
}

func newControl(log logr.Logger, active *proxy.ActiveCalls, onChange func(*config.View)) *control {
	c := &control{
		log:      log,
		inbox:    make(chan func(now time.Time), inboxSize),
		active:   active,
		onChange: onChange,
	}
	c.view.Store(config.NewView())
	return c
}

// View returns the configuration in force.
func (c *control) View() *config.View { return c.view.Load() }

// run calls the submitted functions, and tick every abandonedCheckInterval,
// until ctx ends.
func (c *control) run(ctx context.Context, tick func(now time.Time)) {
	ticker := time.NewTicker(abandonedCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-c.inbox:
			message(time.Now())
		case now := <-ticker.C:
			c.active.CancelAbandoned(now.Add(-abandonedCheckInterval))
			tick(now)
		}
	}
}

// submit queues message for the control goroutine, which calls it. It returns
// false if ctx ends first.
func (c *control) submit(ctx context.Context, message func(now time.Time)) bool {
	select {
	case c.inbox <- message:
		return true
	case <-ctx.Done():
		return false
	}
}

// submitAndWait is like submit and waits until message has returned.
func (c *control) submitAndWait(ctx context.Context, message func(now time.Time)) bool {
	done := make(chan struct{})
	if !c.submit(ctx, func(now time.Time) { message(now); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// apply puts a value in force, and rejects it if the view does not accept it.
func (c *control) apply(value config.Value) {
	next, err := c.View().With(value)
	if err != nil {
		c.reject(value.Name(), value.Rev(), err)
		return
	}
	c.view.Store(next)
	c.log.Info("configuration in force", "value", value.Name(), "revision", value.Rev())
	if cancelled := c.active.CancelWithdrawn(next); cancelled > 0 {
		c.log.Info("cancelled requests of withdrawn keys", "count", cancelled)
	}
	c.onChange(next)
}

// reject records a value that is not put in force; the last valid one remains.
func (c *control) reject(name string, revision config.Revision, err error) {
	c.rejected.Add(1)
	c.lastError.Store(err.Error())
	c.log.Info("configuration rejected", "value", name, "revision", revision, "error", err.Error())
}
