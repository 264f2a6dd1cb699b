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

// What is accepted once callers have had time to turn away must end before the process
// does, for any length of the grace period: it would be cut without an answer.
func TestLateRequestsEndBeforeTheProcess(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		d, exit := Drain{Grace: grace}, exitOf(grace)
		for elapsed := time.Duration(0); elapsed < grace; elapsed += tick {
			step := d.Next(elapsed, 1, 1)
			for _, left := range []time.Duration{0, time.Second / 2, grace / 4, grace / 2, grace} {
				inTime := elapsed+left <= d.LastDeadline()
				if step.Accepts(false, inTime) && elapsed >= UnreadyNotice && elapsed+left >= exit {
					t.Errorf("grace period %v, after %v: a request that may take %v is accepted", grace, elapsed, left)
				}
				if step.Accepts(true, inTime) && elapsed >= 3*time.Second && elapsed+left >= exit {
					t.Errorf("grace period %v, after %v: a call that may take %v is accepted", grace, elapsed, left)
				}
				if !step.Accepts(true, inTime) && inTime && !step.RefusesAll {
					t.Errorf("grace period %v, after %v: a call that ends in time is refused", grace, elapsed)
				}
			}
			if !step.Accepts(false, false) && elapsed < UnreadyNotice && !step.RefusesClients {
				t.Errorf("grace period %v, after %v: a client that can't know of the stop is refused", grace, elapsed)
			}
		}
	}
}

// exitOf returns when a stop with a request in flight exits.
func exitOf(grace time.Duration) time.Duration {
	d := Drain{Grace: grace}
	for elapsed := time.Duration(0); ; elapsed += tick {
		if d.Next(elapsed, 1, 1).Exit {
			return elapsed
		}
	}
}
