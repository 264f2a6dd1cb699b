package mesh

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// maxBufferedBody is the size in bytes up to which a request body is buffered, so
// that it can be sent again. Larger bodies are streamed.
const maxBufferedBody = 64 << 10

// errBodyTruncated means that a request body ended before its Content-Length.
var errBodyTruncated = errors.New("request body is shorter than its Content-Length")

// errBodyGone means that a streamed request body has been sent before, at least in part.
var errBodyGone = errors.New("streamed request body was sent before")

// errCallerGone is the cancellation cause of contexts whose caller closed its
// connection.
var errCallerGone = errors.New("caller closed its connection")

// body is the body of a request, either buffered or streamed. A request is sent with its
// whole body or not at all: connPool.exchange is the only place that attaches one.
type body struct {
	buffered []byte
	stream   io.Reader
	// length is the length of the stream in bytes, -1 if it is chunked.
	length int
	// sent is set once a connection has been found for the stream.
	sent bool
}

// readBody buffers a body of up to maxBufferedBody and leaves a larger one as a
// stream.
func readBody(ctx *fasthttp.RequestCtx) (*body, error) {
	request := &ctx.Request
	if !request.IsBodyStream() {
		return &body{buffered: request.Body()}, nil
	}
	length := request.Header.ContentLength()
	stream := request.BodyStream()
	if length > maxBufferedBody {
		return &body{stream: stream, length: length}, nil
	}
	head, err := io.ReadAll(io.LimitReader(stream, maxBufferedBody+1))
	if err != nil {
		return nil, err
	}
	if len(head) > maxBufferedBody {
		return &body{stream: io.MultiReader(bytes.NewReader(head), stream), length: length}, nil
	}
	if length >= 0 && len(head) != length {
		return nil, errBodyTruncated
	}
	return &body{buffered: head}, nil
}

// replayable reports whether the body can be sent from its start: a stream can be
// sent only once.
func (b *body) replayable() bool { return b.stream == nil || !b.sent }

// attach sets the body of an outgoing request. It fails with errBodyGone if the body can't
// be sent from its start.
func (b *body) attach(request *fasthttp.Request) error {
	if b.stream == nil {
		request.SetBodyRaw(b.buffered)
		return nil
	}
	if b.sent {
		return errBodyGone
	}
	b.sent = true
	request.SetBodyStream(b.stream, b.length)
	return nil
}

// watchCaller returns a context that is cancelled when the caller closes its
// connection, and a function that ends the watch. There is no watch for a streamed
// body: reading the stream fails if its connection is closed.
func watchCaller(ctx *fasthttp.RequestCtx, b *body) (context.Context, func()) {
	watched, cancel := context.WithCancelCause(context.Background())
	conn, ok := ctx.Conn().(*callerConn)
	if !ok || b.stream != nil {
		return watched, func() { cancel(nil) }
	}
	conn.watch(func() { cancel(errCallerGone) })
	return watched, func() {
		conn.unwatch()
		cancel(nil)
	}
}

// headerRead records that the header of a request has been read from the caller's
// connection.
func headerRead(ctx *fasthttp.RequestCtx) {
	if conn, ok := ctx.Conn().(*callerConn); ok {
		conn.headerRead()
	}
}

// writeResponse forwards a response to the caller.
func writeResponse(ctx *fasthttp.RequestCtx, r *receivedResponse) {
	source := r.raw
	length := source.Header.ContentLength()
	copyResponseHeader(&ctx.Response.Header, &source.Header)
	switch {
	case source.SkipBody:
		ctx.Response.SkipBody = true
		ctx.Response.Header.SetContentLength(max(length, 0))
	case r.stream != nil:
		ctx.Response.SetBodyStream(r.stream, max(length, -1))
		return // the server closes the stream when it has been written
	default:
		ctx.Response.SetBodyRaw(r.body)
	}
	r.release()
}
