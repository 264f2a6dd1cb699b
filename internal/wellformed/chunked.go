package wellformed

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
)

// chunkedBody reads a body in chunks. It ends with io.EOF only if the lines behind the last
// chunk are field lines too. These are dropped: a recipient must not take them for fields
// of the head.
type chunkedBody struct {
	r      *bufio.Reader
	chunks io.Reader
	// end is the error after the last chunk.
	end error
}

func newChunkedBody(r *bufio.Reader) *chunkedBody {
	return &chunkedBody{r: r, chunks: httputil.NewChunkedReader(r)}
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		b.end = b.discardTrailer()
		err = b.end
	}
	return n, err
}

// discardTrailer reads the lines behind the last chunk. It returns io.EOF after them.
func (b *chunkedBody) discardTrailer() error {
	size, err := peekLines(b.r, func(_ int, line []byte) (last bool, err error) {
		if len(line) == 0 {
			return true, nil
		}
		name, err := parseFieldLine(line)
		if err == nil && (isLength(name) || isCoding(name)) {
			err = fmt.Errorf("%w: field %s in a trailer", ErrMalformed, name)
		}
		return false, err
	})
	switch {
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF // the empty line is missing
	case err != nil:
		return err
	}
	if _, err := b.r.Discard(size); err != nil {
		return err
	}
	return io.EOF
}
