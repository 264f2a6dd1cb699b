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
		answer := r.send(i%2, "/safe/x?q=1", id, func(request *http.Request) {
			request.Header.Set(testHeaders.Workspace, "forged")
			request.Header.Set(testHeaders.Caller, "forged")
			request.Header.Set("X-Other", "kept")
			request.Header.Set("Connection", "X-Hop")
			request.Header.Set("X-Hop", "dropped")
		})
		if answer.status != http.StatusOK || answer.body != "for "+id || answer.header.Get("T-Signature") != "s" {
			t.Fatalf("answer %+v, want the instance's own", answer)
		}
	}
	if n := servers[0].arrived.Load() + servers[1].arrived.Load(); n != 10 {
		t.Errorf("%d arrivals, want 10", n)
	}
	for _, server := range servers {
		got, body := server.seen()
		if got == nil {
			continue // the other instance answered all
		}
		header := got.Header
		if got.URL.RequestURI() != "/safe/x?q=1" || got.Host != "h" || body != "body" || got.Method != http.MethodPost {
			t.Errorf("%s %s for %s with %q is not what was sent", got.Method, got.URL, got.Host, body)
		}
		if header.Get(testHeaders.Workspace) != "big" || header.Get(testHeaders.Caller) != "desk" ||
			header.Get(testHeaders.Instance) == "" || header.Get("X-Other") != "kept" {
			t.Errorf("header %v lacks what an instance is told", header)
		}
		if header.Get(testHeaders.Key) != "" || header.Get("X-Hop") != "" || header.Get(headerCall) != "" {
			t.Errorf("header %v shows what an instance must not see", header)
		}
	}
}

