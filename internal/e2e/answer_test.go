package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestCompleteResponsesAreForwarded checks that less common forms of complete
// responses pass unchanged from a local upstream and through a peer node.
func TestCompleteResponsesAreForwarded(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("h", 12<<10)
	up := handlerUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch r.URL.Path {
		case "/no-content":
			w.WriteHeader(http.StatusNoContent)
		case "/not-modified":
			w.WriteHeader(http.StatusNotModified)
		case "/early-hints":
			w.WriteHeader(http.StatusEarlyHints)
			_, _ = io.WriteString(w, "final")
		case "/trailer":
			w.Header().Set("Trailer", "X-Sum")
			_, _ = io.WriteString(w, "chunked")
			_ = http.NewResponseController(w).Flush()
			w.Header().Set("X-Sum", "1")
		case "/long-header":
			w.Header().Set("X-Long", long)
		case "/teapot":
			w.WriteHeader(http.StatusTeapot)
			_, _ = io.WriteString(w, "short and stout")
		case "/echo":
			_, _ = w.Write(body)
		}
	})
	f := startFleet(t, "claims="+up, "treaty="+up)
	large := bytes.Repeat([]byte("0123456789"), 30000)
	tests := []struct {
		method, path string
		body         []byte
		header       []string
		status       int
		want         string
	}{
		{"GET", "/no-content", nil, nil, 204, ""},
		{"GET", "/not-modified", nil, []string{"If-None-Match", "x"}, 304, ""},
		{"HEAD", "/teapot", nil, nil, 418, ""},
		{"GET", "/teapot", nil, nil, 418, "short and stout"},
		{"GET", "/empty", nil, nil, 200, ""},
		{"GET", "/early-hints", nil, nil, 200, "final"},
		{"GET", "/trailer", nil, nil, 200, "chunked"},
		{"GET", "/long-header", nil, nil, 200, ""},
		{"POST", "/echo", large, nil, 200, string(large)},
		{"POST", "/echo", large, []string{"Expect", "100-continue"}, 200, string(large)},
		{"POST", "/echo", []byte("x"), []string{"Expect", "100-continue"}, 200, "x"},
		{"PATCH", "/echo", []byte("x"), nil, 200, "x"},
		{"DELETE", "/echo", nil, nil, 200, ""},
		{"OPTIONS", "/echo", nil, nil, 200, ""},
	}
	for _, service := range []string{"claims", "treaty"} {
		for i, tt := range tests {
			t.Run(fmt.Sprintf("%s %d %s %s", service, i, tt.method, tt.path), func(t *testing.T) {
				got := send(f.nodes[0], tt.method, "/"+service+tt.path, hakataKey, tt.body, tt.header...)
				if got.err != nil || got.status != tt.status || got.body != tt.want {
					t.Errorf("status %d %s, %d bytes, %v; want %d and %d bytes", got.status, got.reason(), len(got.body), got.err, tt.status, len(tt.want))
				}
				if tt.path == "/long-header" && got.header.Get("X-Long") != long {
					t.Errorf("header of %d bytes; want %d", len(got.header.Get("X-Long")), len(long))
				}
			})
		}
	}
}

// TestPipelinedRequestsKeepTheirOrder sends requests on one connection without
// waiting for responses and checks that the responses come in request order.
func TestPipelinedRequestsKeepTheirOrder(t *testing.T) {
	t.Parallel()
	up := handlerUpstream(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	f := startFleet(t, "claims="+up)
	conn, err := net.Dial("tcp", f.nodes[0].public)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	const count = 50
	var all strings.Builder
	for i := range count {
		all.WriteString(lines(fmt.Sprintf("GET /claims/%d HTTP/1.1", i), "Host: x", "X-Api-Key: "+hakataKey))
	}
	go func() { _, _ = io.WriteString(conn, all.String()) }()
	reader := bufio.NewReader(conn)
	for i := range count {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		if want := fmt.Sprintf("/%d", i); string(body) != want {
			t.Fatalf("response %d is %q; want %q", i, body, want)
		}
	}
}

// TestCallerDisconnectCancelsRequest closes the caller's connection while its
// request runs at a local upstream and at a peer's, and checks that the run is
// cancelled.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	t.Parallel()
	ups := []*standin{startStandin(t), startStandin(t)}
	f := startFleet(t, "claims="+ups[0].address, "treaty="+ups[1].address)
	for i, service := range []string{"claims", "treaty"} {
		conn, err := net.Dial("tcp", f.nodes[0].public)
		if err != nil {
			t.Fatal(err)
		}
		head := lines("GET /"+service+"/files/a?work=600000 HTTP/1.1", "Host: x", "X-Api-Key: "+hakataKey)
		if _, err := io.WriteString(conn, head); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "the request runs", func() bool { return ups[i].records(t).Working == 1 })
		_ = conn.Close()
		waitFor(t, "the run is cancelled", func() bool { return ups[i].records(t).Working == 0 })
	}
}
