package admission

import (
	"strconv"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/target"
)

// BenchmarkAccepted measures the offer and the end of a request that runs at
// once.
func BenchmarkAccepted(b *testing.B) {
	c := NewController(start, Config{Ranks: 4, MaxInFlight: 100})
	now := start
	b.ReportAllocs()
	var effects []Effect
	for id := ID(0); b.Loop(); id++ {
		now = now.Add(time.Millisecond)
		req := Request{ID: id, Rank: target.Rank(id % 4), Workspace: "first", Root: true, Deadline: now.Add(time.Second)}
		_, effects = c.Offer(now, req, effects[:0])
		effects = c.Done(now.Add(time.Millisecond), Completion{ID: id}, effects[:0])
	}
}

// BenchmarkOverloaded measures an offer to a full queue of many workspaces,
// and the end of a run, which starts the next request.
func BenchmarkOverloaded(b *testing.B) {
	for _, workspaces := range []int{8, 128} {
		b.Run("workspaces="+strconv.Itoa(workspaces), func(b *testing.B) {
			names := make([]string, workspaces)
			for i := range names {
				names[i] = "workspace-" + strconv.Itoa(i)
			}
			c := NewController(start, Config{Ranks: 4, MaxInFlight: 120})
			now, id := start, ID(0)
			var effects []Effect
			offer := func() {
				id++
				req := Request{ID: id, Rank: target.Rank(id % 4), Workspace: names[int(id)%workspaces], Deadline: now.Add(time.Hour)}
				_, effects = c.Offer(now, req, effects[:0])
			}
			for c.inFlight < c.limiter.allowed() || c.queue.length < c.queueBound(false, c.expected(c.offset(now), 0)) {
				offer()
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				offer()
				for _, it := range c.items {
					if it.running {
						effects = c.Done(now, Completion{ID: it.id}, effects[:0])
						break
					}
				}
			}
		})
	}
}

func BenchmarkEarlyRefusal(b *testing.B) {
	e := NewEarlyRefusal()
	e.Observe(start, "x", Hint{Roots: Admitted{Lowest: 1}})
	b.ReportAllocs()
	for b.Loop() {
		e.Offer(start, "x", 2, true)
	}
}

func BenchmarkHint(b *testing.B) {
	c := NewController(start, Config{Ranks: 8, MaxInFlight: 100})
	b.ReportAllocs()
	for b.Loop() {
		c.Hint(start)
	}
}
