package drain

import (
	"testing"
	"time"
)

const (
	grace = 6 * time.Second
	tick  = 20 * time.Millisecond
)

// A node without a request in flight must go on refusing until its connections are
// closed: the next request is near.
func TestIdleNodeRefusesBeforeItExits(t *testing.T) {
	d := Drain{Grace: grace}
	if step := d.Next(UnreadyNotice-tick, 0, 5); step.RefusesAll || step.RefusesPeers || step.Exit {
		t.Errorf("before the end of the notice: %+v", step)
	}
	if step := d.Next(UnreadyNotice, 0, 0); !step.RefusesAll || step.Exit {
		t.Errorf("at the end of the notice: %+v, want refusals and no exit in the same step", step)
	}
	if step := d.Next(UnreadyNotice+tick, 1, 2); !step.RefusesAll || step.Exit {
		t.Errorf("with a request in flight: %+v, want refusals and no exit", step)
	}
	if step := d.Next(UnreadyNotice+2*tick, 0, 0); !step.Exit {
		t.Errorf("with nothing left: %+v, want an exit", step)
	}
}

// Requests in flight keep the node from refusing everything and from exiting, until the
// grace period is nearly over.
func TestRunningRequestsDelayTheExit(t *testing.T) {
	d := Drain{Grace: grace}
	for elapsed := time.Duration(0); elapsed < 93*grace/100; elapsed += tick {
		step := d.Next(elapsed, 1, 1)
		if step.Exit || step.RefusesAll {
			t.Fatalf("after %v: %+v with a request in flight", elapsed, step)
		}
		if step.RefusesClients != (elapsed >= grace/2) || step.RefusesPeers != (elapsed >= UnreadyNotice) {
			t.Fatalf("after %v: %+v", elapsed, step)
		}
	}
	if step := d.Next(grace, 1, 1); !step.Exit {
		t.Errorf("at the end of the grace period: %+v, want an exit", step)
	}
}
