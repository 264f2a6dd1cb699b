package proxy

import (
	"sync"
	"time"

	"github.com/toucancove/toucancove/core/retry"
)

// DeeperCalls summarizes the calls to other services that an upstream made
// during one run.
type DeeperCalls struct {
	// Time is the total time during which at least one of them was in flight.
	Time time.Duration
	// Refused is set if one of them was refused for overload, after its
	// retries.
	Refused bool
	// Congested is set if the response to one of them was marked as congested.
	Congested bool
}

// DeeperLedger records the calls of a node's upstream by the run that makes
// them. The guard opens and closes runs, the loopback entry adds calls. It is
// safe for concurrent use.
type DeeperLedger struct {
	mu   sync.Mutex
	runs map[retry.Key]*deeperRun
}

type deeperRun struct {
	calls     DeeperCalls
	opened    int // number of open runs with the same key
	inFlight  int
	busySince time.Time // when inFlight last became positive
}

// NewDeeperLedger returns an empty ledger.
func NewDeeperLedger() *DeeperLedger {
	return &DeeperLedger{runs: make(map[retry.Key]*deeperRun)}
}

func (l *DeeperLedger) open(key retry.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := l.runs[key]
	if run == nil {
		run = &deeperRun{}
		l.runs[key] = run
	}
	run.opened++
}

// close ends a run and returns the calls made until now.
func (l *DeeperLedger) close(now time.Time, key retry.Key) DeeperCalls {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := l.runs[key]
	if run == nil {
		return DeeperCalls{}
	}
	calls := run.calls
	if run.inFlight > 0 {
		calls.Time += now.Sub(run.busySince)
	}
	if run.opened--; run.opened == 0 {
		delete(l.runs, key)
	}
	return calls
}

// begin records the start of a call.
func (l *DeeperLedger) begin(now time.Time, key retry.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := l.runs[key]
	if run == nil {
		return
	}
	if run.inFlight == 0 {
		run.busySince = now
	}
	run.inFlight++
}

// markCongested records that the response to a call was marked as congested. It
// is called before the upstream receives the response.
func (l *DeeperLedger) markCongested(key retry.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if run := l.runs[key]; run != nil {
		run.calls.Congested = true
	}
}

// end records the end of a call. It does nothing if the run has already ended.
func (l *DeeperLedger) end(now time.Time, key retry.Key, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := l.runs[key]
	if run == nil || run.inFlight == 0 {
		return
	}
	run.calls.Refused = run.calls.Refused || refused
	if run.inFlight--; run.inFlight == 0 {
		run.calls.Time += now.Sub(run.busySince)
	}
}

// trackDeeperCall records the start of a call of the node's own upstream. The
// returned function records its end.
func (e *Entry) trackDeeperCall(in *inbound) func(error) {
	if in.root {
		return func(error) {}
	}
	key := callerRunKey(in)
	e.cfg.Deeper.begin(in.arrived, key)
	return func(err error) {
		e.cfg.Deeper.end(time.Now(), key, err != nil && isOverload(asRefusal(err).Reason))
	}
}

// callerRunKey returns the key of the run of the node's own upstream that made
// the call.
func callerRunKey(in *inbound) retry.Key {
	upstream := in.claims
	upstream.Hop--
	return ledgerKey(&upstream)
}

// isOverload reports whether the reason of a refusal is overload.
func isOverload(reason Reason) bool {
	switch reason {
	case ReasonOverload, ReasonDownstream, ReasonNoBudget:
		return true
	default:
		return false
	}
}
