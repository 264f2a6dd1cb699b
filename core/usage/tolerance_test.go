package usage

import (
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

// All processes end together and restart within a window, when a workspace has
// just spent the whole depth. The requests admitted immediately before still
// arrive at instances, and no new pool accounts for them.
func TestFleetRestartLeavesRoomForRequestsInFlight(t *testing.T) {
	tolerance := Tolerance{Window: 5 * time.Second, Ratio: 0.25, Requests: 20}
	for _, w := range []catalog.Workspace{{Rate: 458, Burst: 458}, {Rate: 71, Burst: 71}, {Rate: 135, Burst: 70}} {
		allowed := (w.Rate*5+w.Burst)*1.25 + 20
		admitted := tolerance.rate(&w)*5 + tolerance.depth(&w) + tolerance.initialFill(&w) + tolerance.credit(&w)
		if room, inFlight := allowed-admitted, 0.1*w.Rate; room < inFlight {
			t.Errorf("rate %v, burst %v: room for %.0f requests, want %.0f", w.Rate, w.Burst, room, inFlight)
		}
	}
}
