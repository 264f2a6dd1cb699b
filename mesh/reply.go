package mesh

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// receivedResponse is the response of an instance or a guard. Its body is either
// complete or a stream that must be closed.
type receivedResponse struct {
	raw    *fasthttp.Response
	body   []byte
	stream *responseStream
}

// release frees the response. It closes a stream without reading the rest.
func (r *receivedResponse) release() {
	if r.stream != nil {
		_ = r.stream.Close()
	}
	fasthttp.ReleaseResponse(r.raw)
}

// identityLength is fasthttp's content length of a body that ends when the connection
// is closed.
const identityLength = -2

// idleTimeout parses the timeout parameter of a Keep-Alive header.
func idleTimeout(value []byte) (time.Duration, bool) {
	for part := range strings.SplitSeq(string(value), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// responseStream is a large response body that is streamed to the caller.
type responseStream struct {
	pool     *connPool
	conn     *pooledConn
	response *fasthttp.Response
	head     []byte
	tail     io.Reader
	complete bool
	// broken is set once the other side has ended the body early.
	broken bool
	// onClose, if set, is called when the stream is closed.
	onClose func(s *responseStream)
}

// Read implements io.Reader. It returns io.EOF only after the complete body.
func (s *responseStream) Read(p []byte) (int, error) {
	if len(s.head) > 0 {
		n := copy(p, s.head)
		s.head = s.head[n:]
		return n, nil
	}
	n, err := s.tail.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		s.complete = true
	case err != nil:
		s.broken = true
	}
	return n, err
}

// Close implements io.Closer.
func (s *responseStream) Close() error {
	if s.conn == nil {
		return nil
	}
	conn := s.conn
	s.conn = nil
	if s.onClose != nil {
		s.onClose(s)
	}
	if !s.complete {
		return conn.Close()
	}
	_ = s.response.CloseBodyStream() // already read to its end
	s.pool.recycle(conn, s.response, func() bool { return true }, true)
	return nil
}