func TestStatusShowsBeliefsWithTheirAge(t *testing.T) {
	r, _ := startRig(t, ok, ok)
	for i := range 20 {
		r.send(0, "/safe/x", fmt.Sprint(i), nil)
	}
	response, err := r.get("http://" + r.at(0, metricsPort) + "/status")
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
		t.Errorf("status %+v lacks what the node believes", got)
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

// Operators rename routes; what was learned of the old names must not pile up.
func TestRoutesThatAreGoneAreForgotten(t *testing.T) {
	r, _ := startRig(t, ok, ok)
	for i := range 20 {
		if got := r.send(0, "/safe/x", fmt.Sprint(i), nil); got.status != http.StatusOK {
			t.Fatalf("answer %+v", got)
		}
	}
	if learned(r.nodes[0]) == 0 {
		t.Fatal("nothing was learned of a route")
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
		r.eventually(n.cfg.Node+" has forgotten the old names", func() bool { return learned(n) == 0 })
	}
}

// learned counts what a node keeps by the names of routes.
func learned(n *Node) int {
	n.gates.mu.Lock()
	count := len(n.gates.byKey) + len(n.gates.budget)
	n.gates.mu.Unlock()
	n.guard.mu.Lock()
	count += len(n.guard.usual)
	n.guard.mu.Unlock()
	n.guard.cfg.lineage.mu.Lock()
	defer n.guard.cfg.lineage.mu.Unlock()
	return count + len(n.guard.cfg.lineage.chains)
}

func TestRefusals(t *testing.T) {
	r, servers := startRig(t, ok)
	small := func(q *http.Request) { q.Header.Set(testHeaders.Key, "small-key") }
	if got := r.send(0, "/safe/x", "a", small); got.status != http.StatusOK {
		t.Fatalf("first request of the small workspace: %+v", got)
	}
	r.eventually("its quota is used up", func() bool {
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
		t.Error("a refused request reached the instance")
	}
}

// loses takes a request and answers nothing.
func loses(net.Conn, *http.Request) bool { return false }

func TestLostAnswers(t *testing.T) {
	r, servers := startRig(t, loses, loses)
	if got := r.send(0, "/once/x", "a", nil); got.status != http.StatusBadGateway {
		t.Errorf("status %d for a request that may have run, want 502", got.status)
	}
	if n := servers[0].arrived.Load() + servers[1].arrived.Load(); n != 1 {
		t.Errorf("a request that may run once arrived %d times", n)
	}
	if got := r.send(0, "/safe/x", "b", nil); got.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", got.status)
	}
	if n := servers[0].arrived.Load() + servers[1].arrived.Load(); n != 3 {
		t.Errorf("%d arrivals, want an idempotent request sent to both instances", n-1)
	}
}

// rejects says that it did not run the request.
func rejects(conn net.Conn, _ *http.Request) bool {
	_, err := fmt.Fprint(conn, "HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

func TestRejectedRequestRunsElsewhere(t *testing.T) {
	r, servers := startRig(t, rejects, ok)
	for i := range 20 {
		if got := r.send(i%2, "/once/x", fmt.Sprint("id-", i), nil); got.status != http.StatusOK {
			t.Fatalf("request %d: %+v, want an answer of the other instance", i, got)
		}
	}
	if n := servers[1].arrived.Load(); n != 20 {
		t.Errorf("%d runs, want 20", n)
	}
}

func TestRefusalThatSaysNotRunIsTrue(t *testing.T) {
	r, _ := startRig(t, rejects, rejects)
	got := r.send(0, "/once/x", "a", nil)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q; want 503 with advice", got.status, got.header.Get("Retry-After"))
	}
}

// fails answers that it ran the request and failed.
func fails(conn net.Conn, r *http.Request) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 500 Failed\r\nT-Id: %s\r\nT-Signature: f\r\nContent-Length: 0\r\n\r\n", r.Header.Get(testHeaders.RequestID))
	return err == nil
}

// An idempotent request is sent once more to an instance that rejects it. That
// does not undo its first run, whichever instance comes first.
func TestRejectionAfterARunIsNoRefusal(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer answerFunc
		status int
	}{
		{"answer lost", loses, http.StatusBadGateway},
		{"own failure", fails, http.StatusInternalServerError},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, servers := startRig(t, test.answer, rejects)
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

func TestOutcomeOfSeveralAttempts(t *testing.T) {
	no, unknown, yes := refusedOutcome(reasonRejected, ""), failedOutcome(reasonLost, ""), outcome{run: runYes}
	for _, test := range []struct{ first, second, want outcome }{
		{no, no, no}, {no, unknown, unknown}, {no, yes, yes},
		{unknown, no, unknown}, {unknown, unknown, unknown}, {unknown, yes, yes},
		{yes, no, yes}, {yes, unknown, yes}, {yes, yes, yes},
	} {
		if got := test.second.after(test.first); got.run != test.want.run || got.reason != test.want.reason {
			t.Errorf("%v after %v: %v, want %v", test.second.run, test.first.run, got.run, test.want.run)
		}
	}
}

// An extra answer after a whole one, and one that arrives where the next answer
// is due, belong to no request.
func TestStrayAnswers(t *testing.T) {
	var count atomic.Int64
	stray := "HTTP/1.1 200 OK\r\nT-Id: other\r\nT-Signature: s\r\nContent-Length: 5\r\n\r\nstray"
	twice := func(conn net.Conn, r *http.Request) bool {
		if count.Add(1)%2 == 0 {
			_, _ = fmt.Fprint(conn, stray)
		}
		answered := ok(conn, r)
		if count.Load()%3 == 0 {
			_, _ = fmt.Fprint(conn, stray)
		}
		return answered
	}
	r, _ := startRig(t, twice)
	for i := range 30 {
		id := fmt.Sprint("id-", i)
		if got := r.send(0, "/safe/x", id, nil); got.status != http.StatusOK || got.body != "for "+id {
			t.Fatalf("request %s got %+v", id, got)
		}
	}
}

func TestCutAnswersAreNoSuccess(t *testing.T) {
	for name, text := range map[string]string{
		"short body": "HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Signature: s\r\nContent-Length: 100\r\n\r\nshort",
		"cut chunks": "HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"cut header": "HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Sig",
		"no answer":  "these bytes are no answer\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := startRig(t, func(conn net.Conn, _ *http.Request) bool {
				_, _ = fmt.Fprint(conn, text)
				return false
			})
			got := r.send(0, "/once/x", "a", nil)
			if got.status != http.StatusBadGateway || got.header.Get("T-Signature") != "" {
				t.Errorf("answer %+v, want 502 without a signature", got)
			}
		})
	}
}

