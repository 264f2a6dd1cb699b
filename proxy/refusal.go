package proxy

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Run states whether an upstream ran a request. It is the value of HeaderRun.
type Run string

const (
	// RunNo means that the request was certainly not run.
	RunNo Run = "not-run"
	// RunUnknown means that the request may have been run.
	RunUnknown Run = "unknown"
	// RunYes means that the upstream ran the request and responded.
	RunYes Run = "ran"
)

// Reason is the machine-readable reason of a refusal.
type Reason string

// Reasons of refusals.
const (
	ReasonMalformed      Reason = "malformed-request"
	ReasonUnknownService Reason = "unknown-service"
	ReasonKeyMissing     Reason = "key-missing"
	ReasonKeyInvalid     Reason = "key-invalid"
	ReasonKeyWithdrawn   Reason = "key-withdrawn"
	ReasonKeyInURL       Reason = "key-in-url"
	ReasonPassInvalid    Reason = "pass-invalid"
	ReasonBodyTooLarge   Reason = "body-too-large"
	ReasonQuota          Reason = "quota-exceeded"
	ReasonOverload       Reason = "overload"
	ReasonDownstream     Reason = "downstream-overload"
	ReasonNoBudget       Reason = "too-little-time"
	ReasonDeadline       Reason = "deadline-exceeded"
	ReasonNoInstance     Reason = "no-instance"
	ReasonLeaving        Reason = "instance-leaving"
	ReasonAttempts       Reason = "attempts-used-up"
	ReasonUpstreamFailed Reason = "upstream-failed"
	ReasonInstanceFailed Reason = "instance-unreachable"
	ReasonCallerGone     Reason = "caller-gone"
	ReasonNotReady       Reason = "not-ready"
	ReasonInternal       Reason = "internal"
	ReasonTicketInvalid  Reason = "ticket-invalid"
	ReasonTicketMismatch Reason = "ticket-mismatch"
	ReasonTicketExpired  Reason = "ticket-expired"
	ReasonTicketRunning  Reason = "ticket-running"
	ReasonTicketRefused  Reason = "ticket-refused"
	ReasonOutcomeUnknown Reason = "outcome-unknown"
	ReasonResultGone     Reason = "result-gone"
)

// Refusal is the response of a node to a request that it refused or could not
// complete. It is also an error.
type Refusal struct {
	// Status is the HTTP status code.
	Status int
	// Reason is the machine-readable reason.
	Reason Reason
	// Run states whether the request was run.
	Run Run
	// RetryAfter is the time after which the caller may retry, zero to set no
	// Retry-After header.
	RetryAfter time.Duration
	// Detail is a human-readable explanation, sent in the problem body.
	Detail string

	// fromTicketNode is set for a refusal by the node that the ticket names.
	// Only this node knows whether the request has run before.
	fromTicketNode bool
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused with status %d: %s (%s): %s", r.Status, r.Reason, r.Run, r.Detail)
}

func notRun(status int, reason Reason, detail string) *Refusal {
	return &Refusal{Status: status, Reason: reason, Run: RunNo, Detail: detail}
}

func unknownRun(status int, reason Reason, detail string) *Refusal {
	return &Refusal{Status: status, Reason: reason, Run: RunUnknown, Detail: detail}
}

// problem is the body of a refusal, a problem document of RFC 9457.
type problem struct {
	Type       string  `json:"type"`
	Title      string  `json:"title"`
	Status     int     `json:"status"`
	Detail     string  `json:"detail,omitempty"`
	Reason     Reason  `json:"reason"`
	Run        Run     `json:"run"`
	RetryAfter float64 `json:"retryAfterSeconds,omitempty"`
	RequestID  string  `json:"requestId,omitempty"`
}

// write sets the refusal as the response.
func (r *Refusal) write(resp *fasthttp.Response, requestID string) {
	body, err := json.Marshal(problem{
		Type:       "urn:toucancove:refusal:" + string(r.Reason),
		Title:      fasthttp.StatusMessage(r.Status),
		Status:     r.Status,
		Detail:     r.Detail,
		Reason:     r.Reason,
		Run:        r.Run,
		RetryAfter: r.RetryAfter.Seconds(),
		RequestID:  requestID,
	})
	if err != nil {
		body = nil
	}
	resp.Reset()
	resp.SetStatusCode(r.Status)
	resp.Header.SetContentType("application/problem+json")
	resp.Header.Set(HeaderRun, string(r.Run))
	resp.Header.Set(HeaderReason, string(r.Reason))
	if requestID != "" {
		resp.Header.Set(HeaderRequestID, requestID)
	}
	if r.RetryAfter > 0 {
		seconds := math.Ceil(r.RetryAfter.Seconds())
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(seconds)))
		resp.Header.Set(HeaderRetryAfterMs, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	resp.SetBody(body)
}

// readRefusal returns the refusal in a guard's response, or nil if the upstream
// ran the request. A missing run header or reason counts as unknown or
// instance-unreachable.
func readRefusal(resp *fasthttp.Response) *Refusal {
	run := Run(resp.Header.Peek(HeaderRun))
	if run == RunYes {
		return nil
	}
	if run != RunNo {
		run = RunUnknown
	}
	reason := Reason(resp.Header.Peek(HeaderReason))
	if reason == "" {
		reason = ReasonInstanceFailed
	}
	retryAfterMs, _ := strconv.Atoi(string(resp.Header.Peek(HeaderRetryAfterMs)))
	return &Refusal{
		Status:         resp.StatusCode(),
		Reason:         reason,
		Run:            run,
		RetryAfter:     time.Duration(retryAfterMs) * time.Millisecond,
		fromTicketNode: true,
	}
}
