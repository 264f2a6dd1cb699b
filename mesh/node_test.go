package mesh

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

func TestRequestReachesAnInstance(t *testing.T) {
	r, servers := startRig(t, ok, ok)
	for i := range 10 {
		id := fmt.Sprint("id-", i)
		response := r.send(i%2, "/safe/x?q=1", id, func(request *http.Request) {
			request.Header.Set(testHeaders.Workspace, "forged")
			request.Header.Set(testHeaders.Caller, "forged")
			request.Header.Set("X-Other", "kept")
			request.Header.Set("Connection", "X-Hop")
			request.Header.Set("X-Hop", "dropped")
		})
		if response.status != http.StatusOK || response.body != "for "+id || response.header.Get("T-Signature") != "s" {
			t.Fatalf("response %+v, want that of the instance", response)
		}
	}
	if n := servers[0].arrived.Load() + servers[1].arrived.Load(); n != 10 {
		t.Errorf("%d requests received, want 10", n)
	}
	for _, server := range servers {
		got, body := server.lastRequest()
		if got == nil {
			continue // the other instance received all requests
		}
		header := got.Header
		if got.URL.RequestURI() != "/safe/x?q=1" || got.Host != "h" || body != "body" || got.Method != http.MethodPost {
			t.Errorf("received %s %s for %s with %q, which differs from the request sent", got.Method, got.URL, got.Host, body)
		}
		if header.Get(testHeaders.Workspace) != "big" || header.Get(testHeaders.Caller) != "desk" ||
			header.Get(testHeaders.Instance) == "" || header.Get("X-Other") != "kept" {
			t.Errorf("header %v lacks headers for the instance", header)
		}
		if header.Get(testHeaders.Key) != "" || header.Get("X-Hop") != "" || header.Get(headerCall) != "" {
			t.Errorf("header %v has headers that must not be forwarded", header)
		}
	}
}

func TestStatusShowsViewWithAge(t *testing.T) {
	r, _ := startRig(t, ok, ok)
	for i := range 20 {
		r.send(0, "/safe/x", fmt.Sprint(i), nil)
	}
	response, err := r.get("http://" + r.address(0, metricsPort) + "/status")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var got struct {
		Status
		Services []struct {
			Instances []struct{ ID string } `json:"instances"`
		} `json:"services"`
	}
	if err := json.Unmarshal(body, &got); err != nil {
		t.Fatalf("%v in %s", err, body)
	}
	if got.Node != "node-0" || !got.Ready || got.Version != 1 || got.VersionAge <= 0 || got.RevisionAge <= 0 || got.Collector == "" {
		t.Errorf("status %+v lacks part of the node's view", got)
	}
	if len(got.Services) != 1 || len(got.Services[0].Instances) != 2 || len(got.Gates) != 1 || len(got.Workspaces) != 2 {
		t.Errorf("status %+v lacks instances, gates or workspaces", got)
	}
	for _, key := range []string{"big-key", "small-key"} {
		if strings.Contains(string(body), key) {
			t.Errorf("status shows key %s", key)
		}
	}
}

// Operators rename routes. State kept by the old names must not accumulate.
func TestStateOfRemovedRoutesIsDeleted(t *testing.T) {
	r, _ := startRig(t, ok, ok)
	for i := range 20 {
		if got := r.send(0, "/safe/x", fmt.Sprint(i), nil); got.status != http.StatusOK {
			t.Fatalf("response %+v", got)
		}
	}
	if routeStateCount(r.nodes[0]) == 0 {
		t.Fatal("no state was kept by route name")
	}
	r.store.publish(func(s *memoryStore) {
		next := testDefinition()
		next.Version = 2
		for i := range next.Routes {
			next.Routes[i].Name = "new-" + next.Routes[i].Name
		}
		s.definition = next
	})
	for _, n := range r.nodes {
		r.eventually(n.cfg.Node+" has dropped the state of the old names", func() bool { return routeStateCount(n) == 0 })
	}
}

// routeStateCount returns the number of entries that a node keeps by route name.
func routeStateCount(n *Node) int {
	n.gates.mu.Lock()
	count := len(n.gates.byKey) + len(n.gates.maxBudget)
	n.gates.mu.Unlock()
	n.guard.mu.Lock()
	count += len(n.guard.serviceTime)
	n.guard.mu.Unlock()
	n.guard.cfg.calls.mu.Lock()
	defer n.guard.cfg.calls.mu.Unlock()
	return count + len(n.guard.cfg.calls.chains)
}

