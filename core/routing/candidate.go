package routing

import (
	"errors"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// ErrNoInstance is returned when no instance is available for the attempt: none
// is known, all are leaving or draining, or the request excludes the others.
// Nothing was sent.
var ErrNoInstance = errors.New("routing: no instance available")

// State is whether an instance accepts new requests.
type State uint8

// States of an instance.
const (
	// Serving instances accept new requests.
	Serving State = iota
	// Draining instances keep running, but their upstream accepts no new
	// requests for now.
	Draining
	// Leaving instances are about to shut down.
	Leaving
)

// String returns the name of the state in lower case.
func (s State) String() string {
	switch s {
	case Draining:
		return "draining"
	case Leaving:
		return "leaving"
	default:
		return "serving"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Candidate is one instance of the service as listed by membership.
type Candidate struct {
	ID   member.InstanceID
	Zone member.Zone
	// Boot is the node's boot id, zero if not yet known.
	Boot  member.BootID
	State State
}

// Report is the state that a guard reports about itself on a response to a
// request.
type Report struct {
	Boot  member.BootID
	State State
	// QueueDelay is the time that admitted requests spent in the guard's queue.
	QueueDelay time.Duration
	// GuardTime is the time from the arrival at the guard to the first byte of
	// its response, zero if not known. The rest of the latency is network time.
	GuardTime time.Duration
}

// Result is how an attempt ended, as evidence about the health of the instance.
type Result uint8

// Results of an attempt.
const (
	// Completed: a complete response was received. Any status counts, unless the
	// caller classifies it as Failed.
	Completed Result = iota
	// Refused: the guard refused the request because of load; it did not run.
	Refused
	// Failed: the upstream responded with an error.
	Failed
	// ConnectFailed: no connection to the instance could be established.
	ConnectFailed
	// Lost: the request was sent, but no complete response was received.
	Lost
	// TimedOut: the deadline passed while waiting for the response. It counts as
	// Lost if the wait reached Table.HangTimeout, otherwise as Abandoned.
	TimedOut
	// Abandoned: the caller gave up. It is no evidence about the instance.
	Abandoned
)

// Outcome is the evidence from one attempt.
type Outcome struct {
	Result Result
	// Latency is the time until the first byte of the response.
	Latency time.Duration
	// Report is nil if the attempt got no response.
	Report *Report
}

// Request holds the constraints on the choice of an instance.
type Request struct {
	// Exclude lists the instances on which earlier attempts failed.
	Exclude []member.InstanceID
	// Retryable requests may probe an ejected instance.
	Retryable bool
}

// Choice is the instance chosen for one attempt. Each Choice must be passed to
// Finish exactly once.
type Choice struct {
	ID   member.InstanceID
	Zone member.Zone
	Boot member.BootID
	// Probe marks an attempt that tests whether an instance that is ejected,
	// draining or leaving has recovered.
	Probe bool

	sentAt   time.Time
	instance *instance
}

// Status describes one instance for operators.
type Status struct {
	ID       member.InstanceID `json:"id"`
	Zone     member.Zone       `json:"zone"`
	Boot     member.BootID     `json:"bootId"`
	State    State             `json:"state"`
	InFlight int               `json:"inFlight"`
	// Latency and QueueDelay are estimates in nanoseconds.
	Latency    time.Duration `json:"latencyNs"`
	QueueDelay time.Duration `json:"queueDelayNs"`
	// Ejected instances receive only occasional probes.
	Ejected bool `json:"ejected"`
	// Suspect instances rank below all others.
	Suspect bool `json:"suspect"`
}
