package mesh

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

// startRigWithLimits starts a node whose published limits are far below those of its
// servers.
func startRigWithLimits(t *testing.T) *rig {
	t.Helper()
	r, _ := startRig(t, ok)
	r.store.publish(func(s *memoryStore) {
		next := testDefinition()
		next.Version = 2
		next.Limits = catalog.Limits{HeaderBytes: 2000, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
		s.definition = next
	})
	r.eventually("the limits are in force", func() bool { return r.nodes[0].publishedLimits().HeaderBytes > 0 })
	return r
}

// readUntilClosed reads from a connection until the node closes it. It fails the test
// if that takes as long as the server's own limits.
func readUntilClosed(t *testing.T, conn net.Conn) string {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(15 * time.Second)); err != nil {
		t.Error(err)
		return ""
	}
	rest, err := io.ReadAll(conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the node did not close the connection")
	}
	return string(rest)
}

func TestIncompleteHeaderTimesOut(t *testing.T) {
	r := startRigWithLimits(t)
	conn, err := net.Dial("tcp", r.address(0, entryPort))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := fmt.Fprint(conn, "GET /safe/x HTTP/1.1\r\nHost: h\r\nT-Id: a\r\n"); err != nil {
		t.Fatal(err)
	}
	if rest := readUntilClosed(t, conn); rest != "" && !strings.HasPrefix(rest, "HTTP/1.1 408") {
		t.Errorf("response %q, want 408 or none", rest)
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	r := startRigWithLimits(t)
	conn, err := net.Dial("tcp", r.address(0, entryPort))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		if _, err := fmt.Fprintf(conn, "GET /safe/x HTTP/1.1\r\nHost: h\r\nT-Id: %d\r\nT-Key: big-key\r\nT-Budget: 5000\r\n\r\n", i); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("request %d: status %d, error %v", i, response.StatusCode, err)
		}
	}
	if rest := readUntilClosed(t, conn); rest != "" {
		t.Errorf("%q after the last response, want nothing", rest)
	}
}

func TestOversizedHeaderIsRefused(t *testing.T) {
	r := startRigWithLimits(t)
	got := r.send(0, "/safe/x", "a", func(q *http.Request) { q.Header.Set("X-Long", strings.Repeat("x", 2000)) })
	if got.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, want 431", got.status)
	}
	if got := r.send(0, "/safe/x", "b", nil); got.status != http.StatusOK {
		t.Errorf("status %d within the limit, want 200", got.status)
	}
}

// Published limits bound the caller and must not end a request that the instance still
// runs. The run ends only after a connection that was opened when it began has been
// closed as idle.
func TestCallerLimitsDoNotEndRunningRequests(t *testing.T) {
	running, idleClosed := make(chan struct{}), make(chan struct{})
	slow := func(conn net.Conn, q *http.Request) bool {
		close(running)
		<-idleClosed
		return ok(conn, q)
	}
	r, _ := startRig(t, slow)
	r.store.publish(func(s *memoryStore) {
		next := testDefinition()
		next.Version = 2
		next.Limits = catalog.Limits{HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}
		s.definition = next
	})
	r.eventually("the limits are in force", func() bool { return r.nodes[0].publishedLimits().IdleTimeout > 0 })
	go func() {
		defer close(idleClosed)
		<-running
		idle, err := net.Dial("tcp", r.address(0, entryPort))
		if err != nil {
			t.Error(err)
			return
		}
		defer idle.Close()
		readUntilClosed(t, idle)
	}()
	if got := r.send(0, "/safe/x", "a", nil); got.status != http.StatusOK {
		t.Errorf("response %+v, want 200", got)
	}
}
