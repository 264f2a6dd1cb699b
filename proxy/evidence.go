package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/routing"
)

// Evidence is what an entry observed of an instance during one attempt.
type Evidence struct {
	// Latency is the time from sending the request to receiving the header of
	// the response.
	Latency time.Duration
	// Err is the exchange's error, or nil.
	Err error
	// Refusal is the guard's refusal, or nil.
	Refusal *Refusal
	// Status is the HTTP status of the response, zero if none was received.
	Status int
	// Hint is the value of HeaderHint.
	Hint string
	// Report is the guard's report on its instance, nil if none was received.
	Report *routing.Report
	// Unused is the number of delegated retries that the attempt returned.
	Unused uint8
}

// result classifies the attempt for the routing table.
func (e *Evidence) result() routing.Result {
	switch {
	case e.Err != nil:
		return errorResult(e.Err)
	case e.Refusal != nil:
		return refusalResult(e.Refusal)
	case e.Status == fasthttp.StatusServiceUnavailable || e.Status == fasthttp.StatusTooManyRequests:
		return routing.Refused
	case e.Status >= fasthttp.StatusInternalServerError:
		return routing.Failed
	}
	return routing.Completed
}

func errorResult(err error) routing.Result {
	if errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrClosedPipe) {
		return routing.Abandoned // closed on this side
	}
	if errors.Is(err, fasthttp.ErrNoFreeConns) {
		return routing.Refused
	}
	var exchange *ExchangeError
	if errors.As(err, &exchange) && exchange.Stage == StageConnect {
		return routing.ConnectFailed
	}
	if errors.Is(err, fasthttp.ErrTimeout) {
		return routing.TimedOut
	}
	return routing.Lost
}

func refusalResult(refusal *Refusal) routing.Result {
	switch refusal.Reason {
	case ReasonUpstreamFailed:
		if refusal.Run == RunNo {
			return routing.ConnectFailed
		}
		return routing.Lost
	case ReasonInstanceFailed, ReasonInternal:
		return routing.Failed
	case ReasonDeadline:
		return routing.TimedOut
	case ReasonCallerGone:
		return routing.Abandoned
	default:
		return routing.Refused
	}
}

// readEvidence returns what the headers of a guard's response report. A value
// that is malformed counts as not reported.
func readEvidence(response *fasthttp.Response) Evidence {
	unused, err := strconv.ParseUint(string(response.Header.Peek(HeaderUnused)), 10, 8)
	if err != nil {
		unused = 0
	}
	return Evidence{
		Status: response.StatusCode(),
		Hint:   string(response.Header.Peek(HeaderHint)),
		Report: parseReport(string(response.Header.Peek(HeaderNode))),
		Unused: uint8(unused),
	}
}

// formatReport returns the value of HeaderNode: the boot id in hexadecimal, the
// state, and the queue delay and guard time in microseconds, separated by
// semicolons.
func formatReport(r *routing.Report) string {
	return strings.Join([]string{
		strconv.FormatUint(uint64(r.Boot), 16), r.State.String(),
		strconv.FormatInt(r.QueueDelay.Microseconds(), 10),
		strconv.FormatInt(r.GuardTime.Microseconds(), 10),
	}, ";")
}

// parseReport parses a value of HeaderNode. It returns nil if the value is
// malformed. Any state other than serving counts as leaving.
func parseReport(value string) *routing.Report {
	fields := strings.Split(value, ";")
	if len(fields) != 4 {
		return nil
	}
	boot, bootErr := strconv.ParseUint(fields[0], 16, 64)
	queue, queueErr := strconv.ParseUint(fields[2], 10, 32)
	guard, guardErr := strconv.ParseUint(fields[3], 10, 32)
	if errors.Join(bootErr, queueErr, guardErr) != nil {
		return nil
	}
	state := routing.Serving
	if fields[1] != routing.Serving.String() {
		state = routing.Leaving
	}
	return &routing.Report{
		Boot: member.BootID(boot), State: state,
		QueueDelay: time.Duration(queue) * time.Microsecond,
		GuardTime:  time.Duration(guard) * time.Microsecond,
	}
}
