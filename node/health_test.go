package node

import (
	"testing"

	"github.com/go-logr/logr"

	"github.com/toucancove/toucancove/internal/standin/raw"
	"github.com/toucancove/toucancove/settings"
)

// A malformed response says nothing about the upstream, least of all that it has stopped
// draining.
func TestMalformedHealthResponseIsNotBelieved(t *testing.T) {
	const rest = "Content-Length: 0\r\nConnection: close\r\n\r\n"
	for name, response := range map[string]string{
		"status 000":             "HTTP/1.1 000 Failed\r\n" + rest,
		"status 600":             "HTTP/1.1 600 Failed\r\n" + rest,
		"blank inside the name":  "HTTP/1.1 200 OK\r\nX Field: 1\r\n" + rest,
		"blank behind the name":  "HTTP/1.1 200 OK\r\nX-Field : 1\r\n" + rest,
		"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01Field: 1\r\n" + rest,
	} {
		t.Run(name, func(t *testing.T) {
			server := raw.Start(t, "HTTP/1.1 503 Draining\r\n"+rest)
			h := newHealth(settings.Upstream{Address: server.Address, HealthPath: "/health"}, logr.Discard(), nil)
			defer h.client.CloseIdleConnections()
			h.pollHealth(t.Context())
			if _, draining := h.draining[drainUpstream]; !draining {
				t.Fatal("503 does not count as draining")
			}
			server.SetResponse(response)
			h.pollHealth(t.Context())
			if _, draining := h.draining[drainUpstream]; !draining {
				t.Error("the upstream counts as serving again")
			}
			server.SetResponse("HTTP/1.1 200 OK\r\n" + rest)
			h.pollHealth(t.Context())
			if _, draining := h.draining[drainUpstream]; draining {
				t.Error("the upstream still counts as draining after a proper response")
			}
		})
	}
}
