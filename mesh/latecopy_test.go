package mesh

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/catalog"
)

// copying is an instance that rejects the first sending of each request under one path,
// and writes a second copy of the rejection just before its next answer on the connection.
type copying struct {
	// rejection returns the text of a rejection, late that of its second copy.
	rejection, late func(id string) string

	mu     sync.Mutex
	copies map[net.Conn]string
	// rejected and ran count the sendings of each request.
	rejected, ran map[string]int
}

func newCopying(late func(id string) string) *copying {
	return &copying{rejection: rejectionWithID, late: late, copies: make(map[net.Conn]string), rejected: make(map[string]int), ran: make(map[string]int)}
}

func rejectionWithID(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Full\r\nT-Id: %s\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
}

const copyingPath = "/once/copied"

func (c *copying) respond(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get(testHeaders.RequestID)
	c.mu.Lock()
	late := c.copies[conn]
	delete(c.copies, conn)
	reject := r.URL.Path == copyingPath && c.rejected[id] == 0
	if reject {
		c.rejected[id]++
		c.copies[conn] = c.late(id)
	} else {
		c.ran[id]++
	}
	c.mu.Unlock()
	if _, err := fmt.Fprint(conn, late); err != nil {
		return false
	}
	if reject {
		_, err := fmt.Fprint(conn, c.rejection(id))
		return err == nil
	}
	return ok(conn, r)
}

// check fails the test if a request ran twice, or ran although its caller was told that it
// has not run.
func (c *copying) check(t *testing.T, id string, got clientResponse) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.ran[id]; n > 1 || (n > 0 && promisesNotRun(got.status)) {
		t.Errorf("request %s ran %d times, status %d", id, n, got.status)
	}
}

// startCopyingRig starts two nodes of which the first is beside the instance, with a
// budget of resends.
func startCopyingRig(t *testing.T, c *copying, entry int) *rig {
	t.Helper()
	r, _ := startRig(t, c.respond, ok)
	r.store.publish(func(s *memoryStore) { s.instances = s.instances[:1] })
	r.eventually("one instance is listed", func() bool { return r.nodes[entry].follower.State().Directory.Len() == 1 })
	for i := range 400 {
		r.send(entry, "/once/x", fmt.Sprint("before-", i), nil)
	}
	return r
}

// The copy has the id of a request that is sent again: it must not be taken for the answer
// to the second sending.
func TestLateCopyOfARejectionIsNotTakenForTheNextSending(t *testing.T) {
	for name, entry := range map[string]int{"own instance": 0, "instance of another node": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCopying(rejectionWithID)
			r := startCopyingRig(t, c, entry)
			for i := range 3 {
				id := fmt.Sprint("id-", i)
				got := r.send(entry, copyingPath, id, nil)
				c.check(t, id, got)
				if got.status != http.StatusOK {
					t.Errorf("request %s: status %d, want the answer to the second sending", id, got.status)
				}
			}
		})
	}
}

// A rejection without an id could be that of any request. On a connection that was used
// before, it must not be taken for the answer to the next request.
func TestLateCopyWithoutIDIsNotTakenForTheAnswerToAnotherRequest(t *testing.T) {
	for name, late := range map[string]string{
		"503":             "HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\n",
		"429, empty id":   "HTTP/1.1 429 Too Many\r\nT-Id: \r\nT-Not-Run: 1\r\n",
		"400":             "HTTP/1.1 400 Bad\r\nT-Not-Run: 1\r\n",
		"421":             "HTTP/1.1 421 Misdirected\r\n",
		"failure":         "HTTP/1.1 500 Error\r\n",
		"a second answer": "HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\nX-Cut: ",
	} {
		for leg, entry := range map[string]int{"own instance": 0, "instance of another node": 1} {
			t.Run(name+", "+leg, func(t *testing.T) {
				c := newCopying(func(string) string {
					if name == "a second answer" {
						return late // it runs into the head of the next answer
					}
					return late + "Content-Length: 0\r\n\r\n"
				})
				r := startCopyingRig(t, c, entry)
				for i := range 3 {
					id := fmt.Sprint("rejected-", i)
					c.check(t, id, r.send(entry, copyingPath, id, nil))
					// At once, so that all idle connections are used.
					var clients sync.WaitGroup
					for j := range 4 {
						clients.Go(func() {
							id := fmt.Sprintf("id-%d-%d", i, j)
							got := r.send(entry, "/once/x", id, nil)
							c.check(t, id, got)
							if name == "a second answer" && got.status == http.StatusBadGateway {
								return // the two can't be told apart
							}
							if got.status != http.StatusOK || got.body != "for "+id {
								t.Errorf("request %s: %+v, want its own answer", id, got)
							}
						})
					}
					clients.Wait()
				}
			})
		}
	}
}

