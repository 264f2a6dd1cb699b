package proxy

import (
	"io"
	"net/http"
	"testing"
)

// rawAnswer responds with a text and closes the connection.
func rawAnswer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
}

// checkMalformed checks that no answer reaches the caller, and that the request counts as
// one that may have run.
func checkMalformed(t *testing.T, answers map[string]string) {
	t.Helper()
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, rawAnswer(answer))
			if got := r.do(0, "POST", "/s/x", "body"); got.err != nil || got.status != http.StatusBadGateway || got.run != string(RunUnknown) {
				t.Errorf("response %+v, want 502 and run %q", got, RunUnknown)
			}
			if r.ran() != 1 {
				t.Errorf("%d requests reached an upstream, want 1", r.ran())
			}
		})
	}
}

func TestAnswerWithMalformedStatusLineIsNoAnswer(t *testing.T) {
	const rest = "\r\nContent-Length: 4\r\n\r\nbody"
	checkMalformed(t, map[string]string{
		"000":         "HTTP/1.1 000 Failed" + rest,
		"099":         "HTTP/1.1 099 Failed" + rest,
		"600":         "HTTP/1.1 600 Failed" + rest,
		"upgrade":     "HTTP/1.1 101 Switching Protocols" + rest,
		"HTTP/2":      "HTTP/2.0 200 OK" + rest,
		"interim 000": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Failed" + rest,
	})
}

func TestAnswerWithMalformedFieldLineIsNoAnswer(t *testing.T) {
	const start, rest = "HTTP/1.1 200 OK\r\n", "\r\nConnection: close\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	checkMalformed(t, map[string]string{
		"blank inside the name":          start + "Content-Length: 4\r\nX Field: 1\r\n\r\nbody",
		"control byte in the name":       start + "Content-Length: 4\r\nX\x01Field: 1\r\n\r\nbody",
		"blank behind the length's name": start + "Content-Length : 2" + rest,
		"blank behind the coding's name": start + "Transfer-Encoding : chunked" + rest,
		"folded line":                    start + "X-Field: 1\r\n Content-Length: 2" + rest,
	})
}

func TestAnswerWithAmbiguousFramingIsNoAnswer(t *testing.T) {
	const chunks = "\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	checkMalformed(t, map[string]string{
		"length before a coding": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked" + chunks,
		"coding in HTTP/1.0":     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked" + chunks,
		"two lengths":            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nbody",
	})
}

func TestAnswerWithMalformedTrailerIsNoAnswer(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	for name, line := range map[string]string{"blank inside the name": "X Field: 1", "no colon": "X-Field"} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, rawAnswer(start+line+"\r\n\r\n"))
			if got := r.do(0, "POST", "/s/x", "body"); got.err == nil && got.status != http.StatusBadGateway {
				t.Errorf("response %+v, want a broken one or 502", got)
			}
		})
	}
}
