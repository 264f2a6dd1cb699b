package admission

import (
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/target"
)

func TestEarlyRefusal(t *testing.T) {
	e := NewEarlyRefusal()
	if d := e.Offer(start, "x", 9, true); d.Verdict != Run {
		t.Errorf("without a hint: %+v", d)
	}
	e.Observe(start, "x", Hint{Roots: Admitted{Lowest: 1}, Calls: Admitted{Lowest: 4}, RetryAfter: time.Second})
	steps := []struct {
		at   time.Duration
		rank target.Rank
		call bool
		want Verdict
	}{
		{0, 1, false, Run},
		{0, 2, false, Refused},
		{0, 2, true, Run},
		{probeInterval, 2, false, Run}, // probe
		{probeInterval, 2, false, Refused},
		{2 * probeInterval, 5, true, Run}, // probe
		{hintLifetime + 1, 2, false, Run}, // hint expired
	}
	for _, s := range steps {
		d := e.Offer(start.Add(s.at), "x", s.rank, !s.call)
		if d.Verdict != s.want {
			t.Errorf("at %v rank %d: %+v, want verdict %v", s.at, s.rank, d, s.want)
		}
		if d.Verdict == Refused && d.RetryAfter != time.Second {
			t.Errorf("retry after %v, want 1s", d.RetryAfter)
		}
	}
	e.Observe(start, "x", Hint{Roots: Admitted{None: true}})
	if e.Admits(start, "x", 0, true) {
		t.Error("rank 0 admitted though none is")
	}
	e.Retain(nil)
	if !e.Admits(start, "x", 0, true) {
		t.Error("refused for an instance whose hint was dropped")
	}
}
