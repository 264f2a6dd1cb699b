package quota

import (
	"fmt"
	"time"
)

// Workspace is the name of a workspace, whose requests share one limit.
type Workspace string

// Amount is a number of tokens in picotokens. One request costs one Token.
type Amount int64

// Token is the amount that one request costs.
const Token Amount = 1e12

// Rate is a number of millitokens per second. The product of a Rate and a time in
// nanoseconds is an Amount, without rounding.
type Rate int64

// PerSecond is the Rate of one token per second.
const PerSecond Rate = 1000

// over returns the amount that is minted in the time.
func (r Rate) over(d time.Duration) Amount { return Amount(r) * Amount(d) }

// timeFor returns the time in which the amount is minted, rounded up to a
// nanosecond.
func (r Rate) timeFor(a Amount) time.Duration {
	return time.Duration((a + Amount(r) - 1) / Amount(r))
}

// Bounds of a Limit, within which an Amount can't overflow.
const (
	MaxRate     Rate  = 1_000_000 * PerSecond
	MaxBurst    int64 = 1_000_000
	maxLifetime       = time.Hour
)

// Limit is the rate limit of a workspace across all instances.
type Limit struct {
	Rate Rate
	// Burst is the depth of the token bucket in requests.
	Burst int64
}

// InvalidLimitError reports a limit outside the bounds.
type InvalidLimitError struct{ Limit Limit }

func (e *InvalidLimitError) Error() string {
	return fmt.Sprintf("quota: limit of %d millitokens per second with a burst of %d is out of bounds: rate 1 to MaxRate, burst 1 to MaxBurst, burst/rate at most maxLifetime", e.Limit.Rate, e.Limit.Burst)
}

// Validate returns an *InvalidLimitError if the limit is out of bounds.
func (l Limit) Validate() error {
	if l.Rate < 1 || l.Rate > MaxRate || l.Burst < 1 || l.Burst > MaxBurst || l.lifetime() > maxLifetime {
		return &InvalidLimitError{Limit: l}
	}
	return nil
}

// lifetime returns how long a token can be spent after it is minted:
// burst/rate. The quotient and the remainder are multiplied separately, since
// Burst × Token may overflow an Amount.
func (l Limit) lifetime() time.Duration {
	perToken, rest := Token/Amount(l.Rate), Token%Amount(l.Rate)
	return time.Duration(perToken*Amount(l.Burst) + rest*Amount(l.Burst)/Amount(l.Rate))
}
