package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/slots"
	"github.com/toucancove/toucancove/follow"
	"github.com/toucancove/toucancove/internal/bubble"
)

// A call waits behind a slow request until its deadline is near. If the guard refused
// it only at the deadline, the entry would give up at the same moment and could not
// report that the request did not run.
func TestGuardRefusesBeforeTheEntryGivesUp(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		g := newGuard(guardConfig{
			address: "127.0.0.1:1", state: func() *follow.State { return &follow.State{} },
			stopping: &stopSteps{}, calls: newCallTracker(),
		})
		g.queue.SetSlots(1)
		const budget = 300 * time.Millisecond
		const networkDelay = 10 * time.Millisecond // of the refusal, between zones
		call := guardRequest{route: "r", deadline: time.Now().Add(budget)}
		call.info.Call = true
		if verdict := g.acquire(context.Background(), call); verdict != slots.Run {
			t.Fatalf("verdict %v of the first call, want Run", verdict)
		}
		began := time.Now()
		if verdict := g.acquire(context.Background(), call); verdict == slots.Run {
			t.Fatal("second call runs although the only slot is taken")
		}
		if took := time.Since(began); took > budget-networkDelay {
			t.Errorf("refused after %v of %v, too late for a network delay of %v", took, budget, networkDelay)
		}
	})
}
