package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/target"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// saturated returns a controller whose limit of one is used by request 0; the
// expected service time is 10 ms.
func saturated(t *testing.T) *Controller {
	t.Helper()
	c := NewController(start, Config{Ranks: 4, MaxInFlight: 1})
	c.service.all.latency.mean = float64(10 * time.Millisecond)
	if d, _ := c.Offer(start, request(0, 0, "first", time.Second), nil); d.Verdict != Run {
		t.Fatalf("first offer: %+v", d)
	}
	return c
}

func request(id ID, rank target.Rank, workspace string, budget time.Duration) Request {
	return Request{ID: id, Rank: rank, Workspace: workspace, Deadline: start.Add(budget)}
}

// drain ends each run after 10 ms until no request is left and returns the order
// of the runs.
func drain(c *Controller, running ID) []ID {
	var order []ID
	for now := start; ; {
		now = now.Add(10 * time.Millisecond)
		effects := c.Done(now, Completion{ID: running}, nil)
		if len(effects) == 0 {
			return order
		}
		running = effects[0].ID
		order = append(order, running)
	}
}

func TestQueueOrder(t *testing.T) {
	tests := []struct {
		name   string
		offers []Request
		want   []ID
	}{
		{"rank first", []Request{
			request(1, 2, "a", time.Second), request(2, 0, "a", time.Second), request(3, 1, "a", time.Second),
		}, []ID{2, 3, 1}},
		{"then least served workspace", []Request{
			request(1, 0, "a", time.Second), request(2, 0, "a", time.Second), request(3, 0, "b", time.Second),
		}, []ID{1, 3, 2}},
		{"then deadline", []Request{
			request(1, 0, "a", 3*time.Second), request(2, 0, "a", time.Second), request(3, 0, "a", 2*time.Second),
		}, []ID{2, 3, 1}},
		{"shares count", []Request{
			{ID: 1, Workspace: "a", Deadline: start.Add(time.Second)},
			{ID: 2, Workspace: "b", Share: 2, Deadline: start.Add(time.Second)},
			{ID: 3, Workspace: "b", Share: 2, Deadline: start.Add(time.Second)},
			{ID: 4, Workspace: "a", Deadline: start.Add(time.Second)},
		}, []ID{1, 2, 3, 4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := saturated(t)
			for _, r := range tt.offers {
				if d, _ := c.Offer(start, r, nil); d.Verdict != Queued {
					t.Fatalf("offer %d: %+v", r.ID, d)
				}
			}
			if got := drain(c, 0); fmt.Sprint(got) != fmt.Sprint(tt.want) {
				t.Errorf("order %v, want %v", got, tt.want)
			}
		})
	}
}

func TestFullQueueEvictsLastInOrder(t *testing.T) {
	tests := []struct {
		name    string
		offer   Request
		verdict Verdict
		evicted []ID
	}{
		{"more urgent rank evicts the latest deadline of the most served workspace", request(100, 0, "c", time.Second), Queued, []ID{7}},
		{"less served workspace evicts from the most served one", request(100, 2, "c", time.Second), Queued, []ID{7}},
		{"most served workspace is refused", request(100, 2, "a", 2*time.Second), Refused, nil},
		{"less urgent rank is refused", request(100, 3, "c", time.Second), Refused, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := saturated(t)
			for i := range ID(minQueue) {
				workspace := "a"
				if i < 2 {
					workspace = "b"
				}
				c.Offer(start, request(i+1, 2, workspace, time.Second+time.Duration(i)), nil)
			}
			d, effects := c.Offer(start, tt.offer, nil)
			if d.Verdict != tt.verdict {
				t.Errorf("verdict %v, want %v", d.Verdict, tt.verdict)
			}
			if tt.verdict == Refused && (d.Reason != Overload || d.RetryAfter < minRetryAfter) {
				t.Errorf("refusal %+v", d)
			}
			var evicted []ID
			for _, e := range effects {
				if e.Kind != Refuse || e.Reason != Overload || e.RetryAfter < minRetryAfter {
					t.Errorf("effect %+v", e)
				}
				evicted = append(evicted, e.ID-1)
			}
			if fmt.Sprint(evicted) != fmt.Sprint(tt.evicted) {
				t.Errorf("evicted %v, want %v", evicted, tt.evicted)
			}
		})
	}
}

