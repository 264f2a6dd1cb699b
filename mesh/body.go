package mesh

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// maxHeldBody is the largest request body in bytes that is held as a whole, so
// that it can be sent again. Larger ones are passed on while they arrive.
const maxHeldBody = 64 << 10

// errBodyCut means that the sender broke off the body.
var errBodyCut = errors.New("request body was cut")

// errCallerGone is the cause of contexts whose caller closed its connection.
var errCallerGone = errors.New("caller closed its connection")

// body is that of a request on its way.
type body struct {
	held   []byte
	stream io.Reader
	// length is that of the stream in bytes, -1 if it comes in chunks.
	length int
	sent   bool
}

// readBody holds a body of moderate size and leaves a larger one as a stream.
func readBody(ctx *fasthttp.RequestCtx) (*body, error) {
	request := &ctx.Request
	if !request.IsBodyStream() {
		return &body{held: request.Body()}, nil
	}
	length := request.Header.ContentLength()
	stream := request.BodyStream()
	if length > maxHeldBody {
		return &body{stream: stream, length: length}, nil
	}
	head, err := io.ReadAll(io.LimitReader(stream, maxHeldBody+1))
	if err != nil {
		return nil, err
	}
	if len(head) > maxHeldBody {
		return &body{stream: io.MultiReader(bytes.NewReader(head), stream), length: length}, nil
	}
	if length >= 0 && len(head) != length {
		return nil, errBodyCut
	}
	return &body{held: head}, nil
}

// repeatable reports whether the body can be sent from its start.
func (b *body) repeatable() bool { return b.stream == nil || !b.sent }

// attach puts the body on an outgoing request.
func (b *body) attach(request *fasthttp.Request) {
	if b.stream == nil {
		request.SetBodyRaw(b.held)
		return
	}
	b.sent = true
	request.SetBodyStream(b.stream, b.length)
}

// watchCaller returns a context that ends when the caller closes its connection,
// and a function that ends the watch. A streamed body is read from the same
// connection, where a cut shows by itself.
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

// headerRead tells the caller's connection that the header of its request is read.
func headerRead(ctx *fasthttp.RequestCtx) {
	if conn, ok := ctx.Conn().(*callerConn); ok {
		conn.headerRead()
	}
}

// writeReply passes an answer on.
func writeReply(ctx *fasthttp.RequestCtx, r *reply) {
	source := r.response
	length := source.Header.ContentLength()
	copyAnswerHeader(&ctx.Response.Header, &source.Header)
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
