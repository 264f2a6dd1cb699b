package e2e

import (
	"strings"
	"testing"
)

// TestMalformedRequests checks that malformed requests, and requests that two
// servers could parse differently (request smuggling), are refused, that their
// connection is closed and that nothing reaches the upstream.
func TestMalformedRequests(t *testing.T) {
	t.Parallel()
	seen := &requestRecorder{}
	f := startFleet(t, "claims="+handlerUpstream(t, seen.ServeHTTP))
	chunked := "Transfer-Encoding: chunked"
	smuggled := "GET /claims/smuggled HTTP/1.1\r\nHost: x\r\nX-Api-Key: " + hakataKey + "\r\n\r\n"
	tests := []struct {
		name   string
		line   string // request line; the default one if empty
		header []string
		body   string
		status int
	}{
		{"both lengths", "", []string{"Content-Length: 5", chunked}, "0\r\n\r\n" + smuggled, 400},
		{"both lengths, other order", "", []string{chunked, "Content-Length: 5"}, "0\r\n\r\n" + smuggled, 400},
		{"repeated length", "", []string{"Content-Length: 5", "Content-Length: 6"}, "helloX", 400},
		{"repeated equal length", "", []string{"Content-Length: 5", "Content-Length: 5"}, "hello", 400},
		{"length list", "", []string{"Content-Length: 5, 6"}, "helloX", 400},
		{"negative length", "", []string{"Content-Length: -1"}, "hello", 400},
		{"signed length", "", []string{"Content-Length: +5"}, "hello", 400},
		{"hexadecimal length", "", []string{"Content-Length: 0x5"}, "hello", 400},
		{"length over 64 bits", "", []string{"Content-Length: 99999999999999999999"}, "hello", 400},
		{"length over the limit", "", []string{"Content-Length: 99999999999"}, strings.Repeat("x", 16<<10), 413},
		{"unknown coding", "", []string{"Transfer-Encoding: gzip"}, "hello", 400},
		{"two codings", "", []string{"Transfer-Encoding: chunked, identity"}, "0\r\n\r\n" + smuggled, 400},
		{"coding twice", "", []string{chunked, chunked}, "0\r\n\r\n" + smuggled, 400},
		{"misspelled coding", "", []string{"Transfer-Encoding: xchunked"}, "0\r\n\r\n" + smuggled, 400},
		{"space before colon", "", []string{"Transfer-Encoding : chunked", "Content-Length: 5"}, "0\r\n\r\n" + smuggled, 400},
		{"invalid chunk size", "", []string{chunked}, "zz\r\nhello\r\n0\r\n\r\n", 400},
		{"negative chunk size", "", []string{chunked}, "-5\r\nhello\r\n0\r\n\r\n", 400},
		{"huge chunk size", "", []string{chunked}, "ffffffffffffffffff\r\nhello\r\n0\r\n\r\n", 400},
		{"chunk longer than its size", "", []string{chunked}, "5\r\nhelloX\r\n0\r\n\r\n", 400},
		{"no request line", "hello", nil, "", 400},
		{"bare LF in the target", "GET /claims/a\nX: y HTTP/1.1", nil, "", 400},
		{"NUL in a header", "", []string{"X-A: a\x00b"}, "", 400},
		{"bare CR in a header", "", []string{"X-A: a\rTransfer-Encoding: chunked"}, "", 400},
		{"header without colon", "", []string{"X-A"}, "", 400},
		{"oversized header", "", []string{"X-A: " + strings.Repeat("a", 64<<10)}, "", 431},
		{"many headers", "", strings.Split(strings.Repeat("X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa|", 2000)+"X-B: b", "|"), "", 431},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := seen.count("")
			line := tt.line
			if line == "" {
				line = "POST /claims/a HTTP/1.1"
			}
			head := append([]string{line, "Host: x", "X-Api-Key: " + hakataKey}, tt.header...)
			got, closed := sendRaw(t, f.nodes[0].public, lines(head...)+tt.body)
			if got.err != nil {
				t.Fatalf("no response: %v", got.err)
			}
			if got.status != tt.status || !closed {
				t.Errorf("status %d %s, connection closed %v; want %d and closed", got.status, got.reason(), closed, tt.status)
			}
			if got.run() != "not-run" {
				t.Errorf("run %q; want not-run", got.run())
			}
			if now := seen.count(""); now > before || seen.count("smuggled") > 0 {
				t.Errorf("the upstream received %s", seen.since(before))
			}
		})
	}
	if got := send(f.nodes[0], "POST", "/claims/a", hakataKey, []byte("x")); got.status != 200 {
		t.Errorf("a valid request afterwards: status %d", got.status)
	}
}
