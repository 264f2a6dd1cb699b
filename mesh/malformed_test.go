package mesh

import (
	"net"
	"net/http"
	"strings"
	"testing"
)

// fixedAnswer responds to each request with a text, in which ID stands for the id of the
// request, and keeps the connection open.
func fixedAnswer(text string) respondFunc {
	return func(conn net.Conn, q *http.Request) bool {
		_, err := conn.Write([]byte(strings.ReplaceAll(text, "ID", q.Header.Get(testHeaders.RequestID))))
		return err == nil
	}
}

// checkMalformed checks that no answer reaches a client: neither that of the own instance
// nor that of another node's.
func checkMalformed(t *testing.T, answers map[string]string) {
	t.Helper()
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, servers := startRig(t, fixedAnswer(answer), dropsConnection)
			r.store.publish(func(s *memoryStore) { s.instances = s.instances[:1] })
			r.eventually("one instance is listed", func() bool { return r.nodes[1].follower.State().Directory.Len() == 1 })
			for node := range 2 {
				got := r.send(node, "/once/x", "a1", func(q *http.Request) { q.Header.Set(testHeaders.Budget, "700") })
				if got.err != nil || got.status != http.StatusBadGateway || got.header.Get("T-Signature") != "" {
					t.Errorf("node %d: status %d, header %q, body %q, %v, want 502 without a signature", node, got.status, got.header, got.body, got.err)
				}
			}
			if got := servers[0].arrived.Load(); got != 2 {
				t.Errorf("%d requests arrived, want one for each request of the client", got)
			}
		})
	}
}

const (
	answerID   = "T-Id: ID\r\nT-Signature: s\r\n"
	answerBody = "Content-Length: 4\r\n\r\nbody"
)

// An instance in trouble sends an answer whose status is none. 000 was the worst: the
// library reports 200 for it.
func TestAnswerWithMalformedStatusLineIsNoAnswer(t *testing.T) {
	answers := make(map[string]string)
	for name, line := range map[string]string{
		"000":                  "HTTP/1.1 000 Failed",
		"000 without a reason": "HTTP/1.1 000",
		"000 of HTTP/1.0":      "HTTP/1.0 000 Failed",
		"001":                  "HTTP/1.1 001 Failed",
		"099":                  "HTTP/1.1 099 Failed",
		"600":                  "HTTP/1.1 600 Failed",
		"999":                  "HTTP/1.1 999 Failed",
		"two digits":           "HTTP/1.1 20 OK",
		"four digits":          "HTTP/1.1 2000 OK",
		"letters":              "HTTP/1.1 2xx OK",
		"sign":                 "HTTP/1.1 +20 OK",
		"upgrade":              "HTTP/1.1 101 Switching Protocols",
		"no status":            "HTTP/1.1 OK",
		"two blanks":           "HTTP/1.1  200 OK",
		"tab":                  "HTTP/1.1\t200 OK",
		"NUL in the reason":    "HTTP/1.1 200 O\x00K",
		"CR in the reason":     "HTTP/1.1 200 O\rK",
		"HTTP/2":               "HTTP/2.0 200 OK",
		"HTTP/0.9":             "HTTP/0.9 200 OK",
		"lower case":           "http/1.1 200 OK",
		"empty line first":     "\r\nHTTP/1.1 200 OK",
		"interim 000":          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Failed",
	} {
		answers[name] = line + "\r\n" + answerID + answerBody
	}
	checkMalformed(t, answers)
}

