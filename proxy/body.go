package proxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// maxBufferedBody is the size in bytes of the largest body that is read into
// memory before it is forwarded, so that it can be sent again by a retry and a
// truncated body is detected before anything is sent.
const maxBufferedBody = 64 << 10

// errBodyTooLarge is returned for a body that exceeds the limit MaxBodyBytes of
// the entry or guard.
var errBodyTooLarge = errors.New("request body exceeds the limit")

// requestBody is the body of a request to forward, either buffered or a stream.
type requestBody struct {
	buffered []byte
	// stream is nil for a buffered body.
	stream io.Reader
	// length is the length of the stream in bytes, or -1 if it is chunked.
	length int
	// sent is set once the stream is attached to an outgoing request.
	sent bool
	// limited is the part of the stream that has not been buffered, nil for a
	// buffered body.
	limited *limitedBody
}

// readRequestBody buffers a body of up to maxBufferedBody bytes and leaves a
// larger one as a stream. limit is the largest size in bytes. Each read must
// return within readTimeout.
func readRequestBody(ctx *fasthttp.RequestCtx, limit int64, readTimeout time.Duration) (*requestBody, error) {
	req := &ctx.Request
	if !req.IsBodyStream() {
		return &requestBody{buffered: req.Body()}, nil
	}
	length := req.Header.ContentLength()
	if int64(length) > limit {
		return nil, errBodyTooLarge
	}
	stream := &limitedBody{reader: req.BodyStream(), remaining: limit, conn: ctx.Conn(), timeout: readTimeout}
	if length > maxBufferedBody {
		return &requestBody{stream: stream, length: length, limited: stream}, nil
	}
	head, err := io.ReadAll(io.LimitReader(stream, maxBufferedBody+1))
	if err != nil {
		return nil, err
	}
	if len(head) <= maxBufferedBody {
		if length >= 0 && len(head) != length {
			return nil, io.ErrUnexpectedEOF
		}
		return &requestBody{buffered: head}, nil
	}
	return &requestBody{stream: io.MultiReader(bytes.NewReader(head), stream), length: length, limited: stream}, nil
}

// repeatable reports whether the body can be sent from its start, which a retry
// needs.
func (b *requestBody) repeatable() bool { return b.stream == nil || !b.sent }

// truncated reports whether the stream failed on the caller's side: it exceeded
// its limit, timed out or ended early.
func (b *requestBody) truncated() bool { return b.limited != nil && b.limited.failed }

// attach sets the body on an outgoing request.
func (b *requestBody) attach(req *fasthttp.Request) {
	if b.stream == nil {
		req.SetBodyRaw(b.buffered)
		return
	}
	b.sent = true
	req.SetBodyStream(b.stream, b.length)
}

// limitedBody fails once more than its limit has been read, or when a read
// takes longer than timeout.
type limitedBody struct {
	reader io.Reader
	// remaining is the number of bytes left of the limit.
	remaining int64
	conn      net.Conn
	timeout   time.Duration
	// failed is set when a read fails or the limit is exceeded.
	failed bool
}

// Read implements io.Reader.
func (l *limitedBody) Read(p []byte) (int, error) {
	if err := l.conn.SetReadDeadline(time.Now().Add(l.timeout)); err != nil {
		return 0, err
	}
	n, err := l.reader.Read(p)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		l.failed = true
		return 0, errBodyTooLarge
	}
	if err != nil && !errors.Is(err, io.EOF) {
		l.failed = true
	}
	return n, err
}

// responseBody streams the body of a response and runs a callback once when it
// ends. If receiver is set, each part of the body must be written to it within
// timeout.
type responseBody struct {
	receiver net.Conn
	timeout  time.Duration
	exchange io.ReadCloser
	// size is the number of bytes read.
	size int64
	// err is the last error of a read, io.EOF after the whole body.
	err error
	// done receives a nil error only if the whole body was read.
	done func(size int64, err error)
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.exchange.Read(p)
	if b.receiver != nil {
		_ = b.receiver.SetWriteDeadline(time.Now().Add(b.timeout))
	}
	b.size += int64(n)
	if err != nil {
		b.err = err
	}
	return n, err
}

// Close ends the exchange and runs the callback. The response is complete only
// if io.EOF was read; otherwise the callback receives an error.
func (b *responseBody) Close() error {
	if b.done == nil {
		return nil
	}
	done := b.done
	b.done = nil
	err := b.err
	if errors.Is(err, io.EOF) {
		err = nil
	} else if err == nil {
		err = io.ErrClosedPipe
	}
	closeErr := b.exchange.Close()
	done(b.size, err)
	return closeErr
}
