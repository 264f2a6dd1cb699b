package retry

// AttemptBudget is the number of attempts left to one call and to the calls that it
// causes. The zero value allows none.
type AttemptBudget struct {
	left    uint8
	started bool
}

// NewAttemptBudget returns a AttemptBudget of the given number of attempts.
func NewAttemptBudget(attempts uint8) AttemptBudget { return AttemptBudget{left: attempts} }

// Left returns the number of attempts left.
func (s *AttemptBudget) Left() uint8 { return s.left }

// Next takes one attempt. handDown is the number of attempts delegated with it
// in the pass: the attempt itself and half of the rest, rounded up. ok is false
// if no attempt is left.
func (s *AttemptBudget) Next() (handDown uint8, ok bool) {
	if s.left == 0 {
		return 0, false
	}
	retries := half(s.left - 1)
	s.left -= 1 + retries
	s.started = true
	return 1 + retries, true
}

// Return adds the retries that were delegated with an attempt and not used.
// handedDown is the value that Next returned; at most its retries are added.
func (s *AttemptBudget) Return(handedDown, unused uint8) {
	if handedDown == 0 {
		return
	}
	s.left += min(unused, handedDown-1)
}

// Unused returns the number of retries to return to the caller when the call has
// ended. The first attempt of the call is not included, even if it was not made.
func (s *AttemptBudget) Unused() uint8 {
	if s.started || s.left == 0 {
		return s.left
	}
	return s.left - 1
}

// half returns n/2, rounded up.
func half(n uint8) uint8 { return n - n/2 }