// An instance in trouble sends a line whose name is none. The library passes some of them
// on, and takes others for the framing of the body.
func TestAnswerWithMalformedFieldLineIsNoAnswer(t *testing.T) {
	answers := make(map[string]string)
	for name, line := range map[string]string{
		"blank inside the name":          "X Field: 1",
		"blank behind the name":          "X-Field : 1",
		"tab behind the name":            "X-Field\t: 1",
		"tab inside the name":            "X\tField: 1",
		"NUL in the name":                "X\x00Field: 1",
		"control byte in the name":       "X\x01Field: 1",
		"CR in the name":                 "X\rField: 1",
		"DEL in the name":                "X\x7fField: 1",
		"byte over 127 in the name":      "X\xe9Field: 1",
		"delimiter in the name":          "X(Field): 1",
		"no name":                        ": 1",
		"no colon":                       "X-Field",
		"blank behind the length's name": "Content-Length : 2",
		"blank inside the length's name": "Content- Length: 2",
		"blank behind the coding's name": "Transfer-Encoding : chunked",
		"folded line":                    "X-Field: 1\r\n Content-Length: 2",
		"NUL in the value":               "X-Field: a\x00b",
		"CR in the value":                "X-Field: a\rb",
		"bare line feed":                 "X-Field: a\nX-Other: b",
	} {
		const start = "HTTP/1.1 200 OK\r\n"
		if strings.Contains(name, "length") || strings.Contains(name, "coding") || strings.Contains(name, "folded") {
			answers[name] = start + answerID + line + "\r\nConnection: close\r\n\r\n2\r\nok\r\n0\r\n\r\n"
		} else {
			answers[name] = start + answerID + line + "\r\n" + answerBody
		}
		answers[name+", first"] = start + line + "\r\n" + answerID + answerBody
		answers[name+", interim"] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + start + answerID + answerBody
	}
	answers["folded line, first"] = "HTTP/1.1 200 OK\r\n X-Field: 1\r\n" + answerID + answerBody
	checkMalformed(t, answers)
}

// Where the fields that frame a body contradict each other, its end is a guess.
func TestAnswerWithAmbiguousFramingIsNoAnswer(t *testing.T) {
	const chunks, plain = "\r\n4\r\nbody\r\n0\r\n\r\n", "\r\nbody"
	answers := make(map[string]string)
	for name, rest := range map[string]string{
		"length before a coding":    "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"length behind a coding":    "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n" + chunks,
		"two codings":               "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"list of codings":           "Transfer-Encoding: gzip, chunked\r\n" + chunks,
		"unknown coding":            "Transfer-Encoding: xchunked\r\n" + chunks,
		"two lengths":               "Content-Length: 4\r\nContent-Length: 2\r\n" + plain,
		"list of lengths":           "Content-Length: 4, 2\r\n" + plain,
		"length with a sign":        "Content-Length: +4\r\n" + plain,
		"negative length":           "Content-Length: -4\r\n" + plain,
		"empty length":              "Content-Length: \r\n" + plain,
		"hexadecimal length":        "Content-Length: 0x4\r\n" + plain,
		"length beyond 64 bits":     "Content-Length: 18446744073709551620\r\n" + plain,
		"chunk size with a sign":    "Transfer-Encoding: chunked\r\n\r\n+4\r\nbody\r\n0\r\n\r\n",
		"chunk size of letters":     "Transfer-Encoding: chunked\r\n\r\nxy\r\nbody\r\n0\r\n\r\n",
		"chunk size too small":      "Transfer-Encoding: chunked\r\n\r\n2\r\nbody\r\n0\r\n\r\n",
		"chunk size beyond 64 bits": "Transfer-Encoding: chunked\r\n\r\n10000000000000004\r\nbody\r\n0\r\n\r\n",
		"line feed behind a size":   "Transfer-Encoding: chunked\r\n\r\n4\nbody\n0\n\n",
	} {
		answers[name] = "HTTP/1.1 200 OK\r\n" + answerID + rest
	}
	answers["coding in HTTP/1.0"] = "HTTP/1.0 200 OK\r\n" + answerID + "Transfer-Encoding: chunked\r\nConnection: keep-alive\r\n" + chunks
	checkMalformed(t, answers)
}

// Lines behind the last chunk are lines of the head that come late.
func TestAnswerWithMalformedTrailerIsNoAnswer(t *testing.T) {
	answers := make(map[string]string)
	for name, line := range map[string]string{
		"blank inside the name":    "X Field: 1",
		"blank behind the name":    "X-Field : 1",
		"tab behind the name":      "X-Field\t: 1",
		"control byte in the name": "X\x01Field: 1",
		"no name":                  ": 1",
		"no colon":                 "X-Field",
		"folded line":              "X-Field: 1\r\n more",
		"NUL in the value":         "X-Field: a\x00b",
		"length":                   "Content-Length: 2",
	} {
		answers[name] = "HTTP/1.1 200 OK\r\n" + answerID + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line + "\r\n\r\n"
	}
	checkMalformed(t, answers)
}