func TestRefusals(t *testing.T) {
	r, servers := startRig(t, ok)
	small := func(q *http.Request) { q.Header.Set(testHeaders.Key, "small-key") }
	if got := r.send(0, "/safe/x", "a", small); got.status != http.StatusOK {
		t.Fatalf("first request of the small workspace: %+v", got)
	}
	r.eventually("its quota is exhausted", func() bool {
		return r.send(0, "/safe/x", "a", small).status == http.StatusTooManyRequests
	})
	arrived := servers[0].arrived.Load()
	for name, test := range map[string]struct {
		path, key string
		status    int
		retry     bool
	}{
		"no route":    {"/none/", "big-key", http.StatusNotFound, false},
		"unknown key": {"/safe/x", "stolen", http.StatusUnauthorized, false},
		"over quota":  {"/safe/x", "small-key", http.StatusTooManyRequests, true},
	} {
		got := r.send(0, test.path, "b", func(q *http.Request) { q.Header.Set(testHeaders.Key, test.key) })
		if got.status != test.status || (got.header.Get("Retry-After") != "") != test.retry {
			t.Errorf("%s: status %d, Retry-After %q", name, got.status, got.header.Get("Retry-After"))
		}
		if got.header.Get(testHeaders.RequestID) != "b" || got.header.Get("T-Signature") != "" {
			t.Errorf("%s: header %v", name, got.header)
		}
	}
	if servers[0].arrived.Load() != arrived {
		t.Error("the instance received a refused request")
	}
}

// dropsConnection reads a request and closes the connection without a response.
func dropsConnection(net.Conn, *http.Request) bool { return false }

func TestLostResponses(t *testing.T) {
	r, servers := startRig(t, dropsConnection, dropsConnection)
	if got := r.send(0, "/once/x", "a", nil); got.status != http.StatusBadGateway {
		t.Errorf("status %d for a request that may have run, want 502", got.status)
	}
	if n := servers[0].arrived.Load() + servers[1].arrived.Load(); n != 1 {
		t.Errorf("at-most-once request was received %d times", n)
	}
	if got := r.send(0, "/safe/x", "b", nil); got.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", got.status)
	}
	if n := servers[0].arrived.Load() + servers[1].arrived.Load(); n != 3 {
		t.Errorf("idempotent request was received %d times, want once by each instance", n-1)
	}
}

// rejects responds that it did not run the request.
func rejects(conn net.Conn, r *http.Request) bool {
	_, err := fmt.Fprint(conn, rejectionWithID(r.Header.Get(testHeaders.RequestID)))
	return err == nil
}

func TestRejectedRequestIsRetriedOnOtherInstance(t *testing.T) {
	r, servers := startRig(t, rejects, ok)
	for i := range 20 {
		if got := r.send(i%2, "/once/x", fmt.Sprint("id-", i), nil); got.status != http.StatusOK {
			t.Fatalf("request %d: %+v, want the response of the other instance", i, got)
		}
	}
	if n := servers[1].arrived.Load(); n != 20 {
		t.Errorf("%d runs, want 20", n)
	}
}

func TestRequestRejectedByAllInstancesIsRefused(t *testing.T) {
	r, _ := startRig(t, rejects, rejects)
	got := r.send(0, "/once/x", "a", nil)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q; want 503 with Retry-After", got.status, got.header.Get("Retry-After"))
	}
}

// fails responds that it ran the request and failed.
func fails(conn net.Conn, r *http.Request) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 500 Failed\r\nT-Id: %s\r\nT-Signature: f\r\nContent-Length: 0\r\n\r\n", r.Header.Get(testHeaders.RequestID))
	return err == nil
}

// An idempotent request that ran is retried at an instance that rejects it. The
// rejection must not hide the first run, whichever instance is tried first.
func TestRejectionAfterRunKeepsOutcomeOfRun(t *testing.T) {
	for _, test := range []struct {
		name    string
		respond respondFunc
		status  int
	}{
		{"response lost", dropsConnection, http.StatusBadGateway},
		{"instance error", fails, http.StatusInternalServerError},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, servers := startRig(t, test.respond, rejects)
			for i := range 6 {
				before := servers[0].arrived.Load()
				got := r.send(i%2, "/safe/x", fmt.Sprint("id-", i), nil)
				if ran := servers[0].arrived.Load() > before; ran && got.status != test.status {
					t.Errorf("request %d: status %d after a run, want %d", i, got.status, test.status)
				}
			}
		})
	}
}

