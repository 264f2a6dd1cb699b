package proxy

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/core/member"
)

func TestFailedAttempts(t *testing.T) {
	tests := []struct {
		name   string
		method string // GET is idempotent on the rig, POST is not
		script []http.HandlerFunc
		refuse int // upstreams that refuse connections
		status int
		run    Run
		runs   int // requests that reached an upstream
	}{
		{name: "response", method: "POST", status: 200, runs: 1},
		{name: "one upstream refuses connections", method: "POST", refuse: 1, status: 200, runs: 1},
		{name: "both refuse connections", method: "POST", refuse: 2, status: 502, run: RunNo},
		{name: "not run, then response", method: "POST", script: []http.HandlerFunc{shed}, status: 200, runs: 2},
		{name: "not run anywhere", method: "POST", script: []http.HandlerFunc{shed, shed, shed}, status: 503, run: RunNo, runs: 2},
		{name: "reset after the request was read", method: "POST", script: []http.HandlerFunc{resetConnection}, status: 502, run: RunUnknown, runs: 1},
		{name: "response truncated before its head is passed on", method: "POST", script: []http.HandlerFunc{truncateResponse}, status: 502, run: RunUnknown, runs: 1},
		{name: "response truncated, idempotent", method: "GET", script: []http.HandlerFunc{truncateResponse}, status: 200, runs: 2},
		{name: "reset, idempotent", method: "GET", script: []http.HandlerFunc{resetConnection}, status: 200, runs: 2},
		{name: "reset, then not run", method: "GET", script: []http.HandlerFunc{resetConnection, shed}, status: 503, run: RunUnknown, runs: 2},
		{name: "reset everywhere", method: "GET", script: []http.HandlerFunc{resetConnection, resetConnection, resetConnection}, status: 502, run: RunUnknown, runs: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, 2, tt.script...)
			for _, id := range []string{"i0", "i1"}[:tt.refuse] {
				r.guards[instanceID(id)].upstream.Close()
			}
			got := r.do(0, tt.method, "/s/x", "body")
			if got.err != nil || got.status != tt.status || got.run != string(tt.run) {
				t.Errorf("response %+v, want status %d and run %q", got, tt.status, tt.run)
			}
			if tt.run == RunNo && got.retryAfter == "" {
				t.Error("not run, and no Retry-After")
			}
			if got.status == 200 && got.body != "ran /x" {
				t.Errorf("body %q", got.body)
			}
			if r.ran() != tt.runs {
				t.Errorf("%d requests reached an upstream, want %d", r.ran(), tt.runs)
			}
		})
	}
}

func TestTruncatedResponseIsAnErrorAndNotRetried(t *testing.T) {
	r := newRig(t, 2, truncateLongResponse)
	if got := r.do(0, "GET", "/s/x", ""); got.err == nil {
		t.Errorf("truncated response arrived as %+v", got)
	}
	if got := r.do(0, "GET", "/s/y", ""); got.err != nil || got.body != "ran /y" {
		t.Errorf("next response %+v", got)
	}
	if r.ran() != 2 {
		t.Errorf("%d runs, want 2", r.ran())
	}
}

func TestUnreachableNodeIsExcluded(t *testing.T) {
	r := newRig(t, 2)
	r.stop("i0")
	for range 8 {
		if got := r.do(0, "POST", "/s/x", ""); got.status != 200 {
			t.Fatalf("response %+v", got)
		}
	}
	r.stop("i1")
	if got := r.do(0, "POST", "/s/x", ""); got.run != string(RunNo) {
		t.Errorf("no node reachable: %+v, want not-run", got)
	}
}

// hangRouter reports every instance as hung once started is closed.
type hangRouter struct {
	*TableRouter
	started chan struct{}
}

func (h hangRouter) Hung(Route, []member.InstanceID) (bool, time.Duration) {
	select {
	case <-h.started:
		return true, time.Millisecond
	default:
		return false, time.Millisecond
	}
}

