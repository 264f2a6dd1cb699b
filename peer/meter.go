package peer

import (
	"context"
	"net"
	"sync/atomic"
)

// Meter counts the bytes of control traffic at a node's sockets, including HTTP
// headers and TLS. It is safe for concurrent use.
type Meter struct {
	in, out  atomic.Int64 // bytes
	messages atomic.Int64
}

// Traffic holds the counts of a meter since the start of the node.
type Traffic struct {
	// BytesIn and BytesOut count bytes received and sent.
	BytesIn  int64 `json:"bytesIn"`
	BytesOut int64 `json:"bytesOut"`
	// Messages counts the requests sent to peers.
	Messages int64 `json:"messages"`
}

// Traffic returns the counts so far.
func (m *Meter) Traffic() Traffic {
	return Traffic{BytesIn: m.in.Load(), BytesOut: m.out.Load(), Messages: m.messages.Load()}
}

// Listener returns a listener that counts the bytes of the connections that it
// accepts.
func (m *Meter) Listener(next net.Listener) net.Listener { return &meteredListener{next, m} }

// DialContext returns a dial function that counts the bytes of the connections that
// it opens.
func (m *Meter) DialContext(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{conn, m}, nil
	}
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{conn, l.meter}, nil
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.out.Add(int64(n))
	return n, err
}
