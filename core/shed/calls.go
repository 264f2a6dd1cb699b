package shed

import "time"

// failedCallLifetime is the time for which a call that could not run explains a failure
// of the instance that made it. Instances respond soon after such a call.
const failedCallLifetime = time.Second

// FailedCalls tells which failures of an instance follow from its calls that could not
// run. Calls do not name the request that they are made for, so that each is taken for the
// cause of one failure soon after it. Its zero value is empty. It is not safe for
// concurrent use.
type FailedCalls struct {
	failed int
	last   time.Time
}

// CallFailed records that a call could not run.
func (f *FailedCalls) CallFailed(now time.Time) {
	f.expire(now)
	f.failed++
	f.last = now
}

// RunFailed reports whether the failure of a run follows from a call.
func (f *FailedCalls) RunFailed(now time.Time) bool {
	f.expire(now)
	if f.failed == 0 {
		return false
	}
	f.failed--
	return true
}

func (f *FailedCalls) expire(now time.Time) {
	if now.Sub(f.last) > failedCallLifetime {
		f.failed = 0
	}
}
