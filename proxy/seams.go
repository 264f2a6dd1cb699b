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

// Quota decides whether a root request is within the grant of its workspace.
type Quota interface {
	// Take spends one token of the workspace. It may wait a few milliseconds
	// for one and returns a *Refusal when there is none.
	Take(ctx context.Context, workspace string) error
}

// AdmissionRequest is what admission control needs to know of a request.
type AdmissionRequest struct {
	Rank      target.Rank
	Workspace string
	Deadline  time.Time
	// Root is set if no service has worked on the call chain yet.
	Root bool
}

// Admitter decides when a request may run at the upstream.
type Admitter interface {
	// Admit waits until the request may run. It returns a *Refusal when it may
	// not. The caller must call Done on the admission once.
	Admit(ctx context.Context, r AdmissionRequest) (Admission, error)
	// Hint returns what entries should know about this guard now.
	Hint() admission.Hint
}

// Admission is the permission to run one request.
type Admission interface {
	// Done reports how the run ended and frees its place.
	Done(result RunResult)
}

// RunResult tells how a run at the upstream ended.
type RunResult struct {
	// Completed is true for a whole answer.
	Completed bool
	// Shed is true when the upstream refused for its own overload.
	Shed bool
	// Cancelled is true when the caller went away or its time was up.
	Cancelled bool
	// Failed is true when the upstream answered with a server error.
	Failed bool
	// Deeper tells about the calls that the upstream made to other services.
	Deeper DeeperCalls
}

// Router chooses an instance of a service and learns from what happens there.
type Router interface {
	// Pick returns an instance for one attempt, or a *Refusal.
	Pick(service string, request routing.Request) (Route, error)
	// Pin returns the named instance, whatever speaks against it, or a
	// *Refusal if it is not known.
	Pin(service string, id member.InstanceID) (Route, error)
	// Finished reports how the attempt ended. It must be called once for each
	// route.
	Finished(route Route, evidence Evidence)
	// Decide tells whether a failed attempt may be followed by another.
	Decide(service string, request retry.Request, failure retry.Failure, share *retry.AttemptBudget) retry.Decision
	// Hung reports whether a waiting attempt has little hope and an instance
	// that is not excluded more, and when to ask again.
	Hung(route Route, exclude []member.InstanceID) (hung bool, again time.Duration)
	// Boot returns the boot id of a chosen instance, or false if none was
	// heard lately.
	Boot(route Route) (member.BootID, bool)
	// SetBoot records a boot id that the instance told when asked.
	SetBoot(route Route, boot member.BootID)
}
