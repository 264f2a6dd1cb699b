package mesh

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/toucancove/toucancove/core/slots"
	"github.com/toucancove/toucancove/follow"
)

// A call for a running request waits behind a slow one until its time is nearly
// over. Its entry gives up at the same moment and could no longer say that
// nothing ran.
func TestGuardRefusesBeforeTheEntryGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(guardConfig{
			address: "127.0.0.1:1", state: func() *follow.State { return &follow.State{} },
			leaving: new(atomic.Bool), closed: new(atomic.Bool), lineage: newLineage(),
		})
		g.queue.SetSlots(1)
		const budget = 300 * time.Millisecond
		const wayBack = 10 * time.Millisecond // of the answer, between zones
		call := guardCall{route: "r", deadline: time.Now().Add(budget)}
		call.info.Invested = true
		if verdict := g.acquire(context.Background(), call); verdict != slots.Run {
			t.Fatalf("verdict %v of the first call, want Run", verdict)
		}
		began := time.Now()
		if verdict := g.acquire(context.Background(), call); verdict == slots.Run {
			t.Fatal("a second call runs on the only slot")
		}
		if took := time.Since(began); took > budget-wayBack {
			t.Errorf("refused after %v of %v, too late for an answer that takes %v", took, budget, wayBack)
		}
	})
}
