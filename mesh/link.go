package mesh

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/internal/sockets"
)

const (
	// dialTimeout bounds the time to open a connection within the fleet, where a
	// round trip takes a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout closes connections on which sent data is not acknowledged.
	tcpUserTimeout = 600 * time.Millisecond
	// idleMargin is how long before the other side's idle timeout an idle
	// connection is closed.
	idleMargin = time.Second
	// defaultIdleTimeout applies to idle connections if the other side announces
	// no timeout.
	defaultIdleTimeout = 8 * time.Second
	// maxIdleAtMostOnce is the idle time up to which a connection is reused for a
	// request that may run only once: the other side may have dropped it.
	maxIdleAtMostOnce = 500 * time.Millisecond
	// maxIdleConns bounds the idle connections of a pool.
	maxIdleConns = 256
	// maxUnsolicited is the number of responses to other requests that are
	// skipped before an exchange fails.
	maxUnsolicited = 2
	// connBufferSize is the size of the read buffer and of the write buffer of a
	// connection in bytes. A response header must fit into it.
	connBufferSize = 8 << 10
	// maxBufferedResponse is the size in bytes up to which a response body is
	// buffered. Larger ones are streamed.
	maxBufferedResponse = 128 << 10
)

// stage is how far an exchange got before it failed.
type stage uint8

const (
	// stageConnect: nothing of the request was sent.
	stageConnect stage = iota
	// stageWrite: the request may have been sent in part.
	stageWrite
	// stageRead: the request was sent and no complete response was received.
	stageRead
)

// exchangeError is the error of a failed exchange.
type exchangeError struct {
	stage stage
	err   error
}

// Error implements error.
func (e *exchangeError) Error() string {
	return fmt.Sprintf("%s: %v", [...]string{"connect", "write", "read"}[e.stage], e.err)
}

// Unwrap returns the cause.
func (e *exchangeError) Unwrap() error { return e.err }

// notRun reports whether the request was certainly not received.
func (e *exchangeError) notRun() bool { return e.stage == stageConnect }

// connPool is a pool of connections to one address. It never retries a request. It
// is safe for concurrent use.
type connPool struct {
	address string
	// requestID is the header that a response must echo. idOptional is set for guards,
	// which write one response to each request in order; older ones omit the id.
	requestID  string
	idOptional bool

	mu   sync.Mutex
	idle []*pooledConn
	// untaggedAt is when the last response without an id came.
	untaggedAt time.Time
	// epoch increases when all idle connections are closed.
	epoch int
}

// connReaders and connWriters hold buffers for connections with a request in flight.
// Idle connections, which are many more, have none.
var (
	connReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, connBufferSize) }}
	connWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, connBufferSize) }}
)

// pooledConn is a connection to an instance or to its guard. It has buffers only
// while a request is in flight on it.
type pooledConn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// requests is the number of requests that were sent on the connection.
	requests int
	// idleAt is the time at which the connection became idle.
	idleAt time.Time
	// idleTimeout is how long the connection may stay idle.
	idleTimeout time.Duration
	// epoch is that of the pool when the connection was opened.
	epoch int
}

func (c *pooledConn) acquireBuffers() {
	c.reader = connReaders.Get().(*bufio.Reader)
	c.reader.Reset(c.Conn)
	c.writer = connWriters.Get().(*bufio.Writer)
	c.writer.Reset(c.Conn)
}

// releaseBuffers returns the buffers to their pools. They must be empty.
func (c *pooledConn) releaseBuffers() {
	c.reader.Reset(nil)
	connReaders.Put(c.reader)
	c.writer.Reset(nil)
	connWriters.Put(c.writer)
	c.reader, c.writer = nil, nil
}

func newConnPool(address, requestID string) *connPool {
	return &connPool{address: address, requestID: requestID}
}

// sendings are the connections that have carried a request. Responses echo the id of the
// request, which does not tell its sendings apart: on the connection of the first sending, a
// late copy of its response would match the second. So a connection carries a request once.
type sendings struct {
	conns []*pooledConn
}

func (s *sendings) add(conn *pooledConn) { s.conns = append(s.conns, conn) }

func (s *sendings) include(conn *pooledConn) bool { return slices.Contains(s.conns, conn) }

// exchangeOptions control how one request is sent.
type exchangeOptions struct {
	// sendings are the earlier ones of the request by this process.
	sendings *sendings
	// body is the body of the request.
	body     *body
	deadline time.Time
	// atMostOnce marks a request that may run only once.
	atMostOnce bool
}

// exchange sends a request and reads its response. Cancelling ctx closes the
// connection. Errors are *exchangeError.
func (p *connPool) exchange(ctx context.Context, req *fasthttp.Request, o exchangeOptions) (*receivedResponse, error) {
	if err := context.Cause(ctx); err != nil {
		return nil, &exchangeError{stageConnect, err}
	}
	conn, err := p.acquire(ctx, req.Header.Peek(p.requestID), o)
	if err != nil {
		return nil, &exchangeError{stageConnect, err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	received, err := p.roundTrip(conn, req, o, stop)
	if err != nil {
		stop()
		_ = conn.Close()
		if errors.Is(err, syscall.ETIMEDOUT) {
			p.closeIdle(conn.epoch)
		}
		return nil, err
	}
	return received, nil
}

// acquire returns an idle connection that is open and has nothing to read, or a new
// one.
func (p *connPool) acquire(ctx context.Context, id []byte, o exchangeOptions) (*pooledConn, error) {
	now := time.Now()
	if p.needsNewConn(now, id) {
		return p.dial(ctx, o.deadline)
	}
	for {
		conn := p.popIdle(now, o)
		if conn == nil {
			return p.dial(ctx, o.deadline)
		}
		if now.Sub(conn.idleAt) < conn.idleTimeout && sockets.IsIdle(conn.Conn) {
			conn.acquireBuffers()
			return conn, nil
		}
		_ = conn.Close()
	}
}

// popIdle removes the most recently used idle connection that has not carried the request.
// It returns nil if that one was idle for too long for a request that may run only once.
func (p *connPool) popIdle(now time.Time, o exchangeOptions) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, conn := range slices.Backward(p.idle) {
		if o.atMostOnce && now.Sub(conn.idleAt) >= maxIdleAtMostOnce {
			return nil
		}
		if !o.sendings.include(conn) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return conn
		}
	}
	return nil
}

