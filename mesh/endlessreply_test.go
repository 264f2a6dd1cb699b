package mesh

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/follow"
	"github.com/toucancove/toucancove/internal/standin/flood"
	"github.com/toucancove/toucancove/peer/meshpb"
)

// The address of a node's control port may be that of another process a moment later.
func TestEndlessRepliesToControlCallsAreNotKept(t *testing.T) {
	for name, call := range map[string]func(ctx context.Context, clients *controlClients, address string) error{
		"published": func(ctx context.Context, clients *controlClients, address string) error {
			_, err := clients.Published(ctx, address, follow.Query{})
			return err
		},
		"draw": func(ctx context.Context, clients *controlClients, address string) error {
			_, err := clients.client(address).DrawTokens(ctx, &meshpb.DrawRequest{})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			flood.CheckReader(t, 2, "Content-Type: application/protobuf\r\n", func(address string) error {
				clients := newControlClients(logr.Discard())
				defer clients.http.CloseIdleConnections()
				ctx, cancel := context.WithTimeout(t.Context(), controlTimeout)
				defer cancel()
				return call(ctx, clients, address)
			})
		})
	}
}

// The same for requests: the address of a guard may be that of another process.
func TestEndlessResponsesInPlaceOfAGuardAreNotKept(t *testing.T) {
	const calls, timeout = 8, 700 * time.Millisecond
	for _, method := range []string{fasthttp.MethodGet, fasthttp.MethodHead} {
		t.Run(method, func(t *testing.T) {
			// What follows a response to HEAD is no body: an idle connection on which it
			// arrives is closed, see TestIdleConnectionWithBytesToReadIsClosed.
			flood.CheckHeap(t, calls, "", func(address string) error {
				pool := newConnPool(address, testHeaders.RequestID)
				pool.idOptional = true
				request := fasthttp.AcquireRequest()
				defer fasthttp.ReleaseRequest(request)
				request.Header.SetMethod(method)
				request.SetRequestURI("http://" + address + "/")
				received, err := pool.exchange(t.Context(), request, exchangeOptions{
					body: &body{}, sendings: &sendings{}, deadline: time.Now().Add(timeout),
				})
				if err != nil {
					return err
				}
				defer received.release()
				if received.stream != nil {
					_, err = io.Copy(io.Discard, received.stream)
				}
				return err
			})
		})
	}
}
