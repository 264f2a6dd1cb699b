package proxy

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/admission"
)

// UnlimitedQuota grants every request.
type UnlimitedQuota struct{}

// Take implements Quota.
func (UnlimitedQuota) Take(context.Context, string) error { return nil }

// FixedAdmitter admits a fixed number of concurrent requests and refuses the
// others without queueing.
type FixedAdmitter struct {
	slots chan struct{}
}

// NewFixedAdmitter returns an admitter with the given number of slots.
func NewFixedAdmitter(slots int) *FixedAdmitter {
	return &FixedAdmitter{slots: make(chan struct{}, slots)}
}

// Admit implements Admitter.
func (a *FixedAdmitter) Admit(context.Context, AdmissionRequest) (Admission, error) {
	select {
	case a.slots <- struct{}{}:
		return fixedAdmission{a}, nil
	default:
		return nil, notRun(fasthttp.StatusServiceUnavailable, ReasonOverload, "all slots are taken")
	}
}

// Hint implements Admitter.
func (a *FixedAdmitter) Hint() admission.Hint {
	hint := admission.Unlimited
	hint.Limit = cap(a.slots)
	return hint
}

type fixedAdmission struct{ admitter *FixedAdmitter }

// Done implements Admission.
func (f fixedAdmission) Done(RunResult) { <-f.admitter.slots }
