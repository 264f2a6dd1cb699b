package e2e

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/toucancove/toucancove/internal/standin/platform"
)

const (
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 400 * time.Millisecond
	// requestsPerStep is the number of completed requests between two steps.
	requestsPerStep = 20
)

// runCounter is an upstream that counts the runs of each marker. It aborts or
// truncates some responses.
type runCounter struct {
	mu     sync.Mutex
	random *rand.Rand
	runs   map[string]int
}

func (c *runCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	marker := r.Header.Get("X-Marker")
	if marker == "" {
		return // a readiness or health check
	}
	c.mu.Lock()
	c.runs[marker]++
	fault := c.random.IntN(20)
	c.mu.Unlock()
	switch fault {
	case 0:
		panic(http.ErrAbortHandler)
	case 1:
		w.Header().Set("Content-Length", fmt.Sprint(len(marker)+1))
	}
	_, _ = io.WriteString(w, marker)
}

func (c *runCounter) count(marker string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[marker]
}

// sender sends non-idempotent requests and records the response to each.
type sender struct {
	mu        sync.Mutex
	responses map[string]response
	completed int
}

// run sends requests to random nodes until stop is closed.
func (s *sender) run(stop <-chan struct{}, name string, random *rand.Rand, nodes []*node) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: callerTimeout}
	defer client.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		marker := fmt.Sprintf("%s-%d.", name, i)
		entry := nodes[random.IntN(len(nodes))]
		got := sendWith(client, entry.public, "POST", "/claims/settlements", hakataKey, []byte(marker),
			"X-Marker", marker, "Toucancove-Timeout-Ms", "200")
		s.mu.Lock()
		s.responses[marker] = got
		if got.err == nil && got.status == http.StatusOK {
			s.completed++
		}
		s.mu.Unlock()
	}
}

// waitCompleted waits until n more requests have completed.
func (s *sender) waitCompleted(t *testing.T, n int) {
	t.Helper()
	completed := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.completed
	}
	want := completed() + n
	waitFor(t, "more requests complete", func() bool { return completed() >= want })
}

// TestGuaranteesUnderRandomFaults kills, stops, suspends and restarts nodes while
// the platform fails and upstreams abort responses, two faults at a time. It then
// checks each response against the runs that the upstream counted.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
	const faultCount = 6
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 1))
			counter := &runCounter{random: rand.New(rand.NewPCG(seed, 2)), runs: make(map[string]int)}
			up := "claims=" + handlerUpstream(t, counter.ServeHTTP)
			f := startFleet(t, up, up, up)
			s := &sender{responses: make(map[string]response)}
			stop := make(chan struct{})
			var group sync.WaitGroup
			for i := range 8 {
				group.Go(func() { s.run(stop, fmt.Sprint(i), rand.New(rand.NewPCG(seed, uint64(10+i))), f.nodes) })
			}
			for range faultCount {
				f.platform.SetFaults([]platform.Faults{{}, {Outage: true}, {Stale: true}, {LagMillis: 200}}[random.IntN(4)])
				injectNodeFault(t, f, s, random)
			}
			close(stop)
			group.Wait()
			checkResponses(t, s, counter)
		})
	}
}

// injectNodeFault suspends, kills or stops a random node and then resumes or
// restarts it. Requests complete before the fault and during it.
func injectNodeFault(t *testing.T, f *fleet, s *sender, random *rand.Rand) {
	t.Helper()
	n := f.nodes[random.IntN(len(f.nodes))]
	s.waitCompleted(t, requestsPerStep)
	kind := random.IntN(3)
	if kind == 0 {
		n.signal(t, syscall.SIGSTOP)
		s.waitCompleted(t, requestsPerStep)
		n.signal(t, syscall.SIGCONT)
		return
	}
	n.signal(t, []syscall.Signal{0, syscall.SIGKILL, syscall.SIGTERM}[kind])
	s.waitCompleted(t, requestsPerStep)
	n.exitCode(t)
	f.platform.SetFaults(platform.Faults{}) // a node needs the platform to start
	f.start(n)
	f.waitReady()
}

// checkResponses checks that no request ran twice, that each 200 has the body of
// its own request, that no request reported as not-run ran, and that the valid
// key was never refused.
func checkResponses(t *testing.T, s *sender, counter *runCounter) {
	t.Helper()
	outcomes := make(map[string]int)
	for marker, got := range s.responses {
		runs := counter.count(marker)
		switch {
		case runs > 1:
			t.Errorf("%s ran %d times", marker, runs)
		case got.err != nil:
			outcomes["no response"]++
		case got.status == http.StatusOK && (got.body != marker || runs != 1):
			t.Errorf("%s got 200 %q after %d runs", marker, got.body, runs)
		case got.run() == "not-run" && runs > 0:
			t.Errorf("%s got %d %s, not-run, but ran", marker, got.status, got.reason())
		case got.status == http.StatusUnauthorized:
			t.Errorf("%s: the valid key was refused: %s", marker, got.reason())
		default:
			outcomes[fmt.Sprintf("%d %s %s", got.status, got.reason(), got.run())]++
		}
	}
	t.Logf("%d requests: %v", len(s.responses), outcomes)
}
