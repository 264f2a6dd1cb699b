package proxy

import (
	"bytes"
	"errors"
	"net"
	"net/url"
	"strings"

	"github.com/valyala/fasthttp"
)

var (
	errAmbiguousFraming = errors.New("request has both a length and a transfer encoding")
	errPathNotNormal    = errors.New("path is not in normal form")
)

// checkFraming refuses a request with both a Content-Length and a
// Transfer-Encoding header. Two servers could disagree on where such a request
// ends, which permits request smuggling.
func checkFraming(rawHeaders []byte) error {
	var length, encoding bool
	for len(rawHeaders) > 0 {
		line, rest, _ := bytes.Cut(rawHeaders, []byte("\n"))
		rawHeaders = rest
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found {
			continue
		}
		switch {
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			length = true
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			encoding = true
		}
	}
	if length && encoding {
		return errAmbiguousFraming
	}
	return nil
}

// routePath returns the decoded path of a URI, against which routes are
// matched, without path parameters. It refuses paths that an upstream might
// resolve to another one: dot segments, empty segments, backslashes, encoded
// slashes or backslashes, and invalid escapes. It also refuses NUL and '#'.
func routePath(uri string) (string, error) {
	path, _, _ := strings.Cut(uri, "?")
	folded := strings.ToLower(path)
	if strings.Contains(folded, "%2f") || strings.Contains(folded, "%5c") || strings.ContainsAny(path, "\\#") {
		return "", errPathNotNormal
	}
	decoded, err := url.PathUnescape(path)
	if err != nil || strings.ContainsRune(decoded, 0) {
		return "", errPathNotNormal
	}
	segments := strings.Split(decoded, "/")
	for i, segment := range segments {
		name, _, _ := strings.Cut(segment, ";")
		if name == "." || name == ".." || (name == "" && i > 0 && i < len(segments)-1) {
			return "", errPathNotNormal
		}
		segments[i] = name
	}
	return strings.Join(segments, "/"), nil
}

// HandleServerError refuses requests that the HTTP server could not parse.
func HandleServerError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var headerTooLarge *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &headerTooLarge):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	notRun(status, ReasonMalformed, "the request cannot be parsed").write(&ctx.Response, "")
	ctx.SetConnectionClose()
}
