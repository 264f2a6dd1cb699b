package admission

import (
	"time"

	"github.com/toucancove/toucancove/core/target"
)

// AllRanks is the value of Admitted.Lowest that admits every rank.
const AllRanks target.Rank = 255

// Hint tells entries what the guard admits at present.
type Hint struct {
	// Calls is the set of ranks admitted for calls that other services make.
	Calls Admitted
	// Roots is the set of ranks admitted for root requests. It is smaller than
	// Calls if deeper services refuse work.
	Roots Admitted
	// CongestedFrom is the first rank whose queue is long; AllRanks if none is.
	// See Controller.Congested.
	CongestedFrom target.Rank
	// QueueDelay is the time that a new request of the last admitted rank is
	// expected to wait.
	QueueDelay time.Duration
	// Limit is the number of requests allowed to run together.
	Limit int
	// InFlight is the number of running requests.
	InFlight int
	// RetryAfter is the time after which a request of a refused rank may be retried.
	RetryAfter time.Duration
}

// Admits reports whether the guard admits the rank. root tells whether the
// request is a root request.
func (h Hint) Admits(rank target.Rank, root bool) bool {
	if root {
		return h.Roots.has(rank)
	}
	return h.Calls.has(rank)
}

// Admitted is a set of ranks: all up to the lowest one, or none.
type Admitted struct {
	// Lowest is the last rank that is admitted.
	Lowest target.Rank
	// None is set if not even rank zero is admitted.
	None bool
}

func (a Admitted) has(rank target.Rank) bool { return !a.None && rank <= a.Lowest }

// without returns the set without the rank and the less urgent ones.
func (a Admitted) without(rank target.Rank) Admitted {
	if rank == 0 {
		return Admitted{None: true}
	}
	return Admitted{Lowest: min(a.Lowest, rank-1), None: a.None}
}

// Unlimited is the hint of a guard that admits everything.
var Unlimited = Hint{
	Calls: Admitted{Lowest: AllRanks}, Roots: Admitted{Lowest: AllRanks}, CongestedFrom: AllRanks,
}
