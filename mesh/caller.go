package mesh

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

// callerListener accepts connections that detect, while a request is served,
// whether the caller closes them.
type callerListener struct {
	net.Listener
	conns *callerConns
	// limits returns the published limits. Zero fields leave the server's own
	// limits in force.
	limits func() catalog.Limits
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	caller := &callerConn{Conn: conn, limits: l.limits}
	l.conns.accepted(caller)
	return caller, nil
}

// connPhase is what the node expects next on a caller's connection.
type connPhase uint8

const (
	// phaseIdle: the first byte of a request.
	phaseIdle connPhase = iota
	// phaseHeader: the rest of the request header.
	phaseHeader
	// phaseServing: the request body, then the end of the response.
	phaseServing
)

// callerConn is the connection of a caller. It enforces the published header and
// idle timeouts. While a request is served the server does not read from the
// connection, so watch reads one byte to detect that the caller closed it. If that
// byte belongs to the next request, the next Read returns it.
type callerConn struct {
	net.Conn
	limits func() catalog.Limits
	// use tells whether the connection has a request. It is owned by callerConns.
	use atomic.Int32
	// phase and headerDeadline are only used by the goroutine that serves the
	// connection.
	phase          connPhase
	headerDeadline time.Time

	// peeked is the byte that watch read, if hasPeeked is set. done is closed when
	// the read of watch has returned.
	peeked         [1]byte
	hasPeeked      bool
	closedByCaller atomic.Bool
	done           chan struct{}
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.hasPeeked && len(p) > 0 {
		p[0] = c.peeked[0]
		c.hasPeeked = false
		return 1, c.beginHeader()
	}
	if idle := c.limits().IdleTimeout; c.phase == phaseIdle && idle > 0 {
		if err := c.Conn.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if err == nil && n > 0 {
		err = c.beginHeader()
	}
	return n, err
}

// beginHeader starts the header timeout at the first byte of a request.
func (c *callerConn) beginHeader() error {
	if c.phase != phaseIdle {
		return nil
	}
	c.phase, c.headerDeadline = phaseHeader, time.Time{}
	if limit := c.limits().HeaderTimeout; limit > 0 {
		c.headerDeadline = time.Now().Add(limit)
		return c.Conn.SetReadDeadline(c.headerDeadline)
	}
	return nil
}

// headerRead replaces the header timeout by the server's read timeout for the body.
func (c *callerConn) headerRead() {
	c.phase = phaseServing
	if err := c.Conn.SetReadDeadline(time.Now().Add(defaultLimits().readTimeout)); err != nil {
		_ = c.Close() // the connection is broken; the next read returns the error
	}
}

// SetReadDeadline implements net.Conn. It can't extend the header timeout.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if c.phase == phaseHeader && !c.headerDeadline.IsZero() && (t.IsZero() || t.After(c.headerDeadline)) {
		t = c.headerDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. After a response the next request is expected.
func (c *callerConn) Write(p []byte) (int, error) {
	c.phase = phaseIdle
	return c.Conn.Write(p)
}

// watch calls onClose if the caller closes the connection before unwatch.
func (c *callerConn) watch(onClose func()) {
	if c.hasPeeked {
		return
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		onClose()
		return
	}
	done := make(chan struct{})
	c.done = done
	go func() {
		defer close(done)
		n, err := c.Conn.Read(c.peeked[:])
		if n == 1 {
			c.hasPeeked = true
			return
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return
		}
		c.closedByCaller.Store(true)
		onClose()
	}()
}

// unwatch ends the watch and returns once its read has returned.
func (c *callerConn) unwatch() {
	if c.done == nil {
		return
	}
	// A deadline in the past interrupts the read. If it can't be set the
	// connection is closed, which interrupts the read too.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-c.done
	c.done = nil
	_ = c.SetReadDeadline(time.Time{})
}
