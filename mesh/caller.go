package mesh

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

// callerListener accepts connections that can be watched for their end while a
// request of theirs is served.
type callerListener struct {
	net.Listener
	// limits returns the published ones; those that are zero leave the server's.
	limits func() catalog.Limits
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, limits: l.limits}, nil
}

// connPhase tells what a caller's connection is waited at for.
type connPhase uint8

const (
	// phaseIdle: the first byte of a request.
	phaseIdle connPhase = iota
	// phaseHeader: the rest of its header.
	phaseHeader
	// phaseServed: its body, and its answer.
	phaseServed
)

// callerConn is a connection of a caller. It holds the caller to the published
// times to send a header and to stay idle. While a request is served nobody reads
// from it, so a watch may, in order to notice that the caller has gone. A byte of
// the next request that the watch reads is kept for it.
type callerConn struct {
	net.Conn
	limits func() catalog.Limits
	// phase and headerBy belong to the goroutine that serves the connection.
	phase    connPhase
	headerBy time.Time

	kept    [1]byte
	hasKept bool
	gone    atomic.Bool
	done    chan struct{}
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.hasKept && len(p) > 0 {
		p[0] = c.kept[0]
		c.hasKept = false
		return 1, c.begin()
	}
	if idle := c.limits().IdleTimeout; c.phase == phaseIdle && idle > 0 {
		if err := c.Conn.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if err == nil && n > 0 {
		err = c.begin()
	}
	return n, err
}

// begin bounds the time for the header when the first byte of a request is there.
func (c *callerConn) begin() error {
	if c.phase != phaseIdle {
		return nil
	}
	c.phase, c.headerBy = phaseHeader, time.Time{}
	if limit := c.limits().HeaderTimeout; limit > 0 {
		c.headerBy = time.Now().Add(limit)
		return c.Conn.SetReadDeadline(c.headerBy)
	}
	return nil
}

// headerRead ends the time for the header. The body has the server's own.
func (c *callerConn) headerRead() {
	c.phase = phaseServed
	if err := c.Conn.SetReadDeadline(time.Now().Add(defaultLimits().readTimeout)); err != nil {
		_ = c.Close() // the connection is gone, which the next read reports
	}
}

// SetReadDeadline implements net.Conn. The time for a header stands.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if c.phase == phaseHeader && !c.headerBy.IsZero() && (t.IsZero() || t.After(c.headerBy)) {
		t = c.headerBy
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. After an answer the next request is due.
func (c *callerConn) Write(p []byte) (int, error) {
	c.phase = phaseIdle
	return c.Conn.Write(p)
}

// watch calls gone if the caller closes the connection before unwatch.
func (c *callerConn) watch(gone func()) {
	if c.hasKept {
		return
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		gone()
		return
	}
	done := make(chan struct{})
	c.done = done
	go func() {
		defer close(done)
		n, err := c.Conn.Read(c.kept[:])
		if n == 1 {
			c.hasKept = true
			return
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return
		}
		c.gone.Store(true)
		gone()
	}()
}

// unwatch ends the watch and returns once it reads no more.
func (c *callerConn) unwatch() {
	if c.done == nil {
		return
	}
	// A deadline in the past ends the read; if it can't be set the connection
	// is closed, which ends the read too.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-c.done
	c.done = nil
	_ = c.SetReadDeadline(time.Time{})
}
