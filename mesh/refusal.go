package mesh

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// refusal is a response that a node sends in place of an instance.
type refusal struct {
	status int
	reason reason
	detail string
	// digest is that of the request, empty unless the reason needs it.
	digest string
	run    run
	// retryAfter is the Retry-After time, 0 for no such header.
	retryAfter time.Duration
}

func (r *refusal) write(ctx *fasthttp.RequestCtx, requestIDHeader, requestID string) {
	ctx.SetStatusCode(r.status)
	ctx.Response.Header.SetNoDefaultContentType(true)
	if requestID != "" {
		ctx.Response.Header.Set(requestIDHeader, requestID)
	}
	if r.retryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
}
