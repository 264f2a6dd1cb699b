package wellformed

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
)

const bufferSize = 1 << 10

// read reads a response with its whole body. The source returns a byte at a time, so that
// each head is seen in every state of completeness.
func read(text string) (status int, body string, err error) {
	response := &fasthttp.Response{}
	if err := Read(bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(text)), bufferSize), response); err != nil {
		return 0, "", err
	}
	if response.BodyStream() == nil {
		return response.StatusCode(), "", nil
	}
	whole, err := io.ReadAll(response.BodyStream())
	return response.StatusCode(), string(whole), err
}

// checkAnswers checks that each text is read as a response with the status and the body.
func checkAnswers(t *testing.T, answers []answer) {
	t.Helper()
	for _, a := range answers {
		status, body, err := read(a.text)
		if err != nil || status != a.status || body != a.body {
			t.Errorf("%q: status %d, body %q, %v; want %d, %q", a.text, status, body, err, a.status, a.body)
		}
	}
}

type answer struct {
	text   string
	status int
	body   string
}

// What is odd and harmless must stay an answer.
func TestUnusualStatusLinesAreAnswers(t *testing.T) {
	const rest = "\r\nContent-Length: 4\r\n\r\nbody"
	checkAnswers(t, []answer{
		{"HTTP/1.1 200 OK" + rest, 200, "body"},
		{"HTTP/1.1 200 " + rest, 200, "body"},
		{"HTTP/1.1 200" + rest, 200, "body"},
		{"HTTP/1.0 200 OK" + rest, 200, "body"},
		{"HTTP/1.1 299 A long \t reason, caf\xc3\xa9" + rest, 299, "body"},
		{"HTTP/1.1 599 Unheard of" + rest, 599, "body"},
		{"HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK" + rest, 200, "body"},
	})
}

// The same for field lines.
func TestUnusualFieldLinesAreAnswers(t *testing.T) {
	const start, rest = "HTTP/1.1 200 OK\r\n", "Content-Length: 4\r\n\r\nbody"
	var answers []answer
	for _, line := range []string{
		"X:", "X: ", "X:1", "X: \t a \t ", "!#$%&'*+-.^_`|~09azAZ: 1", "X: caf\xc3\xa9 \xff", "X: a:b: c", "X: HTTP/1.1", "x-lower: 1",
		"X: " + strings.Repeat("x", bufferSize/2),
	} {
		answers = append(answers, answer{start + line + "\r\n" + rest, 200, "body"})
	}
	checkAnswers(t, answers)
}

// The same for bodies in chunks.
func TestUnusualChunksAreAnswers(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	checkAnswers(t, []answer{
		{start + "4\r\nbody\r\n0\r\n\r\n", 200, "body"},
		{start + "2;a=b;c\r\nbo\r\n2 \r\ndy\r\n0;end\r\n\r\n", 200, "body"},
		{start + "0004\r\nbody\r\n000\r\nX: 1\r\nY:\r\n\r\n", 200, "body"},
		{start + "A\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n", 200, "01234567890123456789"},
		{start + "0\r\n\r\n", 200, ""},
	})
}

// A recipient must not take fields behind the body for those of the head: they come too
// late to have been checked.
func TestTrailerIsNoPartOfTheHead(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nTrailer: X-Late\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Late: 1\r\nY-Late: 1\r\n\r\n"
	response := &fasthttp.Response{}
	if err := Read(bufio.NewReader(strings.NewReader(text)), response); err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(response.BodyStream()); string(body) != "body" || err != nil {
		t.Errorf("body %q, %v", body, err)
	}
	if header := response.Header.String(); strings.Contains(header, "Late: 1") {
		t.Errorf("header %q", header)
	}
}

// A reader that keeps a head must not keep one without end.
func TestHeadBeyondTheBufferIsMalformed(t *testing.T) {
	for name, text := range map[string]string{
		"status line":       "HTTP/1.1 200 " + strings.Repeat("x", bufferSize),
		"field":             "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", bufferSize),
		"fields":            "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: x\r\n", bufferSize),
		"interim responses": strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxInterimResponses+1),
	} {
		if _, _, err := read(text); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v, want %v", name, err, ErrMalformed)
		}
	}
}

// The end of a connection is not an error of the head: whether it came before the first
// byte tells a closed connection from a lost response.
func TestEndOfTheConnectionIsToldFromAMalformedHead(t *testing.T) {
	if _, _, err := read(""); !errors.Is(err, io.EOF) {
		t.Errorf("no byte: %v", err)
	}
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for n := range len(whole) - 1 {
		if _, _, err := read(whole[:n+1]); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: %v, want %v", whole[:n+1], err, io.ErrUnexpectedEOF)
		}
	}
}

// The rest of a malformed head may never come.
func TestMalformedStatusLineIsFoundBeforeTheHeadEnds(t *testing.T) {
	never := readerFunc(func([]byte) (int, error) {
		t.Error("read on")
		return 0, io.ErrNoProgress
	})
	r := io.MultiReader(strings.NewReader("HTTP/1.1 000 Failed\r\n"), never)
	if err := Read(bufio.NewReaderSize(r, bufferSize), &fasthttp.Response{}); !errors.Is(err, ErrMalformed) {
		t.Errorf("%v, want %v", err, ErrMalformed)
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