// An instance that did not read a request can't echo its id. Its rejections are true, and
// other instances must still be tried, also on kept connections.
func TestRejectionsWithoutIDAreBelievedAfterTheFirst(t *testing.T) {
	rejecting := func(conn net.Conn, q *http.Request) bool {
		if q.URL.Path == "/once/x" {
			_, err := fmt.Fprint(conn, "HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		return ok(conn, q)
	}
	r, _ := startRig(t, rejecting, ok)
	for i := range 40 { // both nodes keep connections to the first instance
		r.send(i%2, "/safe/x", fmt.Sprint("before-", i), nil)
	}
	unknown := 0
	for i := range 40 {
		switch got := r.send(i%2, "/once/x", fmt.Sprint("id-", i), nil); got.status {
		case http.StatusOK:
		case http.StatusBadGateway:
			unknown++
		default:
			t.Errorf("request %d: %+v", i, got)
		}
	}
	if unknown > 1 {
		t.Errorf("%d requests have an unknown outcome, want at most the first that was rejected without an id", unknown)
	}
}

// The server library of a guard answers a request that it can't read. The entry must take
// its answer neither for one of the instance nor for a promise, unless the guard says so.
func TestAnswerThatIsNotFromAGuardIsNoAnswerOfTheInstance(t *testing.T) {
	r, _ := startRig(t, ok)
	for name, tt := range map[string]struct {
		answer string
		run    run
	}{
		"library, before this version": {"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", runUnknown},
		"library":                      {"HTTP/1.1 408 Request Timeout\r\nTc-Refused: unreadable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", runNo},
		"refusal of another request":   {"HTTP/1.1 503 Unavailable\r\nT-Id: other\r\nTc-Refused: instance-overloaded\r\nContent-Length: 0\r\n\r\n", runUnknown},
		"two answers":                  {"HTTP/1.1 503 Unavailable\r\nTc-Refused: instance-overloaded\r\nX: HTTP/1.1 200 OK\r\nT-Id: a\r\nTc-Hint: x\r\nContent-Length: 0\r\n\r\n", runUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			guard := startUpstream(t, "127.0.0.1:0", func(conn net.Conn, _ *http.Request) bool {
				_, _ = fmt.Fprint(conn, tt.answer)
				return false
			})
			o := r.sendToGuard(guard.address)
			if o.run != tt.run || o.response != nil {
				t.Errorf("run %v, response %v, reason %q %s; want run %v and no response", o.run, o.response != nil, o.reason, o.detail, tt.run)
			}
		})
	}
}

// sendToGuard sends a request that may run once, with the id "a", to a guard at an address.
func (r *rig) sendToGuard(address string) outcome {
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	out.SetRequestURI("/once/x")
	out.Header.SetHost("h")
	out.Header.Set(testHeaders.RequestID, "a")
	route := r.nodes[0].follower.State().Catalog.Route("once")
	peers := newPeers(testHeaders, netip.MustParseAddrPort(address).Port(), func(string, versions) {}, r.nodes[0].quarantines)
	return peers.send(r.t.Context(), &request{out: out, body: &body{}, route: route, deadline: time.Now().Add(time.Second)},
		pick{instance: catalog.Instance{ID: "i", Address: address}})
}

// An instance that has run a request answers with a status that promises callers the
// opposite, and without the header that states it. The caller would send it again.
func TestStatusThatPromisesNotRunIsNotPassedOnForARequestThatMayHaveRun(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		answer := func(conn net.Conn, q *http.Request) bool {
			_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nT-Id: %s\r\nT-Signature: s\r\nContent-Length: 0\r\n\r\n", status, q.Header.Get(testHeaders.RequestID))
			return err == nil
		}
		r, servers := startRig(t, answer, answer)
		for node := range 2 {
			id := fmt.Sprint("once-", node)
			if got := r.send(node, "/once/x", id, nil); got.status != http.StatusBadGateway || got.header.Get("T-Signature") != "" {
				t.Errorf("status %d, signature %q for a %d of the instance, want 502 of the node", got.status, got.header.Get("T-Signature"), status)
			}
		}
		if n := servers[0].arrived.Load() + servers[1].arrived.Load(); n != 2 {
			t.Errorf("%d arrivals for 2 requests that may run once", n)
		}
		if got := r.send(0, "/safe/x", "safe", nil); got.status != status || got.header.Get("T-Signature") != "s" {
			t.Errorf("status %d for a repeatable request, want that of the instance, %d", got.status, status)
		}
	}
}