func TestAnswerWithoutLengthIsWhole(t *testing.T) {
	r, _ := startRig(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Signature: s\r\n\r\nuntil the end")
		return false
	})
	if got := r.send(0, "/safe/x", "a", nil); got.status != http.StatusOK || got.body != "until the end" {
		t.Errorf("answer %+v", got)
	}
}

func TestLargeBodiesAreStreamed(t *testing.T) {
	const size = 3 << 20
	r, servers := startRig(t, func(conn net.Conn, q *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signature: s\r\nContent-Length: %d\r\n\r\n", q.Header.Get(testHeaders.RequestID), size)
		_, err := conn.Write(make([]byte, size))
		return err == nil
	}, loses)
	r.store.publish(func(s *memoryStore) { s.instances = s.instances[:1] })
	r.eventually("the second instance is gone", func() bool { return r.nodes[1].follower.State().Directory.Len() == 1 })
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
	if _, body := servers[0].seen(); len(body) != size {
		t.Errorf("the instance read %d bytes, want %d", len(body), size)
	}
}

// A caller that leaves ends the work for it, over both nodes.
func TestCallerGoneEndsTheRun(t *testing.T) {
	ended := make(chan struct{}, 10)
	hangs := func(conn net.Conn, _ *http.Request) bool {
		var b [1]byte
		_, _ = conn.Read(b[:]) // returns when the connection is closed
		ended <- struct{}{}
		return false
	}
	r, servers := startRig(t, hangs, hangs)
	conn, err := net.Dial("tcp", r.at(0, entryPort))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "GET /safe/x HTTP/1.1\r\nHost: h\r\nT-Id: a\r\nT-Budget: 60000\r\nT-Key: big-key\r\n\r\n")
	r.eventually("the request runs", func() bool { return servers[0].arrived.Load()+servers[1].arrived.Load() > 0 })
	_ = conn.Close()
	select {
	case <-ended:
	case <-time.After(1500 * time.Millisecond): // before the timeout of the route
		t.Error("the instance still works for a caller that has gone")
	}
}

func TestTimeoutOfTheRouteIsFinal(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	r, _ := startRig(t, func(net.Conn, *http.Request) bool { <-hold; return false })
	if got := r.send(0, "/once/x", "a", nil); got.status != http.StatusGatewayTimeout {
		t.Errorf("answer %+v, want 504 at the timeout of the route", got)
	}
}

func TestDrainingInstanceGetsNothing(t *testing.T) {
	r, servers := startRig(t, ok, ok)
	r.store.publish(func(s *memoryStore) {
		s.instances = append([]catalog.Instance(nil), s.instances...)
		s.instances[0].Draining = true
	})
	for i := range r.nodes {
		r.eventually("all know that it drains", func() bool {
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
		t.Errorf("%d requests reached the draining instance", n)
	}
}

// A planned stop refuses nothing that was sent before clients can know of it and
// cuts no running request.
func TestPlannedStopCutsNothing(t *testing.T) {
	release := make(chan struct{})
	slow := func(conn net.Conn, q *http.Request) bool {
		if q.Header.Get("X-Slow") != "" {
			<-release
		}
		return ok(conn, q)
	}
	r, _ := startRigWith(t, 6*time.Second, slow, slow)
	running := make(chan clientAnswer)
	go func() {
		running <- r.send(0, "/safe/x", "slow", func(q *http.Request) { q.Header.Set("X-Slow", "1") })
	}()
	r.eventually("the slow request runs", func() bool { return r.nodes[0].active.Load() > 0 })
	r.stops[0]()
	r.waitReady(0, http.StatusServiceUnavailable)
	for i := range 20 {
		if got := r.send(i%2, "/once/x", fmt.Sprint("id-", i), nil); got.status != http.StatusOK {
			t.Fatalf("request %d after the stop began: %+v", i, got)
		}
	}
	close(release)
	if got := <-running; got.status != http.StatusOK || got.body != "for slow" {
		t.Errorf("the running request got %+v", got)
	}
	<-r.ends[0]
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
