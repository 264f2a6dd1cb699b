// Package wellformed reads responses that come from outside of the process.
//
// Only a well-formed response counts as one: it reaches a caller, or is believed, only if
// its status line, its field lines and its framing are those of RFC 9112 and RFC 9110. HTTP
// libraries are more tolerant, so the heads are checked as they came, before a library
// interprets them.
package wellformed

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// maxInterimResponses bounds the interim responses before a final one.
const maxInterimResponses = 100

var (
	// ErrMalformed means that a response is not well-formed.
	ErrMalformed = errors.New("malformed response")
	// errHeadTooLarge means that a response head does not fit into the buffer of its reader.
	errHeadTooLarge = fmt.Errorf("%w: head exceeds the buffer", ErrMalformed)
)

// Read reads the head of the next final response, which must fit into the buffer of r. The
// body, if there is one, is a stream of the response that reads from r, without a limit.
// Errors are ErrMalformed, io.EOF if r ends before the first byte, and those of r and of
// fasthttp.
func Read(r *bufio.Reader, response *fasthttp.Response) error {
	response.StreamBody = true
	for range maxInterimResponses + 1 {
		head, err := peekHead(r)
		if err != nil {
			return err
		}
		if !isInterim(head.status) {
			return readFinal(r, response)
		}
		if _, err := r.Discard(head.size); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: more than %d interim responses", ErrMalformed, maxInterimResponses)
}

// chunkedLength is fasthttp's content length of a body in chunks.
const chunkedLength = -1

// readFinal reads a head that has been checked.
func readFinal(r *bufio.Reader, response *fasthttp.Response) error {
	if err := response.ReadLimitBody(r, 0); err != nil {
		return err
	}
	if response.BodyStream() != nil && response.Header.ContentLength() == chunkedLength {
		response.SetBodyStream(newChunkedBody(r), chunkedLength)
	}
	return nil
}

// head is a head that has been checked.
type head struct {
	// size is its length in bytes, with the empty line at its end.
	size   int
	status int
	framing
}

// peekHead checks the next head in r without consuming it.
func peekHead(r *bufio.Reader) (head, error) {
	var h head
	size, err := peekLines(r, func(number int, line []byte) (last bool, err error) {
		switch {
		case number == 0:
			h.status, err = parseStatusLine(line)
			h.isHTTP10 = bytes.HasPrefix(line, version10)
			return false, err
		case len(line) == 0:
			return true, h.check()
		}
		name, err := parseFieldLine(line)
		h.add(name)
		return false, err
	})
	h.size = size
	return h, err
}

var crlf = []byte("\r\n")

// peekLines calls check with each line of r, as soon as it is complete, until check returns
// that it was the last. It returns the size of the lines in bytes without consuming them.
func peekLines(r *bufio.Reader, check func(number int, line []byte) (last bool, err error)) (size int, err error) {
	number := 0
	for wanted := 1; ; wanted = r.Buffered() + 1 {
		_, readErr := r.Peek(wanted)
		buffered, _ := r.Peek(r.Buffered()) // what is buffered can be peeked
		for {
			line, _, complete := bytes.Cut(buffered[size:], crlf)
			if !complete {
				break
			}
			size += len(line) + len(crlf)
			last, err := check(number, line)
			if last || err != nil {
				return size, err
			}
			number++
		}
		switch {
		case errors.Is(readErr, bufio.ErrBufferFull):
			return size, errHeadTooLarge
		case errors.Is(readErr, io.EOF) && len(buffered) > 0:
			return size, io.ErrUnexpectedEOF
		case readErr != nil:
			return size, readErr
		}
	}
}