func TestMergeOutcomes(t *testing.T) {
	no, unknown, yes := refusedOutcome(reasonRejected, ""), failedOutcome(reasonResponseLost, ""), outcome{run: runYes}
	for _, test := range []struct{ first, second, want outcome }{
		{no, no, no}, {no, unknown, unknown}, {no, yes, yes},
		{unknown, no, unknown}, {unknown, unknown, unknown}, {unknown, yes, yes},
		{yes, no, yes}, {yes, unknown, yes}, {yes, yes, yes},
	} {
		if got := test.second.merge(test.first); got.run != test.want.run || got.reason != test.want.reason {
			t.Errorf("%v after %v: %v, want %v", test.second.run, test.first.run, got.run, test.want.run)
		}
	}
}

// An instance may send an extra response, after the one to a request or before the
// next one is due. It must not be delivered for another request.
func TestUnsolicitedResponses(t *testing.T) {
	var count atomic.Int64
	unsolicited := "HTTP/1.1 200 OK\r\nT-Id: other\r\nT-Signature: s\r\nContent-Length: 5\r\n\r\nstray"
	twice := func(conn net.Conn, r *http.Request) bool {
		if count.Add(1)%2 == 0 {
			_, _ = fmt.Fprint(conn, unsolicited)
		}
		answered := ok(conn, r)
		if count.Load()%3 == 0 {
			_, _ = fmt.Fprint(conn, unsolicited)
		}
		return answered
	}
	r, _ := startRig(t, twice)
	for i := range 30 {
		id := fmt.Sprint("id-", i)
		if got := r.send(0, "/safe/x", id, nil); got.status != http.StatusOK || got.body != "for "+id {
			t.Fatalf("request %s: response %+v", id, got)
		}
	}
}

func TestTruncatedResponsesFail(t *testing.T) {
	for name, text := range map[string]string{
		"short body":       "HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Signature: s\r\nContent-Length: 100\r\n\r\nshort",
		"truncated chunks": "HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"truncated header": "HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Sig",
		"not HTTP":         "these bytes are no answer\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := startRig(t, func(conn net.Conn, _ *http.Request) bool {
				_, _ = fmt.Fprint(conn, text)
				return false
			})
			got := r.send(0, "/once/x", "a", nil)
			if got.status != http.StatusBadGateway || got.header.Get("T-Signature") != "" {
				t.Errorf("response %+v, want 502 without a signature", got)
			}
		})
	}
}

func TestResponseWithoutLengthIsComplete(t *testing.T) {
	r, _ := startRig(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Signature: s\r\n\r\nuntil the end")
		return false
	})
	if got := r.send(0, "/safe/x", "a", nil); got.status != http.StatusOK || got.body != "until the end" {
		t.Errorf("response %+v", got)
	}
}

func TestLargeBodiesAreStreamed(t *testing.T) {
	const size = 3 << 20
	r, servers := startRig(t, func(conn net.Conn, q *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signature: s\r\nContent-Length: %d\r\n\r\n", q.Header.Get(testHeaders.RequestID), size)
		_, err := conn.Write(make([]byte, size))
		return err == nil
	}, dropsConnection)
	r.store.publish(func(s *memoryStore) { s.instances = s.instances[:1] })
	r.eventually("the second instance is removed from the list", func() bool { return r.nodes[1].follower.State().Directory.Len() == 1 })
	large := strings.Repeat("x", size)
	got := r.send(1, "/once/x", "a", func(q *http.Request) {
		fresh, err := http.NewRequest(http.MethodPost, q.URL.String(), strings.NewReader(large))
		if err != nil {
			t.Fatal(err)
		}
		q.Body, q.ContentLength, q.GetBody = fresh.Body, fresh.ContentLength, nil
	})
	if got.status != http.StatusOK || len(got.body) != size || got.err != nil {
		t.Errorf("status %d with %d bytes, error %v", got.status, len(got.body), got.err)
	}
	if _, body := servers[0].lastRequest(); len(body) != size {
		t.Errorf("the instance read %d bytes, want %d", len(body), size)
	}
}

