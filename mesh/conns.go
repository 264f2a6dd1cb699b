package mesh

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// callerConns are the open connections of clients and of other nodes. It is safe for
// concurrent use.
type callerConns struct {
	// inFlight is the number of connections with a request: from its first byte until
	// its response has been written.
	inFlight atomic.Int64

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newCallerConns() *callerConns { return &callerConns{open: make(map[*callerConn]struct{})} }

// Values of callerConn.use.
const (
	// connUnused: no request has begun since the last response.
	connUnused int32 = iota
	// connInFlight: a request is being read, runs, or its response is being written.
	connInFlight
	// connEnding: the node closes the connection.
	connEnding
)

// accepted adds a new connection.
func (c *callerConns) accepted(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = struct{}{}
}

// stateChanged implements fasthttp.Server.ConnState.
func (c *callerConns) stateChanged(conn net.Conn, state fasthttp.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		if caller.use.CompareAndSwap(connUnused, connInFlight) {
			c.inFlight.Add(1)
		}
	case fasthttp.StateIdle:
		c.endRequest(caller)
	case fasthttp.StateClosed:
		c.endRequest(caller)
		c.mu.Lock()
		delete(c.open, caller)
		c.mu.Unlock()
	}
}

func (c *callerConns) endRequest(conn *callerConn) {
	if conn.use.CompareAndSwap(connInFlight, connUnused) {
		c.inFlight.Add(-1)
	}
}

// closeUnused closes the connections without a request.
func (c *callerConns) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if conn.use.CompareAndSwap(connUnused, connEnding) {
			_ = conn.Close()
		}
	}
}

// count returns the number of open connections.
func (c *callerConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}
