package mesh

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Headers are the names of the headers exchanged with clients and instances.
type Headers struct {
	// RequestID identifies one attempt of a client. An instance echoes it.
	RequestID string
	// Budget is the time in whole milliseconds for which the sender waits.
	Budget string
	// Key holds the API key of a workspace. It is not forwarded to instances.
	Key string
	// Workspace tells an instance the name of the workspace of a request.
	Workspace string
	// Caller tells an instance the service that a request comes from.
	Caller string
	// Instance is the id of the only instance that may run a request.
	Instance string
	// NotRun marks a response of an instance that did not run the request.
	NotRun string
	// RequestLimit is the number of requests a second, a decimal number, that an
	// instance accepts of all nodes together for as long as its responses advertise it.
	RequestLimit string
	// InstanceLeaving marks the responses of an instance that is about to stop.
	InstanceLeaving string
}

// Headers between nodes.
const (
	// headerCall carries the rank of a request and the versions of the entry's
	// published state, like "2 12.530"; a "c" after the rank marks a call.
	headerCall = "Tc-Call"
	// headerHint carries the hint of a guard.
	headerHint = "Tc-Hint"
	// headerEra carries the era of the sender's list, in requests and responses.
	headerEra = "Tc-Era"
	// headerLimit carries the request limit that the entry knows of the instance, for
	// a guard that has no response of it yet.
	headerLimit = "Tc-Limit"
	// headerMarks carries the marks of the request, see package quarantine, in requests
	// and in responses without one of an instance.
	headerMarks = "Tc-Marks"
	// headerCallNotRun is set on the failure of an instance to which a call of its own
	// that could not run has led.
	headerCallNotRun = "Tc-Call-Not-Run"
	// headerRefused carries the reason why a guard did not run a request.
	headerRefused = "Tc-Refused"
	// headerFailed carries the reason why a guard has no response of its
	// instance for a request that may have run.
	headerFailed = "Tc-Failed"
)

// hopByHopHeaders apply to one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHopHeaders removes the hop-by-hop headers, including those that the
// Connection header names.
func removeHopByHopHeaders(header *fasthttp.RequestHeader) {
	if named := header.Peek(fasthttp.HeaderConnection); len(named) > 0 {
		for _, name := range bytes.Split(bytes.Clone(named), []byte(",")) {
			name = bytes.TrimSpace(name)
			if len(name) > 0 && !bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)) {
				header.DelBytes(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	header.SetNoDefaultContentType(true)
}

// copyResponseHeader copies the response header without hop-by-hop headers and
// headers between nodes.
func copyResponseHeader(dst, src *fasthttp.ResponseHeader) {
	src.CopyTo(dst)
	for _, name := range hopByHopHeaders {
		dst.Del(name)
	}
	dst.Del(headerHint)
	dst.Del(headerEra)
	dst.Del(headerMarks)
	dst.Del(headerCallNotRun)
	dst.Del(headerRefused)
	dst.Del(headerFailed)
	dst.SetNoDefaultContentType(true)
}

// parseBudget parses a time budget in milliseconds.
func parseBudget(value []byte) (time.Duration, bool) {
	millis, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || millis < 0 {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

// setBudget sets the time budget in milliseconds, rounded down.
func setBudget(header *fasthttp.RequestHeader, name string, left time.Duration) {
	header.Set(name, strconv.FormatInt(max(left.Milliseconds(), 0), 10))
}
