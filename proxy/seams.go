package proxy

import (
	"context"
	"time"

	"github.com/toucancove/toucancove/core/admission"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/retry"
	"github.com/toucancove/toucancove/core/routing"
	"github.com/toucancove/toucancove/core/target"
)

// Quota decides whether a root request is within the quota of its workspace.
type Quota interface {
	// Take takes one token of the workspace. It may wait a few milliseconds for
	// one and returns a *Refusal if there is none.
	Take(ctx context.Context, workspace string) error
}

// AdmissionRequest describes a request to admission control.
type AdmissionRequest struct {
	Rank      target.Rank
	Workspace string
	Deadline  time.Time
	// Root is set if no service has worked on the call chain yet.
	Root bool
}

// Admitter decides when a request may run at the upstream.
type Admitter interface {
	// Admit waits until the request may run, or returns a *Refusal. The caller
	// must call Done on the admission once.
	Admit(ctx context.Context, r AdmissionRequest) (Admission, error)
	// Hint returns the current load hint for entries.
	Hint() admission.Hint
}

// Admission is the permission to run one request.
type Admission interface {
	// Done reports how the run ended and ends the admission.
	Done(result RunResult)
}

// RunResult describes how a run at the upstream ended.
type RunResult struct {
	// Completed is true for a whole response.
	Completed bool
	// Shed is true if the upstream refused the request because of its own
	// overload (status 429 or 503).
	Shed bool
	// Cancelled is true if the caller disconnected, the key was withdrawn, the
	// deadline passed, or the request could not be sent.
	Cancelled bool
	// Failed is true if the upstream responded with a server error.
	Failed bool
	// Deeper summarizes the calls that the upstream made to other services.
	Deeper DeeperCalls
}

// Router chooses the instance of a service for each attempt, and decides on
// retries, based on the outcomes of earlier attempts.
type Router interface {
	// Pick returns an instance for one attempt, or a *Refusal.
	Pick(service string, request routing.Request) (Route, error)
	// Pin returns the named instance regardless of its state, or a *Refusal if
	// it is not known.
	Pin(service string, id member.InstanceID) (Route, error)
	// Finished reports how the attempt ended. It must be called once for each
	// route.
	Finished(route Route, evidence Evidence)
	// Decide decides whether a failed attempt may be followed by another one.
	// If so, the retry is charged to the retry budget of the service.
	Decide(service string, request retry.Request, failure retry.Failure, attempts *retry.AttemptBudget) retry.Decision
	// Hung reports whether a waiting attempt is unlikely to get a response and an
	// instance that is not excluded is available, and after which time to check
	// again.
	Hung(route Route, exclude []member.InstanceID) (hung bool, recheckAfter time.Duration)
	// Boot returns the boot id of a chosen instance, or false if none was
	// reported recently.
	Boot(route Route) (member.BootID, bool)
	// SetBoot records the boot id that a chosen instance returned to a direct
	// query.
	SetBoot(route Route, boot member.BootID)
}
