package member

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(100, 0)

// step records one piece of evidence on instance "a" at the given time.
type step func(d *Detector, now time.Time)

func success(boot BootID, leaving bool) step {
	return func(d *Detector, now time.Time) { d.Success(now, "a", boot, leaving) }
}

func failure(f Failure) step {
	return func(d *Detector, now time.Time) { d.Failed(now, "a", f) }
}

func reports(from ...InstanceID) step {
	return func(d *Detector, now time.Time) {
		for _, id := range from {
			d.Report(now, id, "a")
		}
	}
}

func list(leaving bool) step {
	return func(d *Detector, _ time.Time) { d.SetList(service("s", leaving, "a", "b", "c", "d")) }
}

func unlist(d *Detector, _ time.Time) { d.SetList(service("s", false, "b", "c", "d")) }

func service(name string, leaving bool, ids ...InstanceID) []Listed {
	var listed []Listed
	for i, id := range ids {
		listed = append(listed, Listed{ID: id, Service: name, Leaving: leaving && i == 0})
	}
	return listed
}

func TestDetectorState(t *testing.T) {
	const tick = 100 * time.Millisecond
	tests := []struct {
		name  string
		steps []step
		wait  time.Duration // after the last step
		want  State
	}{
		{"listed", nil, 0, Live},
		{"failed connect", []step{failure(ConnectFailed)}, 0, Suspect},
		{"failed connect after a success", []step{success(1, false), failure(ConnectFailed)}, 0, Suspect},
		{"one connection reset", []step{failure(ConnectionReset)}, 0, Live},
		{"two connection resets", []step{failure(ConnectionReset), failure(ConnectionReset)}, 0, Suspect},
		{"connection resets with a success between", []step{failure(ConnectionReset), success(1, false), failure(ConnectionReset)}, 0, Live},
		{"failing for goneAfter", []step{failure(ConnectFailed)}, goneAfter, Gone},
		{"repeated failure keeps the time of the first", []step{failure(ConnectFailed), failure(ConnectFailed)}, goneAfter - tick, Gone},
		{"probe succeeds", []step{failure(ConnectFailed), success(1, false)}, 0, Live},
		{"list repeats a failed instance", []step{failure(ConnectFailed), list(false)}, 0, Suspect},
		{"reported leaving", []step{success(1, true)}, 0, Leaving},
		{"reported leaving, list lags", []step{success(1, true), list(false)}, 0, Leaving},
		{"reported leaving, late answer", []step{success(1, true), success(1, false)}, 0, Leaving},
		{"reported leaving, then restarted", []step{success(1, true), success(2, false)}, 0, Live},
		{"listed as leaving", []step{success(1, false), list(true)}, 0, Leaving},
		{"leaving, then stopped", []step{success(1, true), failure(ConnectFailed)}, goneAfter, Gone},
		{"no longer listed", []step{success(1, false), unlist}, 0, Gone},
		{"one reporter", []step{reports("x", "x", "x")}, 0, Live},
		{"two reporters", []step{reports("x", "y")}, 0, Suspect},
		{"report of the instance itself does not count", []step{reports("a", "x")}, 0, Live},
		{"success after reports", []step{reports("x", "y"), success(1, false)}, 0, Live},
		{"reports after a recent success", []step{success(1, false), reports("x", "y")}, 0, Live},
		{"reports expire", []step{reports("x", "y")}, reportTTL, Live},
		{"many reports make it suspect, not gone", []step{reports("x", "y", "z", "v", "w")}, reportTTL - tick, Suspect},
	}
	for _, tt := range tests {
		d := NewDetector()
		d.SetList(service("s", false, "a", "b", "c", "d"))
		now := start
		for _, s := range tt.steps {
			s(d, now)
			now = now.Add(tick)
		}
		now = now.Add(tt.wait - tick)
		if got := d.State(now, "a"); got != tt.want {
			t.Errorf("%s: %v; want %v", tt.name, got, tt.want)
		}
	}
}

func TestReportsAreBounded(t *testing.T) {
	d := NewDetector()
	ids := []InstanceID{"a", "b", "c", "d", "e", "f", "g", "h"}
	d.SetList(append(service("s", false, ids...), service("small", false, "m", "n")...))
	for _, about := range append(ids, "m", "n") {
		for _, from := range []InstanceID{"x", "y", "z"} {
			d.Report(start, from, about)
		}
	}
	suspects := 0
	for _, s := range d.All(start.Add(time.Second)) {
		if s.State == Suspect && s.ByReports {
			suspects++
		}
	}
	if want := len(ids) / instancesPerReported; suspects != want {
		t.Errorf("%d of %d instances suspect by reports; want %d", suspects, len(ids), want)
	}
}

func TestProbesBackOff(t *testing.T) {
	d := NewDetector()
	d.SetList(service("s", false, "a", "b"))
	d.Failed(start, "a", ConnectFailed)
	var intervals []time.Duration
	last := start
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(minProbeInterval) {
		if due := d.Probes(now); len(due) == 1 && due[0] == "a" {
			intervals = append(intervals, now.Sub(last))
			last = now
			d.Failed(now, "a", ConnectFailed)
		}
	}
	if !slices.IsSorted(intervals) || intervals[0] != minProbeInterval || intervals[len(intervals)-1] != maxProbeInterval {
		t.Errorf("probe intervals %v; want increasing from %v to %v", intervals, minProbeInterval, maxProbeInterval)
	}
	d.Success(last, "a", 1, false)
	if due := d.Probes(last.Add(time.Minute)); len(due) != 0 {
		t.Errorf("probes of %v after a success", due)
	}
}
