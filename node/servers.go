package node

import (
	"fmt"
	"strings"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/proxy"
)

// newServer returns a server for the public, the loopback or the peer listener.
func (n *Node) newServer(name string, handler fasthttp.RequestHandler) *fasthttp.Server {
	limits := n.settings.Limits
	return &fasthttp.Server{
		Handler:                      n.closeWhenLeaving(handler),
		Name:                         name,
		NoDefaultServerHeader:        true,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ReadBufferSize:               limits.HeaderBytes,
		MaxRequestBodySize:           int(limits.BodyBytes),
		Concurrency:                  limits.Connections,
		MaxConnsPerIP:                limits.ConnectionsPerIP,
		ReadTimeout:                  limits.ReadTimeout,
		WriteTimeout:                 limits.WriteTimeout,
		IdleTimeout:                  limits.IdleTimeout,
		ErrorHandler:                 proxy.HandleServerError,
		CloseOnShutdown:              true,
		SecureErrorLogMessage:        true,
		Logger:                       serverLog{n.log.WithValues("listener", name)},
	}
}

// closeWhenLeaving closes keep-alive connections with their next response once a
// planned stop has begun, so that none is in use when the listener closes.
func (n *Node) closeWhenLeaving(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		handler(ctx)
		if n.leaving.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// serverLog writes the messages of the server library to the log.
type serverLog struct{ log logr.Logger }

// Printf implements fasthttp.Logger. It cuts errors at the first quotation mark,
// because they quote requests, which can contain a key.
func (l serverLog) Printf(format string, args ...any) {
	for i, arg := range args {
		if err, ok := arg.(error); ok {
			args[i], _, _ = strings.Cut(err.Error(), `"`)
		}
	}
	l.log.Info("server event", "message", fmt.Sprintf(format, args...))
}
