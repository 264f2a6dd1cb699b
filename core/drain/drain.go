// Package drain decides the steps of a planned stop.
//
// A process may exit once no caller waits for it. A request counts from its first byte
// until its response has been written, and the process accepts nothing more before it
// waits for the last of them: otherwise a request that arrives between the last look and
// the exit is passed on to an instance and then cut.
//
// The process exits at the end of the grace period whatever runs. So once callers have had
// time to turn away, it accepts only what ends before: known from the deadline of each
// request, since nothing else bounds how long an instance works on it.
package drain

import "time"

const (
	// UnreadyNotice is the time for which a node still accepts requests after it
	// reports that it is not ready. Clients check once a second and need two failed
	// checks to stop sending.
	UnreadyNotice = 2500 * time.Millisecond
	// announceLead is how long before the end of UnreadyNotice the guard reports the
	// stop to the entries of other nodes. They receive it with the next response, and
	// the instance remains useful until then.
	announceLead = 400 * time.Millisecond
	// acceptShare is the share of the grace period for which a stopping node accepts
	// requests of clients. Those must have time to complete.
	acceptShare = 0.5
	// stopShare is the share of the grace period after which the node exits even if
	// requests are still running.
	stopShare = 0.93
	// callNotice is the time for which calls of the own instance are accepted whatever
	// their deadline. Refusing one fails the request that makes it, and that was accepted
	// within UnreadyNotice. Operators excuse what was sent within 3 s of the signal.
	callNotice = 2900 * time.Millisecond
	// responseTime is the time for which a response is delivered after the deadline of
	// its request.
	responseTime = 100 * time.Millisecond
)

// Step is how far a planned stop has come. Each field stays set once it is.
type Step struct {
	// Announced: other nodes are told of the stop.
	Announced bool
	// RefusesPeers: the own instance gets no new request, of other nodes above all, and
	// requests of clients are refused if they may end too late.
	RefusesPeers bool
	// RefusesLateCalls: calls of the own instance are refused if they may end too late.
	RefusesLateCalls bool
	// RefusesClients: requests of clients are refused. Calls of the own instance are
	// accepted while it runs a request.
	RefusesClients bool
	// RefusesAll: nothing more is accepted, and connections without a request are closed.
	RefusesAll bool
	// Exit: the process may exit.
	Exit bool
}

// Drain is a planned stop. The zero value is one that has just begun without a grace
// period.
type Drain struct {
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// refusesAll is Step.RefusesAll of the last call of Next.
	refusesAll bool
}

// Next returns the step of the time elapsed since the stop began, with the number of
// requests in flight and that of open connections.
func (d *Drain) Next(elapsed time.Duration, inFlight, open int) Step {
	limit := d.exitAfter()
	// Open connections count only once the node has refused everything for a whole
	// step: until then they are closed as soon as they have no request.
	closed := d.refusesAll && open == 0
	d.refusesAll = d.refusesAll || elapsed >= limit || (elapsed >= UnreadyNotice && inFlight == 0)
	return Step{
		Announced:        elapsed >= UnreadyNotice-announceLead,
		RefusesPeers:     elapsed >= UnreadyNotice || d.refusesAll,
		RefusesLateCalls: elapsed >= callNotice || d.refusesAll,
		RefusesClients:   elapsed >= time.Duration(acceptShare*float64(d.Grace)) || d.refusesAll,
		RefusesAll:       d.refusesAll,
		Exit:             closed || elapsed >= limit,
	}
}

// exitAfter returns the time after the start of the stop at which the process exits.
func (d *Drain) exitAfter() time.Duration { return time.Duration(stopShare * float64(d.Grace)) }

// LastDeadline returns the latest deadline, after the start of the stop, of a request whose
// response is delivered before the process exits.
func (d *Drain) LastDeadline() time.Duration { return d.exitAfter() - responseTime }

// Accepts reports whether a request of a client, or a call that the own instance makes for
// a request, is accepted. inTime is set if its deadline is not after LastDeadline.
func (s Step) Accepts(call, inTime bool) bool {
	switch {
	case s.RefusesAll:
		return false
	case call:
		return inTime || !s.RefusesLateCalls
	}
	return !s.RefusesClients && (inTime || !s.RefusesPeers)
}
