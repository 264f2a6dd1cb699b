package mesh

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// callerListener accepts connections that can be watched for their end while a
// request of theirs is served.
type callerListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
}

// callerConn is a connection of a caller. While a request is served nobody reads
// from it, so a watch may, in order to notice that the caller has gone. A byte of
// the next request that the watch reads is kept for it.
type callerConn struct {
	net.Conn
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
		return 1, nil
	}
	return c.Conn.Read(p)
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
