package mesh

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// reply is the answer of the other side. Its body is either whole or a stream
// that must be closed.
type reply struct {
	response *fasthttp.Response
	body     []byte
	stream   io.ReadCloser
}

// release gives back what the reply holds, without reading a stream to its end.
func (r *reply) release() {
	if r.stream != nil {
		_ = r.stream.Close()
	}
	fasthttp.ReleaseResponse(r.response)
}

// identityLength is fasthttp's content length of a body that ends with the
// connection.
const identityLength = -2

// idleTimeout reads the timeout of a Keep-Alive header.
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

// replyStream is a large body that is passed on while it arrives.
type replyStream struct {
	link     *link
	conn     *linkConn
	response *fasthttp.Response
	head     []byte
	tail     io.Reader
	whole    bool
}

// Read implements io.Reader. It returns io.EOF only after the whole body.
func (s *replyStream) Read(p []byte) (int, error) {
	if len(s.head) > 0 {
		n := copy(p, s.head)
		s.head = s.head[n:]
		return n, nil
	}
	n, err := s.tail.Read(p)
	if errors.Is(err, io.EOF) {
		s.whole = true
	}
	return n, err
}

// Close implements io.Closer.
func (s *replyStream) Close() error {
	if s.conn == nil {
		return nil
	}
	conn := s.conn
	s.conn = nil
	if !s.whole {
		return conn.Close()
	}
	_ = s.response.CloseBodyStream() // read to its end
	s.link.finish(conn, s.response, func() bool { return true }, true)
	return nil
}
