package wellformed

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// maxQuoted is the number of bytes of a malformed line that an error quotes.
const maxQuoted = 40

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
	const version, digits = len("HTTP/1.1 "), 3
	if !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) && !bytes.HasPrefix(line, []byte("HTTP/1.0 ")) {
		return 0, malformedLine("status line", line)
	}
	code, reason, _ := bytes.Cut(line[version:], []byte(" "))
	status, err := strconv.ParseUint(string(code), 10, 16)
	if err != nil || len(code) != digits || !isText(reason) {
		return 0, malformedLine("status line", line)
	}
	return int(status), checkStatus(int(status))
}

// checkFieldLine returns an error unless a line is a field line (RFC 9112, 5). One that
// continues the line before it is none: what it belongs to is a guess.
func checkFieldLine(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) || !isText(value) {
		return malformedLine("field line", line)
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
