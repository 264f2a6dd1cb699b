package proxy

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/internal/sockets"
	"github.com/toucancove/toucancove/internal/wellformed"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
	// maxIdleConnDuration closes idle connections well before the server's
	// idle timeout does, so that a request seldom meets a closed connection.
	maxIdleConnDuration = 10 * time.Second
	// maxReusedConnTries bounds the search for an idle connection that the
	// server has not closed.
	maxReusedConnTries = 8
	// maxResponseHeader is the size in bytes of the largest header of a response.
	maxResponseHeader = 16 << 10
	// identityLength is the content length that fasthttp gives to a body which
	// is delimited by the close of the connection.
	identityLength = -2
)

// bodyless reports whether responses with the status never have a body and so
// need no content length.
func bodyless(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// Stage is the stage of an exchange at which it failed.
type Stage uint8

const (
	// StageConnect means that no byte of the request was sent.
	StageConnect Stage = iota
	// StageWrite means that a part of the request may have been sent.
	StageWrite
	// StageRead means that the request was sent, but no complete header of a
	// verifiable response was received.
	StageRead
)

// ErrUnverifiableResponse is returned for a response that is delimited by the
// close of the connection, since a truncated one can't be distinguished from
// it.
var ErrUnverifiableResponse = errors.New("answer has neither length nor chunks")

// ExchangeError reports a failed exchange.
type ExchangeError struct {
	Stage Stage
	Err   error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("exchange failed at stage %d: %v", e.Stage, e.Err)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }

// NotRun reports whether it is certain that the request did not reach the
// server.
func (e *ExchangeError) NotRun() bool { return e.Stage == StageConnect }

// Client exchanges requests with one server. It never retries a request, since
// retries are decided by package retry. It is safe for concurrent use.
type Client struct {
	host *fasthttp.HostClient
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the server's IP:port.
	Address string
	// MaxConns is the largest number of connections.
	MaxConns int
	// TLS is used when it is not nil.
	TLS *tls.Config
}

// NewClient returns a client for one server.
func NewClient(cfg ClientConfig) *Client {
	return &Client{host: &fasthttp.HostClient{
		Addr:                      cfg.Address,
		IsTLS:                     cfg.TLS != nil,
		TLSConfig:                 cfg.TLS,
		MaxConns:                  cfg.MaxConns,
		ReadBufferSize:            maxResponseHeader,
		MaxIdleConnDuration:       maxIdleConnDuration,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		DialTimeout:               dial,
		NoDefaultUserAgentHeader:  true,
	}}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

func dial(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > dialTimeout {
		timeout = dialTimeout
	}
	return net.DialTimeout("tcp", addr, timeout)
}

// Close closes the idle connections.
func (c *Client) Close() { c.host.CloseIdleConnections() }

// Exchange is a response whose header has been received. Read returns its body.
// Close must be called once.
type Exchange struct {
	// Head holds the status and headers of the response.
	Head *fasthttp.Response

	body io.Reader
	// whole is set once the whole body has been read.
	whole bool
	// finish releases the connection and the response.
	finish func(reuse bool)
	// stop ends the watch of the context; it returns false if the context was
	// cancelled before.
	stop func() bool
}

// Do sends the request and reads the header of the response. Cancelling
// ctx closes the connection. Every error is an *ExchangeError.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request, deadline time.Time) (*Exchange, error) {
	pooled, err := c.acquire(deadline)
	if err != nil {
		return nil, &ExchangeError{Stage: StageConnect, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = pooled.conn.Close() })
	if ctx.Err() != nil {
		stop()
		pooled.release(false)
		return nil, &ExchangeError{Stage: StageConnect, Err: ctx.Err()}
	}
	ex, err := c.roundTrip(pooled, req, deadline)
	if err != nil {
		stop()
		return nil, err
	}
	ex.stop = stop
	return ex, nil
}

// connection is a pooled connection with the function that returns it to the
// pool, or closes it if reuse is false.
type connection struct {
	conn    net.Conn
	release func(reuse bool)
}

// acquire returns a new connection, or an idle one that is still open and has
// no unread bytes.
func (c *Client) acquire(deadline time.Time) (connection, error) {
	for try := 0; ; try++ {
		timeout := time.Until(deadline)
		if timeout <= 0 {
			return connection{}, fasthttp.ErrTimeout
		}
		candidate, err := c.host.AcquireConn(timeout, false)
		if err != nil {
			return connection{}, err
		}
		if try >= maxReusedConnTries || sockets.IsIdle(candidate.Conn()) {
			release := func(reuse bool) {
				if reuse {
					c.host.ReleaseConn(candidate)
				} else {
					c.host.CloseConn(candidate)
				}
			}
			return connection{conn: candidate.Conn(), release: release}, nil
		}
		c.host.CloseConn(candidate)
	}
}

func (c *Client) roundTrip(pooled connection, req *fasthttp.Request, deadline time.Time) (*Exchange, error) {
	fail := func(stage Stage, err error) (*Exchange, error) {
		pooled.release(false)
		return nil, &ExchangeError{Stage: stage, Err: err}
	}
	if err := pooled.conn.SetDeadline(deadline); err != nil {
		return fail(StageConnect, err)
	}
	if err := c.write(pooled.conn, req); err != nil {
		return fail(StageWrite, err)
	}
	resp := fasthttp.AcquireResponse()
	resp.SkipBody = req.Header.IsHead()
	reader := c.host.AcquireReader(pooled.conn)
	if err := wellformed.Read(reader, resp); err != nil {
		c.host.ReleaseReader(reader)
		fasthttp.ReleaseResponse(resp)
		return fail(StageRead, err)
	}
	ex := &Exchange{Head: resp, body: resp.BodyStream()}
	ex.finish = func(reuse bool) {
		clean := reuse && !resp.ConnectionClose() && reader.Buffered() == 0
		_ = resp.CloseBodyStream()
		c.host.ReleaseReader(reader)
		pooled.release(clean)
		fasthttp.ReleaseResponse(resp)
	}
	if resp.Header.ContentLength() == identityLength && !resp.SkipBody && !bodyless(resp.StatusCode()) {
		ex.finish(false)
		return nil, &ExchangeError{Stage: StageRead, Err: ErrUnverifiableResponse}
	}
	return ex, nil
}

func (c *Client) write(conn net.Conn, req *fasthttp.Request) error {
	writer := c.host.AcquireWriter(conn)
	defer c.host.ReleaseWriter(writer)
	if err := req.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// Read reads the body. It returns io.EOF only after the whole body.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.body == nil {
		x.whole = true
		return 0, io.EOF
	}
	n, err := x.body.Read(p)
	if errors.Is(err, io.EOF) {
		x.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is reused only if the whole body was
// read and no further bytes were received.
func (x *Exchange) Close() error {
	if x.body == nil || x.Head.SkipBody {
		x.whole = true
	}
	uncancelled := x.stop == nil || x.stop()
	x.finish(x.whole && uncancelled)
	return nil
}
