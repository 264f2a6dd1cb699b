package wellformed

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// maxQuoted is the number of bytes of a malformed line that an error quotes.
const maxQuoted = 40

// Starts of status lines.
var (
	version10 = []byte("HTTP/1.0 ")
	version11 = []byte("HTTP/1.1 ")
)

// isInterim reports whether a status announces that a final response follows.
func isInterim(status int) bool { return status < http.StatusOK }

// checkStatus returns an error unless status is one of RFC 9110, 15, that can answer a
// request which does not ask to change the protocol.
func checkStatus(status int) error {
	if status < 100 || status > 599 || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %03d", ErrMalformed, status)
	}
	return nil
}

// parseStatusLine returns the status in a status line (RFC 9112, 4). The blank before a
// missing reason may be missing too.
func parseStatusLine(line []byte) (int, error) {
	const digits = 3
	if !bytes.HasPrefix(line, version11) && !bytes.HasPrefix(line, version10) {
		return 0, malformedLine("status line", line)
	}
	code, reason, _ := bytes.Cut(line[len(version11):], []byte(" "))
	status, err := strconv.ParseUint(string(code), 10, 16)
	if err != nil || len(code) != digits || !isText(reason) {
		return 0, malformedLine("status line", line)
	}
	return int(status), checkStatus(int(status))
}

// parseFieldLine returns the name in a field line (RFC 9112, 5). A line that continues the
// one before it is none: what it belongs to is a guess.
func parseFieldLine(line []byte) (name []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) || !isText(value) {
		return nil, malformedLine("field line", line)
	}
	return name, nil
}

// framing is what a head says about the end of its body. The values are left to the
// library, which refuses any but one plain length or one coding in chunks.
type framing struct {
	isHTTP10, hasLength, hasCoding bool
}

// add adds a field, given by its name.
func (f *framing) add(name []byte) {
	f.hasLength = f.hasLength || isLength(name)
	f.hasCoding = f.hasCoding || isCoding(name)
}

func isLength(name []byte) bool { return bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)) }

func isCoding(name []byte) bool {
	return bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
}

// check returns an error if the end of the body is a guess (RFC 9112, 6.1).
func (f *framing) check() error {
	if f.hasCoding && (f.hasLength || f.isHTTP10) {
		return fmt.Errorf("%w: ambiguous framing", ErrMalformed)
	}
	return nil
}

// isToken reports whether a name is a token (RFC 9110, 5.6.2).
func isToken(name []byte) bool {
	for _, c := range name {
		if !httpguts.IsTokenRune(rune(c)) {
			return false
		}
	}
	return len(name) > 0
}

// isText reports whether a value or a reason has no control bytes but tabs (RFC 9110, 5.5).
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func malformedLine(what string, line []byte) error {
	return fmt.Errorf("%w: %s %q", ErrMalformed, what, line[:min(len(line), maxQuoted)])
}