func TestHungAttemptIsRetriedOnlyIfIdempotent(t *testing.T) {
	for _, tt := range []struct {
		method string
		status int
		runs   int
	}{{"GET", 200, 2}, {"POST", 504, 1}} {
		t.Run(tt.method, func(t *testing.T) {
			started := make(chan struct{})
			hang := func(_ http.ResponseWriter, req *http.Request) {
				close(started)
				<-req.Context().Done()
			}
			r := newRig(t, 2, hang)
			r.wrapRouter = func(router *TableRouter) Router { return hangRouter{router, started} }
			r.startEntry("e2", false)
			got := r.do(2, tt.method, "/s/x", "", HeaderTimeout, "200")
			if got.status != tt.status || r.ran() != tt.runs {
				t.Errorf("response %+v after %d runs, want status %d after %d", got, r.ran(), tt.status, tt.runs)
			}
		})
	}
}

// TestCancelReachesTheLocalUpstream cancels a request that an entry runs at the
// upstream of its own node, where no connection between nodes can be closed.
func TestCancelReachesTheLocalUpstream(t *testing.T) {
	started := make(chan struct{})
	r := newRig(t, 1, func(_ http.ResponseWriter, req *http.Request) {
		close(started)
		<-req.Context().Done()
	})
	r.startEntry("i0", false)
	go func() {
		<-started
		r.active.CancelWithdrawn(config.NewView())
	}()
	if got := r.do(2, "POST", "/s/x", "", HeaderTimeout, "500"); got.reason != string(ReasonKeyWithdrawn) {
		t.Errorf("response %+v, want key-withdrawn before the deadline", got)
	}
}

// TestLateResponseIsNotReturnedForAnotherRequest guards against a response that
// arrives after its request's deadline and is returned for a later request.
func TestLateResponseIsNotReturnedForAnotherRequest(t *testing.T) {
	release := make(chan struct{})
	late := func(w http.ResponseWriter, req *http.Request) {
		<-release
		respondOK(w, req)
	}
	r := newRig(t, 1, late)
	if got := r.do(0, "POST", "/s/first", "", HeaderTimeout, "30"); got.status != http.StatusGatewayTimeout || got.run != string(RunUnknown) {
		t.Errorf("late response: %+v, want 504 and unknown", got)
	}
	close(release)
	for range 3 {
		if got := r.do(0, "POST", "/s/second", ""); got.body != "ran /second" {
			t.Errorf("next response %+v", got)
		}
	}
}

// TestUpstreamRetriesAreBounded guards against retries that multiply along the
// call chain: an upstream repeats a failing call more often than the root
// request has attempts.
func TestUpstreamRetriesAreBounded(t *testing.T) {
	r := newRig(t, 1)
	loopback := r.startEntry("i0", true)
	calls, refused := 0, 0
	retryingUpstream := func(w http.ResponseWriter, req *http.Request) {
		for range 10 {
			inner, err := http.NewRequest("GET", loopback+"/s/inner", nil)
			if err != nil {
				t.Error(err)
				return
			}
			inner.Header.Set(HeaderPass, req.Header.Get(HeaderPass))
			resp, err := http.DefaultClient.Do(inner)
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			calls++
			if resp.Header.Get(HeaderReason) == string(ReasonAttempts) {
				refused++
			}
		}
		respondOK(w, req)
	}
	r.script = []http.HandlerFunc{retryingUpstream, resetConnection, resetConnection, resetConnection, resetConnection, resetConnection, resetConnection, resetConnection, resetConnection, resetConnection, resetConnection, resetConnection}
	if got := r.do(0, "POST", "/s/outer", ""); got.status != 200 {
		t.Fatalf("response %+v", got)
	}
	if inner := r.ran() - 1; inner > defaultAttempts {
		t.Errorf("%d runs below a root request of %d attempts", inner, defaultAttempts)
	}
	if calls != 10 || refused < calls-defaultAttempts {
		t.Errorf("%d of %d calls refused for lack of attempts, want at least %d", refused, calls, calls-defaultAttempts)
	}
}
