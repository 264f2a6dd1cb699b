package quota

import (
	"errors"
	"time"
)

// Timing holds the parameters of the protocol. ListLag, IsolateAfter, Horizon,
// HoldOff and MaxMinters must be the same on all nodes.
type Timing struct {
	// ListLag bounds how far a node's list of instances lags behind the
	// platform's.
	ListLag time.Duration
	// IsolateAfter is how long a node continues to mint without contact with
	// the platform or a majority of its peers, also if it was suspended.
	IsolateAfter time.Duration
	// Horizon is how far into the future a minter hands out its tokens. It bounds
	// the future tokens that are lost if a pooler fails.
	Horizon time.Duration
	// HoldOff is the delay after which an increase of a minter's share applies.
	HoldOff time.Duration
	// MaxWait bounds how far into the future a pooler grants tokens that are not
	// minted yet.
	MaxWait time.Duration
	// AnswerWait bounds how long a request waits for the answer of a pooler
	// that is slow or unresponsive.
	AnswerWait time.Duration
	// AskTimeout is the time without an answer after which an entry asks again.
	AskTimeout time.Duration
	// UnresponsiveAfter is the time without an answer after which an entry
	// fails over to the next pooler. It also bounds how long a new pooler waits
	// for the tokens of the previous one.
	UnresponsiveAfter time.Duration
	// PullTimeout is the time after which a pooler no longer waits for a minter.
	PullTimeout time.Duration
	// SuspectFor is how long an unresponsive or unreachable node is not used as
	// pooler.
	SuspectFor time.Duration
	// MaxMinters bounds the number of minters of a workspace.
	MaxMinters int
}

// DefaultTiming returns parameters for availability zones with a network delay
// of a few milliseconds between them.
func DefaultTiming() Timing {
	return Timing{
		ListLag:           3 * time.Second,
		IsolateAfter:      2 * time.Second,
		Horizon:           750 * time.Millisecond,
		HoldOff:           6 * time.Second,
		MaxWait:           50 * time.Millisecond,
		AnswerWait:        400 * time.Millisecond,
		AskTimeout:        50 * time.Millisecond,
		UnresponsiveAfter: 150 * time.Millisecond,
		PullTimeout:       50 * time.Millisecond,
		SuspectFor:        3 * time.Second,
		MaxMinters:        16,
	}
}

const (
	// renewBefore is how long before the end of a minter's tokens in the pool
	// the pooler pulls from it again. It exceeds MaxWait, so that the pool
	// always covers the tokens that can be granted before they are minted.
	renewBefore = 100 * time.Millisecond
	// batchInterval is the minimum time between two asks of an entry for a
	// workspace.
	batchInterval = 250 * time.Microsecond
	// idleAfter is the minimum time after the last ask at which a pooler stops
	// pulling.
	idleAfter = time.Second
	// backupAhead is how far into the future a backup pooler pulls initially, and
	// the time after the last ask at which it stops pulling.
	backupAhead = 2 * renewBefore
	// maxRefusedFor bounds how long an entry refuses requests without an ask
	// after the pooler refused tokens.
	maxRefusedFor = 25 * time.Millisecond
	// minterRetry is the delay before the next pull to a minter that did not
	// reply.
	minterRetry = 250 * time.Millisecond
	// maxAhead is the upper bound of Horizon. Received lots that reach further
	// into the future are dropped.
	maxAhead = 10 * time.Second
	// viewRetention is how long replaced lists are kept beyond HoldOff.
	viewRetention = time.Minute
)

// Errors of NewNode.
var (
	ErrHoldOffTooShort = errors.New("quota: HoldOff must cover Horizon, ListLag and IsolateAfter together")
	ErrHorizonBounds   = errors.New("quota: Horizon must be 2*renewBefore to maxAhead, and MaxWait less than renewBefore")
	ErrNoMinters       = errors.New("quota: MaxMinters must be positive")
)

// Validate checks the relations between the parameters on which the bound on
// admitted requests depends.
func (t Timing) Validate() error {
	if t.HoldOff < t.Horizon+t.ListLag+t.IsolateAfter {
		return ErrHoldOffTooShort
	}
	if t.Horizon < 2*renewBefore || t.Horizon > maxAhead || t.MaxWait >= renewBefore {
		return ErrHorizonBounds
	}
	if t.MaxMinters < 1 {
		return ErrNoMinters
	}
	return nil
}
