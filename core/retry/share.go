package retry

// AttemptBudget is the number of attempts left to one call and to the calls that
// it causes. The zero value allows none. It is distinct from Budget, which
// limits the retries to one destination.
type AttemptBudget struct {
	left    uint8
	started bool
}

// NewAttemptBudget returns an AttemptBudget of the given number of attempts.
func NewAttemptBudget(attempts uint8) AttemptBudget { return AttemptBudget{left: attempts} }

// Left returns the number of attempts left.
func (a *AttemptBudget) Left() uint8 { return a.left }

// Next takes one attempt. delegated is the number of attempts delegated with it
// in the pass: the attempt itself and half of the rest, rounded up. ok is false
// if no attempt is left.
func (a *AttemptBudget) Next() (delegated uint8, ok bool) {
	if a.left == 0 {
		return 0, false
	}
	retries := half(a.left - 1)
	a.left -= 1 + retries
	a.started = true
	return 1 + retries, true
}

// Return adds the retries that were delegated with an attempt and not used.
// delegated is the value that Next returned; at most its retries are added.
func (a *AttemptBudget) Return(delegated, unused uint8) {
	if delegated == 0 {
		return
	}
	a.left += min(unused, delegated-1)
}

// Unused returns the number of retries to return to the caller when the call has
// ended. The first attempt of the call is not included, even if it was not made.
func (a *AttemptBudget) Unused() uint8 {
	if a.started || a.left == 0 {
		return a.left
	}
	return a.left - 1
}

// half returns n/2, rounded up.
func half(n uint8) uint8 { return n - n/2 }
