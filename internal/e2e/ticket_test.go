package e2e

import (
	"encoding/json"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/toucancove/toucancove/internal/standin/upstream"
)

// newTicket requests a ticket for the claims service.
func newTicket(t *testing.T, n *node, key string) string {
	t.Helper()
	got := send(n, "POST", "/.toucancove/ticket?service=claims", key, nil)
	var issued struct{ Ticket string }
	if err := json.Unmarshal([]byte(got.body), &issued); err != nil || got.status != http.StatusCreated {
		t.Fatalf("no ticket: status %d %s", got.status, got.body)
	}
	return issued.Ticket
}

// settle sends a settlement with a ticket; the marker identifies it at the
// upstream.
func settle(n *node, ticket, marker string) response {
	return send(n, "POST", "/claims/settlements?work=300", hakataKey, []byte("settle"), "Toucancove-Ticket", ticket, "X-Marker", marker)
}

// TestTicketRunsAtMostOnce sends copies of a request with one ticket, and repeats
// it after a fault. The request must run at most once, and each copy must get the
// first outcome, or run unknown if that is lost.
func TestTicketRunsAtMostOnce(t *testing.T) {
	tests := []struct {
		name string
		// afterSend is called once the first copies are sent. responseLost
		// reports that it loses their response, so that no repeat can get it.
		afterSend    func(t *testing.T, f *fleet, ups []*standin)
		responseLost bool
		// runs is the number of runs at the upstreams that are still alive.
		runs int
	}{
		{"no fault", nil, false, 1},
		{"upstream killed during the request", func(t *testing.T, f *fleet, ups []*standin) {
			i := waitRunning(t, ups)
			ups[i].signal(t, syscall.SIGKILL)
			ups[i].exitCode(t)
		}, true, 0},
		{"node killed during the request and restarted", func(t *testing.T, f *fleet, ups []*standin) {
			i := waitRunning(t, ups)
			f.nodes[i].signal(t, syscall.SIGKILL)
			f.nodes[i].exitCode(t)
			f.start(f.nodes[i])
			f.waitReady()
		}, true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ups := []*standin{startStandin(t), startStandin(t)}
			f := startFleet(t, "claims="+ups[0].address, "claims="+ups[1].address)
			ticket := newTicket(t, f.nodes[0], hakataKey)
			var group sync.WaitGroup
			responses := make([]response, 4) // copies sent concurrently through both entries
			for i := range responses {
				group.Go(func() { responses[i] = settle(f.nodes[i%2], ticket, "m") })
			}
			if tt.afterSend != nil {
				tt.afterSend(t, f, ups)
			}
			group.Wait()
			for _, n := range f.nodes { // repeats through both entries
				responses = append(responses, settle(n, ticket, "m"))
			}
			for i, got := range responses {
				complete := got.err == nil && got.status == http.StatusOK && got.body == "m"
				if !tt.responseLost && !complete {
					t.Errorf("copy %d: status %d %s %v; want the first outcome", i, got.status, got.reason(), got.err)
				}
				if tt.responseLost && got.err == nil && got.run() != "unknown" {
					t.Errorf("copy %d: status %d %s, run %q; want unknown", i, got.status, got.reason(), got.run())
				}
			}
			if n := runsAtLiveUpstreams(t, ups); n != tt.runs {
				t.Errorf("the request ran %d times at the live upstreams; want %d", n, tt.runs)
			}
		})
	}
}

// waitRunning waits until an upstream runs a request and returns its index.
func waitRunning(t *testing.T, ups []*standin) int {
	t.Helper()
	index := -1
	waitFor(t, "a request runs", func() bool {
		for i, up := range ups {
			if up.records(t).Working > 0 {
				index = i
			}
		}
		return index >= 0
	})
	return index
}

// runsAtLiveUpstreams returns the total number of runs at the upstreams that are
// still alive, counting for each the marker that ran most often.
func runsAtLiveUpstreams(t *testing.T, ups []*standin) int {
	t.Helper()
	total := 0
	for _, up := range ups {
		select {
		case <-up.exited:
		default:
			total += up.records(t).MaxRunsPerMarker
		}
	}
	return total
}

// TestTicketIsValidOnlyForItsWorkspace checks that the ticket of another
// workspace, an altered ticket and a malformed ticket are refused and run nothing,
// and that a ticket is issued only for a key.
func TestTicketIsValidOnlyForItsWorkspace(t *testing.T) {
	t.Parallel()
	up := startStandin(t)
	f := startFleet(t, "claims="+up.address)
	up.setFaults(t, upstream.Faults{SkipWork: true})
	ticket := newTicket(t, f.nodes[0], nagasakiKey)
	tests := []struct {
		name, ticket string
		status       int
	}{
		{"of another workspace", ticket, 422},
		{"altered", ticket[:len(ticket)-4] + "AAAA", 400},
		{"empty JSON object", "{}", 400},
	}
	for _, tt := range tests {
		if got := settle(f.nodes[0], tt.ticket, tt.name); got.status != tt.status {
			t.Errorf("%s: status %d %s; want %d", tt.name, got.status, got.reason(), tt.status)
		}
	}
	if n := up.records(t).MaxRunsPerMarker; n > 0 {
		t.Errorf("a request with an invalid ticket ran %d times", n)
	}
	if got := send(f.nodes[0], "POST", "/.toucancove/ticket?service=claims", "", nil); got.status != 401 {
		t.Errorf("request for a ticket without a key: status %d", got.status)
	}
}
