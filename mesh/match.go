package mesh

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/internal/wellformed"
)

// A response is believed only if it can belong to the sending that it is read for; that a
// request has not run, above all. Instances may write responses a second time, late. Three
// things tie a response to a sending: it echoes the id of the request, a connection carries
// a request once (sendings), and on a new connection there is no earlier request. A
// response without an id on a connection that was used before can't be placed: it is
// skipped, and the connection is not used again.

const (
	// unplacedWait is how long the response to a request is awaited after one that can't
	// be placed. If that was a late copy, the response is on its way; if it was the
	// response, there is nothing to wait for.
	unplacedWait = time.Second
	// untaggedMemory is how long each request gets a new connection after an instance
	// has sent a response without an id. On a new connection there is no doubt.
	untaggedMemory = 10 * time.Second
)

var (
	// errUnsolicited means that the responses on a connection belong to other requests.
	errUnsolicited = errors.New("response belongs to another request")
	// errUnplaced means that a response on a connection that was used before has no id.
	errUnplaced = errors.New("response without an id on a connection that was used before")
	// errSeveralHeads means that the header of a response contains parts of two.
	errSeveralHeads = errors.New("header contains parts of several responses")
)

// placement is what a response has to do with the request it was read for.
type placement uint8

const (
	// placedHere: it is the response to the request.
	placedHere placement = iota
	// placedElsewhere: it belongs to another request.
	placedElsewhere
	// unplaced: it may be either.
	unplaced
)

// place decides to which request a response belongs. An error response may lack the id, as
// one from an instance that did not read the request; a success must echo it.
func (p *connPool) place(conn *pooledConn, response *fasthttp.Response, id []byte) (placement, error) {
	if err := checkHeads(&response.Header, p.requestID); err != nil {
		return unplaced, err
	}
	echoed := response.Header.Peek(p.requestID)
	switch {
	case len(echoed) > 0 && bytes.Equal(echoed, id):
		return placedHere, nil
	case len(echoed) > 0:
		return placedElsewhere, nil
	case p.idOptional:
		return placedHere, nil
	case len(id) > 0 && response.StatusCode() < fasthttp.StatusBadRequest:
		return placedElsewhere, nil
	}
	p.markUntagged(time.Now())
	if conn.requests == 1 {
		return placedHere, nil
	}
	return unplaced, nil
}

// checkHeads returns an error if a header contains parts of several responses: bytes that
// belong to no request and don't end run into the head of the next response.
func checkHeads(header *fasthttp.ResponseHeader, requestID string) error {
	if len(header.PeekAll(requestID)) > 1 {
		return errSeveralHeads
	}
	for _, value := range header.All() {
		if containsStatusLine(value) {
			return errSeveralHeads
		}
	}
	return nil
}

// containsStatusLine reports whether a header value contains the start of a response, as
// in "HTTP/1.1 200".
func containsStatusLine(value []byte) bool {
	const protocol, length = "HTTP/1.", len("HTTP/1.1 200")
	for {
		at := bytes.Index(value, []byte(protocol))
		if at < 0 || len(value) < at+length {
			return false
		}
		value = value[at+len(protocol):]
		if rest := value[1:]; rest[0] == ' ' && isDigit(rest[1]) && isDigit(rest[2]) && isDigit(rest[3]) {
			return true
		}
	}
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// markUntagged records that a response without an id has come.
func (p *connPool) markUntagged(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.untaggedAt = now
}

// isUntagged reports whether a response without an id has come lately.
func (p *connPool) isUntagged(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.untaggedAt.IsZero() && now.Sub(p.untaggedAt) < untaggedMemory
}

// needsNewConn reports whether a response to a request with the id could not be placed on
// a connection that was used before.
func (p *connPool) needsNewConn(now time.Time, id []byte) bool {
	return !p.idOptional && (len(id) == 0 || p.isUntagged(now))
}

// read reads the response to the request and skips responses to other requests.
func (p *connPool) read(conn *pooledConn, req *fasthttp.Request, response *fasthttp.Response, o exchangeOptions, stop func() bool) (*receivedResponse, error) {
	id := req.Header.Peek(p.requestID)
	seenUnplaced := false
	for skipped := 0; ; skipped++ {
		received, complete, err := p.readOne(conn, req, response)
		if err != nil {
			if seenUnplaced {
				err = fmt.Errorf("%w, then %s", errUnplaced, err.Error()) // not a timeout of the request
			}
			return nil, err
		}
		placed, err := p.place(conn, response, id)
		if err != nil {
			return nil, err
		}
		if placed == placedHere {
			if seenUnplaced {
				if err := conn.SetReadDeadline(o.deadline); err != nil {
					return nil, err
				}
			}
			switch {
			case complete:
				p.recycle(conn, response, stop, skipped == 0)
			case !stop():
				// From here on the reader of the stream ends it, not ctx.
				return nil, errCallerGone
			}
			return received, nil
		}
		last := !complete || skipped == maxUnsolicited || isLast(response)
		switch {
		case placed == unplaced && last:
			return nil, errUnplaced
		case last:
			return nil, errUnsolicited
		case placed == unplaced && !seenUnplaced:
			seenUnplaced = true
			if err := conn.SetReadDeadline(earliest(o.deadline, time.Now().Add(unplacedWait))); err != nil {
				return nil, err
			}
		}
	}
}

// isLast reports whether no other response can follow on the connection.
func isLast(response *fasthttp.Response) bool {
	return response.ConnectionClose() || response.Header.ContentLength() == identityLength
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// readOne reads one response, whose body is either complete or a stream.
func (p *connPool) readOne(conn *pooledConn, req *fasthttp.Request, response *fasthttp.Response) (r *receivedResponse, complete bool, err error) {
	response.Reset()
	response.SkipBody = req.Header.IsHead()
	if err := wellformed.Read(conn.reader, response); err != nil {
		return nil, false, err
	}
	return p.readBody(conn, response)
}
