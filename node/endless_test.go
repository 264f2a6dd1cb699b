package node

import (
	"testing"

	"github.com/go-logr/logr"

	"github.com/toucancove/toucancove/internal/standin/flood"
	"github.com/toucancove/toucancove/settings"
)

// Only the first bytes of a body are read, so that an endless one is no error.
func TestEndlessHealthResponsesAreNotKept(t *testing.T) {
	flood.CheckHeap(t, 2, "", func(address string) error {
		h := newHealth(settings.Upstream{Address: address}, logr.Discard(), nil)
		defer h.client.CloseIdleConnections()
		_, _, err := h.get(t.Context(), "/health")
		return err
	})
}
