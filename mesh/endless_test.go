package mesh

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/internal/sockets"
	"github.com/toucancove/toucancove/internal/standin/flood"
)

// endless responds with a start and then the same part without end, until the
// connection is closed.
func endless(start, part string, written *atomic.Int64, closed *atomic.Int64) respondFunc {
	chunk := []byte(strings.Repeat(part, max(1, 16<<10/len(part))))
	return func(conn net.Conn, r *http.Request) bool {
		text := strings.ReplaceAll(start, "ID", r.Header.Get(testHeaders.RequestID))
		for n, err := conn.Write([]byte(text)); ; n, err = conn.Write(chunk) {
			written.Add(int64(n))
			if err != nil {
				closed.Add(1)
				return false
			}
		}
	}
}

// An instance in trouble sends bytes without end. The caller must get a status that is
// true, or a response that can't be taken for a complete one, and the memory of the node
// must not depend on how much is sent.
func TestEndlessResponses(t *testing.T) {
	const (
		ok = "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Signature: s\r\n"
		// requests are sent at once, through each of the two nodes.
		requests = 8
	)
	for name, form := range map[string]struct{ start, part string }{
		"status line":            {"", "x"},
		"empty lines":            {"", "\r\n"},
		"header field":           {ok + "X-Long: ", "x"},
		"header fields":          {ok, "X-Field: value\r\n"},
		"interim responses":      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body of a length":       {ok + "Content-Length: 1000000000000\r\n\r\n", "x"},
		"body without length":    {ok + "\r\n", "x"},
		"chunks":                 {ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
		"chunk size":             {ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":        {ok + "Transfer-Encoding: chunked\r\n\r\n4;a=", "x"},
		"trailers":               {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"},
		"responses to others":    {"", "HTTP/1.1 200 OK\r\nT-Id: other\r\nT-Signature: s\r\nContent-Length: 1\r\n\r\nx"},
		"body of another":        {"HTTP/1.1 200 OK\r\nT-Id: other\r\nT-Signature: s\r\n\r\n", "x"},
		"body of a failure":      {"HTTP/1.1 500 Error\r\nT-Id: ID\r\nT-Signature: s\r\n\r\n", "x"},
		"bytes after a response": {ok + "Content-Length: 2\r\n\r\nok", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			var written, closed atomic.Int64
			r, servers := startRig(t, endless(form.start, form.part, &written, &closed), dropsConnection)
			r.store.publish(func(s *memoryStore) { s.instances = s.instances[:1] })
			r.eventually("one instance is listed", func() bool { return r.nodes[1].follower.State().Directory.Len() == 1 })
			got := flood.HeapOf(func() {
				var clients sync.WaitGroup
				for i := range 2 * requests {
					clients.Go(func() { r.checkEndless(i%2, fmt.Sprint("id-", i)) })
				}
				clients.Wait()
			})
			if got > flood.MaxHeap {
				t.Errorf("the heap grew by %d MB, want at most %d", got>>20, flood.MaxHeap>>20)
			}
			t.Logf("%d MB sent, the heap grew by %.1f MB", written.Load()>>20, float64(got)/(1<<20))
			r.eventually("the connections to the instance are closed", func() bool { return closed.Load() == servers[0].arrived.Load() })
		})
	}
}

// checkEndless sends a request that may run once to the entry of a node, and checks that
// its response is a failure with an unknown outcome, is incomplete, or is the whole "ok".
func (r *rig) checkEndless(node int, id string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+r.address(node, entryPort)+"/once/x", nil)
	if err != nil {
		r.t.Error(err)
		return
	}
	request.Host = "h"
	request.Header.Set(testHeaders.RequestID, id)
	request.Header.Set(testHeaders.Budget, "700")
	request.Header.Set(testHeaders.Key, "big-key")
	response, err := r.client.RoundTrip(request)
	if err != nil {
		return // closed without an answer, which promises nothing
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	switch {
	case err != nil:
	case response.StatusCode == http.StatusOK && n == 2:
	case response.StatusCode == http.StatusBadGateway || response.StatusCode == http.StatusGatewayTimeout:
		if response.Header.Get("T-Signature") != "" {
			r.t.Errorf("request %s: status %d with the signature of an instance", id, response.StatusCode)
		}
	default:
		r.t.Errorf("request %s: complete response with status %d and %d bytes, header %v", id, response.StatusCode, n, response.Header)
	}
}

// An instance goes on sending after a complete response, on a connection that is idle by
// then. The bytes would fill the receive buffers of all idle connections.
func TestIdleConnectionWithBytesToReadIsClosed(t *testing.T) {
	more := make(chan struct{})
	ended := make(chan struct{})
	u := startUpstream(t, "127.0.0.1:0", func(conn net.Conn, r *http.Request) bool {
		ok(conn, r)
		<-more
		for {
			if _, err := conn.Write(make([]byte, 4<<10)); err != nil {
				close(ended)
				return false
			}
		}
	})
	pool := newConnPool(u.address, testHeaders.RequestID)
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://h/")
	request.Header.Set(testHeaders.RequestID, "a")
	received, err := pool.exchange(t.Context(), request, exchangeOptions{body: &body{}, sendings: &sendings{}, deadline: time.Now().Add(5 * time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	received.release()
	pool.closeExpired(time.Now())
	if len(pool.idle) != 1 {
		t.Fatalf("%d idle connections, want that of the exchange", len(pool.idle))
	}
	conn := pool.idle[0].Conn
	close(more)
	for deadline := time.Now().Add(5 * time.Second); sockets.IsIdle(conn) && time.Now().Before(deadline); {
		runtime.Gosched()
	}
	pool.closeExpired(time.Now())
	if len(pool.idle) != 0 {
		t.Fatal("the connection was kept")
	}
	<-ended
}
