package mesh

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// An instance stops somewhere in its answer, in the middle of the head above all, and
// closes or resets the connection. The caller must not get a success that looks complete.
func TestAnswerCutAnywhereIsNoSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Signature: s\r\n"
	for name, form := range map[string]struct {
		answer string
		// end is the length from which the answer may be complete.
		end string
	}{
		"length":            {head + "Content-Length: 4\r\n\r\nbody", ""},
		"length at first":   {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nT-Id: ID\r\nT-Signature: s\r\n\r\nbody", ""},
		"chunks":            {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2;e=1\r\ndy\r\n0\r\n\r\n", ""},
		"trailer":           {head + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n4\r\nbody\r\n0\r\nX-T: 1\r\n\r\n", ""},
		"bare line feeds":   {strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 4\n\nbody", ""},
		"interim responses": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody", ""},
		"until the end":     {head + "\r\nbody", "body"},
		"no content":        {"HTTP/1.1 204 No Content\r\nT-Id: ID\r\nT-Signature: s\r\n\r\n", ""},
	} {
		for ending, reset := range map[string]bool{"closed": false, "reset": true} {
			t.Run(name+", "+ending, func(t *testing.T) {
				t.Parallel()
				var cut atomic.Int64
				answer := func(conn net.Conn, q *http.Request) bool {
					text := strings.ReplaceAll(form.answer, "ID", q.Header.Get(testHeaders.RequestID))
					_, _ = fmt.Fprint(conn, text[:min(int(cut.Load()), len(text))])
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					return false
				}
				r, _ := startRig(t, answer, dropsConnection)
				r.store.publish(func(s *memoryStore) { s.instances = s.instances[:1] })
				r.eventually("one instance is listed", func() bool { return r.nodes[1].follower.State().Directory.Len() == 1 })
				cut.Store(int64(len(form.answer)))
				if got := r.send(0, "/once/x", "xx", nil); !reset && name != "bare line feeds" && got.status >= http.StatusBadRequest {
					t.Errorf("the whole answer: status %d", got.status)
				}
				for n := range len(form.answer) - len(form.end) {
					cut.Store(int64(n))
					got := r.send(n%2, "/once/x", "xx", nil) // an id as long as the text that it replaces
					if got.err == nil && got.status < http.StatusBadRequest {
						t.Errorf("cut after %q: status %d, body %q", form.answer[max(0, n-12):n], got.status, got.body)
					}
				}
			})
		}
	}
}

// The same between nodes: a guard ends while it writes its answer or its refusal.
func TestGuardsAnswerCutAnywhereIsNeitherSuccessNorRefusal(t *testing.T) {
	r, _ := startRig(t, ok)
	hint := string((&hint{}).append(nil))
	for name, answer := range map[string]string{
		"answer":  "HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Signature: s\r\nTc-Hint: " + hint + "\r\nContent-Length: 4\r\n\r\nbody",
		"refusal": "HTTP/1.1 503 Unavailable\r\nT-Id: a\r\nTc-Refused: instance-overloaded\r\nTc-Hint: " + hint + "\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var cut atomic.Int64
			guard := startUpstream(t, "127.0.0.1:0", func(conn net.Conn, _ *http.Request) bool {
				_, _ = fmt.Fprint(conn, answer[:cut.Load()])
				return false
			})
			for n := range len(answer) {
				cut.Store(int64(n))
				if o := r.sendToGuard(guard.address); o.run != runUnknown || o.response != nil {
					t.Errorf("cut after %q: run %v, response %v", answer[max(0, n-12):n], o.run, o.response != nil)
				}
			}
			cut.Store(int64(len(answer)))
			if o := r.sendToGuard(guard.address); o.run == runUnknown {
				t.Errorf("the whole answer: run %v, reason %q", o.run, o.reason)
			}
		})
	}
}
