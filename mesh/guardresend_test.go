package mesh

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Both instances of a service reject two of three requests. No other one is left, but a
// later try may run.
func TestRequestIsSentAgainWhileTheWholeServiceRejects(t *testing.T) {
	var counted atomic.Int64
	third := func(conn net.Conn, r *http.Request) bool {
		if counted.Add(1)%3 != 0 {
			return rejects(conn, r)
		}
		return ok(conn, r)
	}
	r, servers := startRig(t, ok, ok)
	for i := range 1000 {
		if got := r.send(i%2, "/once/x", fmt.Sprint("before-", i), nil); got.status != http.StatusOK {
			t.Fatalf("request %d before the fault: %+v", i, got)
		}
	}
	for _, s := range servers {
		s.setRespond(third)
	}
	for i := range 3 {
		if got := r.send(i%2, "/once/x", fmt.Sprint("id-", i), nil); got.status != http.StatusOK {
			t.Errorf("request %d: %+v, want a response of an instance", i, got)
		}
	}
}

// A long body is streamed and can be sent once. A request that is sent again without it
// would run with an empty body. Both paths of a request lead to the guard: from the entry
// beside it and from that of another node.
func TestLongBodyIsNotSentAgainEmptyAfterARejection(t *testing.T) {
	for name, entry := range map[string]int{"own instance": 0, "instance of another node": 1} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %v", name, chunked), func(t *testing.T) {
				r, servers := startRig(t, ok, ok)
				r.store.publish(func(s *memoryStore) { s.instances = s.instances[:1] })
				r.eventually("one instance is listed", func() bool { return r.nodes[entry].follower.State().Directory.Len() == 1 })
				for i := range 200 { // the budget of resends grows with the requests
					r.send(entry, "/safe/x", fmt.Sprint("before-", i), nil)
				}
				var arrivals atomic.Int64
				servers[0].setRespond(func(conn net.Conn, q *http.Request) bool {
					if arrivals.Add(1) == 1 {
						return rejects(conn, q)
					}
					return ok(conn, q)
				})
				long := strings.Repeat("x", 2*maxBufferedBody)
				got := r.send(entry, "/once/x", "long", func(q *http.Request) {
					q.Body = io.NopCloser(strings.NewReader(long))
					if q.ContentLength = int64(len(long)); chunked {
						q.ContentLength = -1
					}
				})
				if _, body := servers[0].lastRequest(); body != long {
					t.Errorf("the instance got a body of %d bytes, want %d; status %d", len(body), len(long), got.status)
				}
				if got.status != http.StatusServiceUnavailable {
					t.Errorf("status %d, want 503: the request has not run", got.status)
				}
			})
		}
	}
}

// A body that has not been read yet can still be sent to another instance.
func TestLongBodyIsSentElsewhereAfterARefusedConnection(t *testing.T) {
	r, servers := startRig(t, ok, ok)
	r.stops[0]()
	<-r.ended[0]
	long := strings.Repeat("x", 2*maxBufferedBody)
	for i := range 10 {
		got := r.send(1, "/once/x", fmt.Sprint("id-", i), func(q *http.Request) {
			q.Body, q.ContentLength = io.NopCloser(strings.NewReader(long)), int64(len(long))
		})
		if got.status != http.StatusOK {
			t.Fatalf("request %d: %+v, want a response of the other instance", i, got)
		}
		if _, body := servers[1].lastRequest(); body != long {
			t.Fatalf("request %d: body of %d bytes, want %d", i, len(body), len(long))
		}
	}
}
