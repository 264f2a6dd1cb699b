package mesh

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Headers are the names of headers towards clients and instances.
type Headers struct {
	// RequestID identifies one attempt of a client.
	RequestID string
	// Budget is the time in whole milliseconds that the sender waits.
	Budget string
	// Key holds the key of a workspace.
	Key string
	// Workspace tells an instance for whom a request runs.
	Workspace string
	// Caller tells an instance which service the request comes from.
	Caller string
	// Instance names the only instance that may run a request.
	Instance string
	// NotRun marks an answer of an instance that did not run the request.
	NotRun string
}

// Headers between nodes.
const (
	// headerCall tells a guard the rank of a request and whether it is a call
	// for a running request, like "2" or "0c", after what the entry knows.
	headerCall = "Tc-Call"
	// headerHint carries a guard's hints.
	headerHint = "Tc-Hint"
	// headerRefused carries the reason why a guard did not run a request.
	headerRefused = "Tc-Refused"
	// headerFailed carries the reason why a guard has no answer of its
	// instance for a request that may have run.
	headerFailed = "Tc-Failed"
)

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// dropConnectionHeaders removes what concerns one connection, with the headers
// that Connection names.
func dropConnectionHeaders(header *fasthttp.RequestHeader) {
	if named := header.Peek(fasthttp.HeaderConnection); len(named) > 0 {
		for _, name := range bytes.Split(bytes.Clone(named), []byte(",")) {
			name = bytes.TrimSpace(name)
			if len(name) > 0 && !bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)) {
				header.DelBytes(name)
			}
		}
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
	header.SetNoDefaultContentType(true)
}

// copyAnswerHeader copies what travels back to the caller.
func copyAnswerHeader(dst, src *fasthttp.ResponseHeader) {
	src.CopyTo(dst)
	for _, name := range connectionHeaders {
		dst.Del(name)
	}
	dst.Del(headerHint)
	dst.Del(headerRefused)
	dst.Del(headerFailed)
	dst.SetNoDefaultContentType(true)
}

// parseBudget reads a number of milliseconds.
func parseBudget(value []byte) (time.Duration, bool) {
	millis, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || millis < 0 {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

// setBudget writes the time left, rounded down.
func setBudget(header *fasthttp.RequestHeader, name string, left time.Duration) {
	header.Set(name, strconv.FormatInt(max(left.Milliseconds(), 0), 10))
}