// A caller that closes its connection cancels its request through both nodes.
func TestClosedCallerCancelsRequest(t *testing.T) {
	ended := make(chan struct{}, 10)
	hangs := func(conn net.Conn, _ *http.Request) bool {
		var b [1]byte
		_, _ = conn.Read(b[:]) // returns when the connection is closed
		ended <- struct{}{}
		return false
	}
	r, servers := startRig(t, hangs, hangs)
	conn, err := net.Dial("tcp", r.address(0, entryPort))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "GET /safe/x HTTP/1.1\r\nHost: h\r\nT-Id: a\r\nT-Budget: 60000\r\nT-Key: big-key\r\n\r\n")
	r.eventually("the request runs", func() bool { return servers[0].arrived.Load()+servers[1].arrived.Load() > 0 })
	_ = conn.Close()
	select {
	case <-ended:
	case <-time.After(1500 * time.Millisecond): // before the timeout of the route
		t.Error("the instance still works for a caller that closed its connection")
	}
}

func TestRouteTimeoutReturnsGatewayTimeout(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	r, _ := startRig(t, func(net.Conn, *http.Request) bool { <-hold; return false })
	if got := r.send(0, "/once/x", "a", nil); got.status != http.StatusGatewayTimeout {
		t.Errorf("response %+v, want 504 at the timeout of the route", got)
	}
}

func TestDrainingInstanceReceivesNoRequests(t *testing.T) {
	r, servers := startRig(t, ok, ok)
	r.store.publish(func(s *memoryStore) {
		s.instances = append([]catalog.Instance(nil), s.instances...)
		s.instances[0].Draining = true
	})
	for i := range r.nodes {
		r.eventually("all nodes list it as draining", func() bool {
			for _, instance := range r.nodes[i].follower.State().Directory.Instances() {
				if instance.Draining {
					return true
				}
			}
			return false
		})
	}
	before := servers[0].arrived.Load()
	for i := range 20 {
		if got := r.send(i%2, "/once/x", fmt.Sprint("id-", i), nil); got.status != http.StatusOK {
			t.Fatalf("request %d: %+v", i, got)
		}
	}
	if n := servers[0].arrived.Load() - before; n != 0 {
		t.Errorf("draining instance received %d requests", n)
	}
}

// A planned stop refuses no request that was sent before clients can detect it, and
// ends no running request.
func TestGracefulShutdownCompletesRequests(t *testing.T) {
	release := make(chan struct{})
	slow := func(conn net.Conn, q *http.Request) bool {
		if q.Header.Get("X-Slow") != "" {
			<-release
		}
		return ok(conn, q)
	}
	r, _ := startRigWith(t, 6*time.Second, slow, slow)
	running := make(chan clientResponse)
	go func() {
		running <- r.send(0, "/safe/x", "slow", func(q *http.Request) { q.Header.Set("X-Slow", "1") })
	}()
	r.eventually("the slow request runs", func() bool { return r.nodes[0].conns.inFlight.Load() > 0 })
	r.stops[0]()
	r.waitReady(0, http.StatusServiceUnavailable)
	for i := range 20 {
		if got := r.send(i%2, "/once/x", fmt.Sprint("id-", i), nil); got.status != http.StatusOK {
			t.Fatalf("request %d after the stop began: %+v", i, got)
		}
	}
	close(release)
	if got := <-running; got.status != http.StatusOK || got.body != "for slow" {
		t.Errorf("response to the running request: %+v", got)
	}
	<-r.ended[0]
	r.eventually("the other node serves alone", func() bool {
		return r.send(1, "/safe/x", "after", nil).status == http.StatusOK
	})
}

func TestWithdrawnKeyAndNewRoute(t *testing.T) {
	r, _ := startRig(t, ok)
	r.store.publish(func(s *memoryStore) {
		d := testDefinition()
		d.Version = 2
		d.Workspaces[0].Keys = []string{"new-key"}
		d.Routes = append(d.Routes, catalog.Route{
			Name: "new", Host: "h", Prefix: "/new/", MaxAttempts: 1, Public: true, Parts: []catalog.Part{{Service: "desk", Weight: 1}},
		})
		s.definition = d
	})
	r.eventually("the new route is served", func() bool { return r.send(0, "/new/", "a", nil).status == http.StatusOK })
	if got := r.send(0, "/safe/x", "b", nil); got.status != http.StatusUnauthorized {
		t.Errorf("status %d with the withdrawn key, want 401", got.status)
	}
}
