package wellformed

import (
	"errors"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// maxHeadBytes bounds what net/http reads of the heads of one response, in bytes.
const maxHeadBytes = 64 << 10

// ErrTooLarge means that the body of a response exceeds the limit of its reader.
var ErrTooLarge = errors.New("response body is too large")

// Transport is an http.RoundTripper for clients that keep a response as a whole. It refuses
// malformed heads, and bounds the head and the body of each response.
type Transport struct {
	next         *http.Transport
	maxBodyBytes int64
}

// NewTransport returns a transport that sends with next, which must not be used otherwise.
// Reading more than maxBodyBytes of a body, after any decompression, fails with ErrTooLarge.
func NewTransport(next *http.Transport, maxBodyBytes int64) *Transport {
	next.MaxResponseHeaderBytes = maxHeadBytes
	return &Transport{next: next, maxBodyBytes: maxBodyBytes}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkParsed(response); err != nil {
		_ = response.Body.Close() // nothing of it is read
		return nil, err
	}
	response.Body = &limitedBody{ReadCloser: response.Body, left: t.maxBodyBytes}
	return response, nil
}

// checkParsed checks what net/http accepts of a malformed head. It keeps the blanks in and
// behind a name, so that no reader finds the field; those of folded lines are lost.
func checkParsed(response *http.Response) error {
	if err := checkStatus(response.StatusCode); err != nil {
		return err
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformedLine("field name", []byte(name))
		}
	}
	return nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// limitedBody is a body that fails beyond a number of bytes.
type limitedBody struct {
	io.ReadCloser
	// left is the number of bytes that may still be read.
	left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	// One byte more tells a body of the largest size from a longer one.
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	if int64(n) > b.left {
		n, err = int(b.left), ErrTooLarge
	}
	b.left -= int64(n)
	return n, err
}