func (p *connPool) dial(ctx context.Context, deadline time.Time) (*pooledConn, error) {
	timeout := min(dialTimeout, time.Until(deadline))
	if timeout <= 0 {
		return nil, os.ErrDeadlineExceeded
	}
	conn, err := sockets.Dialer(timeout, tcpUserTimeout).DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	epoch := p.epoch
	p.mu.Unlock()
	fresh := &pooledConn{Conn: conn, idleTimeout: defaultIdleTimeout, epoch: epoch}
	fresh.acquireBuffers()
	return fresh, nil
}

// putIdle returns a connection to the pool. No response may be outstanding on it.
func (p *connPool) putIdle(conn *pooledConn) {
	conn.idleAt = time.Now()
	conn.releaseBuffers()
	p.mu.Lock()
	kept := conn.epoch == p.epoch && len(p.idle) < maxIdleConns
	if kept {
		p.idle = append(p.idle, conn)
	}
	p.mu.Unlock()
	if !kept {
		_ = conn.Close()
	}
}

// closeIdle closes all idle connections if epoch is current. It is called when a
// connection of that epoch became unresponsive: the others may be so too.
func (p *connPool) closeIdle(epoch int) {
	p.mu.Lock()
	var closing []*pooledConn
	if epoch == p.epoch {
		p.epoch++
		closing, p.idle = p.idle, nil
	}
	p.mu.Unlock()
	for _, conn := range closing {
		_ = conn.Close()
	}
}

func (p *connPool) currentEpoch() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch
}

// closeExpired closes connections whose idle timeout has passed, that the other side has
// closed, or on which bytes arrived that belong to no request.
func (p *connPool) closeExpired(now time.Time) {
	p.mu.Lock()
	var closing []*pooledConn
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if now.Sub(conn.idleAt) < conn.idleTimeout && sockets.IsIdle(conn.Conn) {
			kept = append(kept, conn)
		} else {
			closing = append(closing, conn)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, conn := range closing {
		_ = conn.Close()
	}
}

func (p *connPool) roundTrip(conn *pooledConn, req *fasthttp.Request, o exchangeOptions, stop func() bool) (*receivedResponse, error) {
	if err := conn.SetDeadline(o.deadline); err != nil {
		return nil, &exchangeError{stageConnect, err}
	}
	if err := o.body.attach(req); err != nil {
		return nil, &exchangeError{stageConnect, err}
	}
	o.sendings.add(conn)
	conn.requests++
	if err := req.Write(conn.writer); err != nil {
		return nil, &exchangeError{stageWrite, err}
	}
	if err := conn.writer.Flush(); err != nil {
		return nil, &exchangeError{stageWrite, err}
	}
	response := fasthttp.AcquireResponse()
	received, err := p.read(conn, req, response, o, stop)
	if err != nil {
		fasthttp.ReleaseResponse(response)
		return nil, &exchangeError{stageRead, err}
	}
	return received, nil
}

// readBody buffers a body of up to maxBufferedResponse and leaves a larger one as a
// stream.
func (p *connPool) readBody(conn *pooledConn, response *fasthttp.Response) (r *receivedResponse, complete bool, err error) {
	stream := response.BodyStream()
	if stream == nil {
		return &receivedResponse{raw: response, body: response.Body()}, true, nil
	}
	head, err := io.ReadAll(io.LimitReader(stream, maxBufferedResponse+1))
	if err != nil {
		return nil, false, err
	}
	if len(head) <= maxBufferedResponse {
		if length := response.Header.ContentLength(); length >= 0 && length != len(head) {
			return nil, false, io.ErrUnexpectedEOF
		}
		_ = response.CloseBodyStream() // already read to its end
		return &receivedResponse{raw: response, body: head}, true, nil
	}
	rest := &responseStream{pool: p, conn: conn, response: response, head: head, tail: stream}
	return &receivedResponse{raw: response, stream: rest}, false, nil
}

// recycle returns the connection to the pool if it can be reused, or closes it.
func (p *connPool) recycle(conn *pooledConn, response *fasthttp.Response, stop func() bool, reusable bool) {
	uncancelled := stop()
	framed := response.Header.ContentLength() != identityLength
	if !reusable || !uncancelled || !framed || p.isUntagged(time.Now()) || response.ConnectionClose() || conn.reader.Buffered() > 0 {
		_ = conn.Close()
		return
	}
	if idle, ok := idleTimeout(response.Header.Peek(fasthttp.HeaderKeepAlive)); ok {
		conn.idleTimeout = max(idle-idleMargin, idle/2)
	}
	p.putIdle(conn)
}
