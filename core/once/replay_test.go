package once

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// TestReplayOfMutants replays the counterexamples that the model checker found
// for mutants of spec/tickets.pml, each with one rule removed (written by
// spec/traces). In each of them the table must prevent the operation from
// running a second time.
func TestReplayOfMutants(t *testing.T) {
	traces, err := filepath.Glob("testdata/traces/*.txt")
	if err != nil || len(traces) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, path := range traces {
		name := strings.TrimSuffix(filepath.Base(path), ".txt")
		if name == "NOT_RUN_AFTER_SEND" {
			continue // this rule is implemented and tested by the guard in package proxy
		}
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if runs := replay(t, strings.Split(strings.TrimSpace(string(text)), "\n")); runs != 1 {
				t.Errorf("the operation ran %d times, want once", runs)
			}
		})
	}
}

// replay executes the steps of a trace and returns how often the operation ran.
func replay(t *testing.T, steps []string) (runs int) {
	t.Helper()
	boot, now := member.BootID(1), start
	b := NewTable("i0", boot, Limits{MaxTickets: 9})
	tickets := map[byte]Ticket{}
	for n, step := range steps {
		var action, verdict string
		var id byte
		_, _ = fmt.Sscan(step, &action, &id, &verdict)
		switch action {
		case "issue":
			expires := start.Add(time.Duration(id) * time.Minute)
			tickets[id] = ticket(id, member.BootID(verdict[0]-'0'), expires)
		case "begin":
			b.limits.MaxTickets = 9
			if n+1 < len(steps) && strings.HasPrefix(steps[n+1], "full") {
				b.limits.MaxTickets = b.Len()
			}
			if o, err := b.Begin(now, tickets[id], request); err == nil && o.Verdict == Run {
				runs++
			}
		case "finish":
			verdicts := map[string]Verdict{"done": Done, "notrun": NotRun, "unknown": Unknown}
			if verdicts[verdict] == NotRun {
				runs--
			}
			b.Finish(now, TicketID{id}, Outcome{Verdict: verdicts[verdict]})
		case "restart":
			boot++
			b = NewTable("i0", boot, Limits{MaxTickets: 9})
		case "expire":
			now = tickets[id].Expires
			b.advance(now)
		case "back":
			now = start
		case "full", "forget": // the table decides these itself
		default:
			t.Fatalf("unknown step %q", step)
		}
	}
	return runs
}
