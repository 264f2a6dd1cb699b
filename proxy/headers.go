package proxy

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"
)

// Names of the headers that toucancove sets or reads.
const (
	// HeaderPass carries the signed pass, from entry to guard, from guard to
	// upstream, and from the upstream to the loopback listener of its node.
	HeaderPass = "Toucancove-Pass"
	// HeaderTimeout is the time budget of a request in whole milliseconds.
	HeaderTimeout = "Toucancove-Timeout-Ms"
	// HeaderTicket carries a ticket that makes a request run at most once.
	HeaderTicket = "Toucancove-Ticket"
	// HeaderRun states whether the request was run; see Run.
	HeaderRun = "Toucancove-Run"
	// HeaderReason is the machine-readable reason of a refusal.
	HeaderReason = "Toucancove-Reason"
	// HeaderRetryAfterMs is Retry-After in milliseconds.
	HeaderRetryAfterMs = "Toucancove-Retry-After-Ms"
	// HeaderHint carries the load hint of a guard to entries; see formatHint.
	HeaderHint = "Toucancove-Hint"
	// HeaderNode carries the report of a guard to entries: its boot id, whether
	// it is serving or leaving, and two times in microseconds, the wait in its
	// queue and the time until the header of the response.
	HeaderNode = "Toucancove-Node"
	// HeaderUnused is the number of delegated retries that an attempt returns.
	HeaderUnused = "Toucancove-Unused-Attempts"
	// HeaderWorkspace is the workspace of a request, set for the upstream.
	HeaderWorkspace = "Toucancove-Workspace"
	// HeaderClass is the class of a request, set for the upstream.
	HeaderClass = "Toucancove-Class"
	// HeaderRequestID is the id of the root request. All requests of a call
	// chain have the same.
	HeaderRequestID = "X-Request-Id"
)

// ownHeaderPrefix is the prefix of the headers that toucancove defines, in
// lower case.
const ownHeaderPrefix = "toucancove-"

// keyHeaders carry credentials of callers and are never forwarded by an entry.
var keyHeaders = map[string]bool{
	"authorization":       true,
	"proxy-authorization": true,
	"x-api-key":           true,
	"api-key":             true,
	"apikey":              true,
	"x-apikey":            true,
	"x-auth-token":        true,
}

// hopHeaders are the hop-by-hop headers, and those that are set anew for each
// hop.
var hopHeaders = map[string]bool{
	"connection":         true,
	"keep-alive":         true,
	"proxy-connection":   true,
	"proxy-authenticate": true,
	"te":                 true,
	"trailer":            true,
	"transfer-encoding":  true,
	"upgrade":            true,
	"content-length":     true,
	"expect":             true,
}

// canonicalName returns the name in lower case with hyphens for underscores,
// since servers commonly don't distinguish these spellings.
func canonicalName(name []byte) string {
	return strings.ReplaceAll(strings.ToLower(string(name)), "_", "-")
}

// callerKeys returns the keys in the X-Api-Key and Authorization headers of a
// request. The first one identifies the workspace; none may be forwarded.
func callerKeys(header *fasthttp.RequestHeader) [][]byte {
	const scheme = "bearer "
	var keys [][]byte
	for _, value := range header.PeekAll("X-Api-Key") {
		if len(value) > 0 {
			keys = append(keys, bytes.Clone(value))
		}
	}
	for _, value := range header.PeekAll(fasthttp.HeaderAuthorization) {
		if len(value) <= len(scheme) || !strings.EqualFold(string(value[:len(scheme)]), scheme) {
			continue
		}
		if key := bytes.TrimSpace(value[len(scheme):]); len(key) > 0 {
			keys = append(keys, bytes.Clone(key))
		}
	}
	return keys
}

// containsKey reports whether text contains one of the keys.
func containsKey(text []byte, keys [][]byte) bool {
	for _, key := range keys {
		if bytes.Contains(text, key) {
			return true
		}
	}
	return false
}

// uriContainsKey reports whether a URI contains one of the keys,
// percent-encoded or not.
func uriContainsKey(uri []byte, keys [][]byte) bool {
	if len(keys) == 0 {
		return false
	}
	unescaped := fasthttp.AppendUnquotedArg(nil, uri)
	return containsKey(uri, keys) || containsKey(unescaped, keys)
}

// lowered returns the keys in lower case, to find them in header names.
func lowered(keys [][]byte) [][]byte {
	lower := make([][]byte, len(keys))
	for i, key := range keys {
		lower[i] = bytes.ToLower(key)
	}
	return lower
}

// copyRequestHeader copies the method and the headers that may be forwarded. It
// omits credentials, headers whose name or value contains one of the keys,
// hop-by-hop headers, and headers that toucancove defines.
func copyRequestHeader(dst, src *fasthttp.RequestHeader, keys [][]byte) {
	dst.SetMethodBytes(src.Method())
	lowerKeys := lowered(keys)
	connectionNamed := connectionNames(src.Peek(fasthttp.HeaderConnection))
	for name, value := range src.All() {
		folded := canonicalName(name)
		if keyHeaders[folded] || hopHeaders[folded] || connectionNamed[folded] || strings.HasPrefix(folded, ownHeaderPrefix) {
			continue
		}
		if containsKey(value, keys) || containsKey(bytes.ToLower(name), lowerKeys) {
			continue
		}
		dst.AddBytesKV(name, value)
	}
}

// connectionNames returns the names that a Connection header lists as
// hop-by-hop.
func connectionNames(value []byte) map[string]bool {
	if len(value) == 0 {
		return nil
	}
	names := make(map[string]bool)
	for _, name := range bytes.Split(value, []byte(",")) {
		names[canonicalName(bytes.TrimSpace(name))] = true
	}
	return names
}

// copyResponseHeader copies the status and the headers that may be returned to
// the caller: neither hop-by-hop headers nor those that toucancove defines.
func copyResponseHeader(dst, src *fasthttp.ResponseHeader) {
	dst.SetStatusCode(src.StatusCode())
	dst.SetNoDefaultContentType(true)
	for name, value := range src.All() {
		folded := canonicalName(name)
		if hopHeaders[folded] || strings.HasPrefix(folded, ownHeaderPrefix) {
			continue
		}
		dst.AddBytesKV(name, value)
	}
}
