// Package wellformed reads responses that come from outside of the process.
//
// Only a well-formed response counts as one: it reaches a caller, or is believed, only if
// its status line is one of RFC 9112 and RFC 9110. HTTP libraries are more tolerant, so the
// heads are checked as they came, before a library interprets them.
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

// Read reads the next final response. Its head must fit into the buffer of r. As with
// fasthttp.Response.ReadLimitBody, a body is read later if the response streams its body,
// and is not limited. Errors are ErrMalformed, io.EOF if r ends before the first byte, and
// those of r and of fasthttp.
func Read(r *bufio.Reader, response *fasthttp.Response) error {
	for range maxInterimResponses + 1 {
		head, err := peekHead(r)
		if err != nil {
			return err
		}
		if !isInterim(head.status) {
			return response.ReadLimitBody(r, 0)
		}
		if _, err := r.Discard(head.size); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: more than %d interim responses", ErrMalformed, maxInterimResponses)
}

// head is a head that has been checked.
type head struct {
	// size is its length in bytes, with the empty line at its end.
	size   int
	status int
}

// peekHead checks the next head in r without consuming it. Each line is checked as soon as
// it is complete.
func peekHead(r *bufio.Reader) (head, error) {
	var h head
	for wanted := 1; ; wanted = r.Buffered() + 1 {
		_, readErr := r.Peek(wanted)
		buffered, _ := r.Peek(r.Buffered()) // what is buffered can be peeked
		for {
			line, _, complete := bytes.Cut(buffered[h.size:], crlf)
			if !complete {
				break
			}
			first := h.size == 0
			h.size += len(line) + len(crlf)
			switch {
			case first:
				status, err := parseStatusLine(line)
				if err != nil {
					return head{}, err
				}
				h.status = status
			case len(line) == 0:
				return h, nil
			}
		}
		switch {
		case errors.Is(readErr, bufio.ErrBufferFull):
			return head{}, errHeadTooLarge
		case errors.Is(readErr, io.EOF) && len(buffered) > 0:
			return head{}, io.ErrUnexpectedEOF
		case readErr != nil:
			return head{}, readErr
		}
	}
}

var crlf = []byte("\r\n")
