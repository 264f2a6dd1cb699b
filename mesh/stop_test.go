package mesh

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// dialEntry opens a connection to the entry of a node.
func (r *rig) dialEntry(node int) net.Conn {
	r.t.Helper()
	conn, err := net.Dial("tcp", r.address(node, entryPort))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// writeRequest writes a request that may run once.
func writeRequest(conn net.Conn, id string) error {
	_, err := fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 9000\r\n%s: big-key\r\nContent-Length: 4\r\n\r\nbody",
		testHeaders.RequestID, id, testHeaders.Budget, testHeaders.Key)
	return err
}

// A client goes on using its connection after the node has decided to exit. What arrives
// then must not be passed on: it would run without an answer.
func TestRequestOnKeptConnectionIsNotPassedOnAfterTheStop(t *testing.T) {
	r, servers := startRig(t, ok, ok)
	var conns []net.Conn
	for range 2 {
		conn := r.dialEntry(0)
		conns = append(conns, conn)
		if err := writeRequest(conn, "before"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("before the stop: %v, %v", response, err)
		}
	}
	r.stops[0]()
	<-r.ended[0]
	before := servers[0].arrived.Load() + servers[1].arrived.Load()
	for _, conn := range conns {
		_ = writeRequest(conn, "after") // may fail: the connection is closed
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			t.Errorf("status %d after the node has stopped, want a closed connection", response.StatusCode)
		}
	}
	if got := servers[0].arrived.Load() + servers[1].arrived.Load() - before; got != 0 {
		t.Errorf("%d requests were passed on after the node has stopped", got)
	}
}

// The response to a running request is ready long before the client has read it. The
// node must not exit while it is being written.
func TestPlannedStopWaitsForResponsesThatAreBeingWritten(t *testing.T) {
	const size = 24 << 20
	large := func(conn net.Conn, q *http.Request) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signature: s\r\nContent-Length: %d\r\n\r\n%s",
			q.Header.Get(testHeaders.RequestID), size, strings.Repeat("x", size))
		return err == nil
	}
	r, _ := startRigWith(t, 6*time.Second, large)
	r.store.publish(func(s *memoryStore) {
		d := testDefinition()
		d.Version = 2
		for i := range d.Routes {
			d.Routes[i].Timeout = 9 * time.Second
		}
		s.definition = d
	})
	r.eventually("the timeout is in force", func() bool { return r.nodes[0].follower.State().Version() == 2 })
	conn := r.dialEntry(0)
	if err := writeRequest(conn, "large"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	r.stops[0]()
	// Whatever the node takes for the end of its requests has come by then.
	r.eventually("requests of other nodes are refused", func() bool { return r.nodes[0].stopping.refusesPeers.Load() })
	time.Sleep(10 * drainPollInterval)
	select {
	case <-r.ended[0]:
		t.Fatal("the node has stopped in the middle of a response")
	default:
	}
	if n, err := io.Copy(io.Discard, response.Body); n != size || err != nil {
		t.Errorf("%d of %d bytes: %v", n, size, err)
	}
	<-r.ended[0]
}

// A client that shares the address of the own instance can't be told from it. It must not
// be served without an end while the node stops.
func TestStoppingNodeRefusesCallsWhileItsInstanceRunsNothing(t *testing.T) {
	r, servers := startRig(t, ok)
	own := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(strings.Split(r.address(0, 0), ":")[0])}}
	r.client.DialContext = own.DialContext
	r.client.DisableKeepAlives = true
	r.store.publish(func(s *memoryStore) {
		d := testDefinition()
		d.Version = 2
		d.Routes[1].Public = true
		s.definition = d
	})
	noKey := func(q *http.Request) { q.Header.Del(testHeaders.Key) }
	r.eventually("the route is public", func() bool { return r.send(0, "/once/x", "public", noKey).status == http.StatusOK })
	r.nodes[0].stopping.refusesClients.Store(true)
	before := servers[0].arrived.Load()
	if got := r.send(0, "/once/x", "late", noKey); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", got.status)
	}
	if servers[0].arrived.Load() != before {
		t.Error("the request has run")
	}
}

// Time budgets of requests in milliseconds: one that ends after a process with stopGrace has
// exited, even if it began with the stop, and one that ends before for a while.
const (
	stopGrace           = 10 * time.Second
	longTime, shortTime = 9900, 1500
)