func TestBudget(t *testing.T) {
	t.Run("too short at arrival", func(t *testing.T) {
		c := saturated(t)
		d, _ := c.Offer(start, request(1, 0, "a", 9*time.Millisecond), nil)
		if d.Verdict != Refused || d.Reason != NoBudget {
			t.Errorf("decision %+v", d)
		}
	})
	t.Run("used up in the queue", func(t *testing.T) {
		c := saturated(t)
		c.Offer(start, request(1, 0, "a", 30*time.Millisecond), nil)
		if effects := c.Tick(start.Add(15*time.Millisecond), nil); len(effects) != 0 {
			t.Errorf("refused too early: %+v", effects)
		}
		effects := c.Tick(start.Add(25*time.Millisecond), nil)
		if len(effects) != 1 || effects[0].Kind != Refuse || effects[0].Reason != NoBudget {
			t.Errorf("effects %+v", effects)
		}
	})
	t.Run("stale estimate decays", func(t *testing.T) {
		c := NewController(start, Config{Ranks: 1, MaxInFlight: 10})
		c.service.all.latency.mean = float64(time.Hour)
		d, _ := c.Offer(start.Add(100*time.Hour), Request{ID: 1, Deadline: start.Add(100*time.Hour + time.Second)}, nil)
		if d.Verdict != Run {
			t.Errorf("decision %+v", d)
		}
	})
}

func TestCancelDropsQueuedOnly(t *testing.T) {
	c := saturated(t)
	c.Offer(start, request(1, 0, "a", time.Second), nil)
	c.Offer(start, request(2, 0, "a", time.Second), nil)
	c.Cancel(1)
	c.Cancel(0)
	c.Cancel(99)
	if got := drain(c, 0); fmt.Sprint(got) != "[2]" {
		t.Errorf("order %v, want [2]", got)
	}
	if c.inFlight != 0 || len(c.items) != 0 {
		t.Errorf("%d in flight, %d items left", c.inFlight, len(c.items))
	}
}

func TestDownstreamRefusalsThrottleRank(t *testing.T) {
	c := NewController(start, Config{Ranks: 3, MaxInFlight: 100})
	ran, refused := 0, 0
	for id := range ID(1000) {
		req := request(id, 1, "a", time.Second)
		req.Root = true
		d, _ := c.Offer(start, req, nil)
		if d.Verdict == Refused {
			refused++
			if d.Reason != Downstream {
				t.Fatalf("decision %+v", d)
			}
			continue
		}
		ran++
		c.Done(start, Completion{ID: id, Outcome: RefusedDownstream}, nil)
	}
	if ran > 50 || ran+refused != 1000 {
		t.Errorf("%d ran, %d refused; want at most 50 to run", ran, refused)
	}
	if h := c.Hint(start); h.Admits(1, true) || !h.Admits(0, true) || !h.Admits(1, false) {
		t.Errorf("hint %+v; want rank 1 refused for roots only", h)
	}
	if d, _ := c.Offer(start, request(5000, 0, "a", time.Second), nil); d.Verdict != Run {
		t.Errorf("rank 0: %+v", d)
	}
}

// TestShortRunsMayQueue stalls an upstream for 20 ms whose runs take 200 µs and
// of which two run at a time. The 40 requests that arrive meanwhile must be
// queued, not refused: the upstream can serve them within a few milliseconds
// afterwards.
func TestShortRunsMayQueue(t *testing.T) {
	now := time.Unix(0, 0)
	c := NewController(now, Config{Ranks: 1, MaxInFlight: 2})
	id := ID(0)
	offer := func() Decision {
		id++
		d, _ := c.Offer(now, Request{ID: id, Deadline: now.Add(time.Second), Root: true}, nil)
		return d
	}
	for range 2000 {
		if d := offer(); d.Verdict != Run {
			t.Fatalf("request %d: %+v, want it to run", id, d)
		}
		now = now.Add(200 * time.Microsecond)
		c.Done(now, Completion{ID: id, Outcome: Succeeded}, nil)
		now = now.Add(300 * time.Microsecond)
	}
	for range 40 {
		if d := offer(); d.Verdict == Refused {
			t.Fatalf("refused for %v with %d queued", d.Reason, c.Queued())
		}
		now = now.Add(500 * time.Microsecond)
	}
}
