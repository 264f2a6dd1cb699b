// Package flood is a stand-in for a server in trouble that sends bytes without end: more
// than any reader may keep, and as much as a test that fails can bear.
package flood

import (
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/toucancove/toucancove/internal/standin/raw"
)

const (
	// chunkBytes is the size in bytes of one write.
	chunkBytes = 16 << 10
	// maxSent is the number of bytes after which the connection is closed.
	maxSent = 96 << 20
)

// response is a response that begins with start and goes on with part, again and again.
type response struct{ start, part string }

// send sends the response until the connection is closed.
func (r response) send(conn net.Conn) {
	chunk := []byte(strings.Repeat(r.part, max(1, chunkBytes/len(r.part))))
	_, err := conn.Write([]byte(r.start))
	for sent := 0; err == nil && sent < maxSent; sent += len(chunk) {
		_, err = conn.Write(chunk)
	}
}

// responses returns endless responses of each form, by name. fields are lines of the head
// that a reader may need to go on.
func responses(fields string) map[string]response {
	ok := "HTTP/1.1 200 OK\r\n" + fields
	return map[string]response{
		"status line":         {"", "x"},
		"empty lines":         {"", "\r\n"},
		"header field":        {ok + "X-Long: ", "x"},
		"header fields":       {ok, "X-Field: value\r\n"},
		"interim responses":   {"", "HTTP/1.1 103 Early Hints\r\nX-Field: value\r\n\r\n"},
		"body of a length":    {ok + "Content-Length: 1000000000000\r\n\r\n", "x"},
		"body without length": {ok + "\r\n", "x"},
		"body of a failure":   {"HTTP/1.1 500 Error\r\n" + fields + "\r\n", "x"},
		"chunks":              {ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
		"chunk size":          {ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":     {ok + "Transfer-Encoding: chunked\r\n\r\n4;a=", "x"},
		"trailers":            {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"},
	}
}

// HeapOf returns by how many bytes the heap grows at most while f runs.
func HeapOf(f func()) uint64 {
	const interval = 5 * time.Millisecond
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	runtime.GC()
	before := heap()
	peak := before
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			peak = max(peak, heap())
			select {
			case <-ticker.C:
			case <-stop:
				return
			}
		}
	}()
	f()
	close(stop)
	<-stopped
	return peak - before
}

// MaxHeap is how far a reader's heap may grow, in bytes: a tenth of the memory of a node.
const MaxHeap = 28 << 20

// CheckReader checks that a client which makes calls at the same time keeps little of
// endless responses, and that none of them counts as a response.
func CheckReader(t *testing.T, calls int, fields string, call func(address string) error) {
	t.Helper()
	checkHeap(t, calls, fields, func(address string) {
		if call(address) == nil {
			t.Error("an endless response counts as a response")
		}
	})
}

// CheckHeap checks only that a client keeps little of endless responses.
func CheckHeap(t *testing.T, calls int, fields string, call func(address string) error) {
	t.Helper()
	checkHeap(t, calls, fields, func(address string) { _ = call(address) })
}

func checkHeap(t *testing.T, calls int, fields string, call func(address string)) {
	t.Helper()
	for name, form := range responses(fields) {
		t.Run(name, func(t *testing.T) {
			address := raw.Serve(t, form.send)
			grown := HeapOf(func() {
				var group sync.WaitGroup
				for range calls {
					group.Go(func() { call(address) })
				}
				group.Wait()
			})
			if grown > MaxHeap {
				t.Errorf("the heap grew by %d MB, want at most %d", grown>>20, MaxHeap>>20)
			}
			t.Logf("the heap grew by %.1f MB", float64(grown)/(1<<20))
		})
	}
}