// startStop starts the planned stop of the first of two nodes. It does not end before
// release is called: requests with a long time budget run until then, one of them at the
// own instance of the node, so that calls can belong to it.
func startStop(t *testing.T) (r *rig, servers []*upstream, release func()) {
	t.Helper()
	released := make(chan struct{})
	answer := func(conn net.Conn, q *http.Request) bool {
		if budget, _ := strconv.Atoi(q.Header.Get(testHeaders.Budget)); budget > shortTime {
			<-released
		}
		return ok(conn, q)
	}
	r, servers = startRigWith(t, stopGrace, answer, answer)
	r.store.publish(func(s *memoryStore) {
		d := testDefinition()
		d.Version = 2
		for i := range d.Routes {
			d.Routes[i].Timeout = stopGrace
			d.Routes[i].Public = true
		}
		s.definition = d
	})
	r.eventually("the routes are public", func() bool { return r.nodes[0].follower.State().Version() == 2 })
	clients := &http.Transport{DisableKeepAlives: true}
	var early sync.WaitGroup
	for servers[0].arrived.Load() == 0 {
		before := arrivals(servers)
		early.Go(func() {
			if status, err := r.sendFrom(clients, 0, longTime); err != nil || status != http.StatusOK {
				t.Errorf("before the stop: status %d, %v", status, err)
			}
		})
		r.eventually("the request runs", func() bool { return arrivals(servers) > before })
	}
	r.stops[0]()
	return r, servers, func() {
		close(released)
		early.Wait()
		<-r.ended[0]
	}
}

// arrivals returns the number of requests that have arrived at instances.
func arrivals(servers []*upstream) (n int64) {
	for _, s := range servers {
		n += s.arrived.Load()
	}
	return n
}

// A request that comes late in a planned stop, and may take longer than the process is
// there, must not be passed on: it would be cut without an answer. What can end in time is
// served, calls of the own instance above all.
func TestRequestThatCanNotEndInAPlannedStopIsNotPassedOn(t *testing.T) {
	r, servers, release := startStop(t)
	clients := &http.Transport{DisableKeepAlives: true}
	calls := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{
		LocalAddr: &net.TCPAddr{IP: net.ParseIP(strings.Split(r.address(0, 0), ":")[0])},
	}).DialContext}
	check := func(what string, transport *http.Transport, budget, want int) {
		t.Helper()
		before := arrivals(servers)
		status, err := r.sendFrom(transport, 0, budget)
		if err != nil || status != want {
			t.Errorf("%s with a time budget of %d ms: status %d, %v, want %d", what, budget, status, err, want)
		}
		passedOn := arrivals(servers) - before
		if (passedOn > 0) != (want == http.StatusOK) {
			t.Errorf("%s with a time budget of %d ms: passed on %d times", what, budget, passedOn)
		}
	}
	r.eventually("the notice is over", func() bool { return r.nodes[0].stopping.refusesPeers.Load() })
	check("client after the notice", clients, shortTime, http.StatusOK)
	check("client after the notice", clients, longTime, http.StatusServiceUnavailable)
	r.eventually("clients are refused", func() bool { return r.nodes[0].stopping.refusesClients.Load() })
	check("call at the end", calls, shortTime, http.StatusOK)
	check("call at the end", calls, longTime, http.StatusServiceUnavailable)
	release()
}

// The header of a request comes before callers can know of the stop, the rest of its body
// later. What counts is when the request would be passed on. Short bodies are read before
// the entry sees the request, longer ones by the entry.
func TestRequestWhoseBodyComesLateInAPlannedStopIsNotPassedOn(t *testing.T) {
	r, servers, release := startStop(t)
	var conns []net.Conn
	for _, size := range []int{2, maxBufferedBody / 2} {
		conn := r.dialEntry(0)
		if _, err := fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: h\r\n%s: slow\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
			testHeaders.RequestID, testHeaders.Budget, longTime, size, strings.Repeat("x", size-1)); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	r.eventually("the notice is over", func() bool { return r.nodes[0].stopping.refusesPeers.Load() })
	before := arrivals(servers)
	for i, conn := range conns {
		if _, err := fmt.Fprint(conn, "x"); err != nil {
			t.Fatal(err)
		}
		if err := conn.SetReadDeadline(time.Now().Add(shortTime * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable || !response.Close {
			t.Errorf("body %d: response %v, %v, want 503 and the end of the connection", i, response, err)
		}
	}
	if passedOn := arrivals(servers) - before; passedOn != 0 {
		t.Errorf("passed on %d times", passedOn)
	}
	release()
}

// sendFrom sends a request without a key to the entry of a node, and returns its status.
// The time budget is in milliseconds.
func (r *rig) sendFrom(transport *http.Transport, node, budget int) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.address(node, entryPort)+"/once/x", strings.NewReader("body"))
	if err != nil {
		return 0, err
	}
	request.Host = "h"
	request.Header.Set(testHeaders.RequestID, fmt.Sprint("budget-", budget))
	request.Header.Set(testHeaders.Budget, strconv.Itoa(budget))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}
