package proxy

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/internal/standin/flood"
)

// Bodies are streamed: the reader below keeps nothing of them.
func TestEndlessResponsesAreNotKept(t *testing.T) {
	const timeout = 700 * time.Millisecond
	flood.CheckReader(t, 8, "", func(address string) error {
		client := NewClient(ClientConfig{Address: address, MaxConns: 8})
		defer client.Close()
		request := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		request.SetRequestURI("http://" + address + "/")
		exchange, err := client.Do(t.Context(), request, time.Now().Add(timeout))
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, exchange)
		return errors.Join(err, exchange.Close())
	})
}
