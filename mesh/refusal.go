package mesh

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// refusal is an answer that a node gives in place of an instance.
type refusal struct {
	status int
	reason reason
	detail string
	run    run
	// retryAfter tells the caller when to come back, 0 for no advice.
	retryAfter time.Duration
}

func (a *refusal) write(ctx *fasthttp.RequestCtx, requestIDHeader, requestID string) {
	ctx.SetStatusCode(a.status)
	ctx.Response.Header.SetNoDefaultContentType(true)
	if requestID != "" {
		ctx.Response.Header.Set(requestIDHeader, requestID)
	}
	if a.retryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
}
