package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucancove/toucancove/core/member"
)

const (
	// lossWindow is how long a lost response can still turn out to be due to a crash.
	// An instance that was not seen to refuse connections is listed again under
	// another start a few seconds later.
	lossWindow = 10 * time.Second
	// leftWindow is how long a run that was given up may go on: some instances do not
	// notice that its connection is closed. maxLeft bounds the number of such runs.
	leftWindow = 5 * time.Second
	maxLeft    = 256
	// firstTrialDelay is the time from the second crash to the trial of a request in
	// quarantine, trialBackoff the factor for each further crash.
	firstTrialDelay = 10 * time.Minute
	trialBackoff    = 6
	// maxTrialCrashes is the number of crashes after which there is no further trial.
	maxTrialCrashes = 4
)

// Verdict is the decision about a request at the gate of an instance.
type Verdict uint8

// Verdicts.
const (
	// Pass lets the request run.
	Pass Verdict = iota
	// Busy refuses a suspect: another one is running.
	Busy
	// Elsewhere refuses a suspect at the instance that it may have crashed. Another
	// instance may run it.
	Elsewhere
	// Refuse refuses a request in quarantine.
	Refuse
)

// Run is a request that runs at an instance.
type Run struct {
	request *Request
	began   time.Time
	// crashes is the number of crashes that counted against the request as it began.
	crashes int
}

// loss is a run that ended without a response. served is set if the instance had served
// the request before.
type loss struct {
	request *Request
	at      time.Time
	served  bool
}

// Gate decides which requests an instance runs, and finds out which of them were
// running when it crashed. It is not safe for concurrent use.
type Gate struct {
	table  *Table
	served *servedRequests
	// instance is the current start of the instance, peers the instances of its
	// service that take requests.
	instance Crash
	peers    []member.InstanceID
	running  map[*Run]struct{}
	// lost are the responses that were lost since the start of the last run to which
	// the instance has responded.
	lost []loss
	// left are the runs that were given up and may go on.
	left []loss
	// ended is set once this start of the instance has crashed.
	ended bool
}

// NewGate returns a gate that marks and looks up requests in a table.
func NewGate(table *Table) *Gate {
	return &Gate{table: table, served: newServedRequests(), running: make(map[*Run]struct{})}
}

// SetPeers sets the instances of the service that take requests.
func (g *Gate) SetPeers(ids []member.InstanceID) { g.peers = ids }

// Started sets the current start of the instance. If the former one lost responses, it
// has crashed.
func (g *Gate) Started(now time.Time, instance Crash) (crash Crash, marked []Change) {
	if instance == g.instance {
		return Crash{}, nil
	}
	if !g.ended && g.hasLosses(now) {
		crash, marked = g.Ended(now)
	}
	g.instance, g.lost, g.left, g.ended = instance, nil, nil, false
	g.served.reset()
	return crash, marked
}

// hasLosses reports whether responses were lost recently, or would have been if their
// runs had not been given up. Runs in flight alone say nothing.
func (g *Gate) hasLosses(now time.Time) bool {
	return slices.ContainsFunc(g.lost, within(now, lossWindow)) || slices.ContainsFunc(g.left, within(now, leftWindow))
}

// within returns a function that reports whether a run ended within a window.
func within(now time.Time, window time.Duration) func(loss) bool {
	return func(l loss) bool { return now.Sub(l.at) <= window }
}

// Check decides about a request that has arrived.
func (g *Gate) Check(now time.Time, r *Request) (Verdict, Change) {
	if g.table.Len() == 0 {
		return Pass, Change{}
	}
	d := r.Digest()
	st := g.table.standing(now, d)
	switch {
	case st.crashes == 0:
		return Pass, Change{}
	case g.served.recently(now, r):
		return Pass, g.table.Clear(d, SourceServed)
	case st.quarantined && !g.trialDue(now, d, st):
		return Refuse, Change{}
	case !st.quarantined && st.own && g.hasPeers():
		return Elsewhere, Change{}
	case g.suspectRuns(now):
		return Busy, Change{}
	}
	return Pass, Change{}
}

// Begin decides like Check, and starts the run of a request that passes.
func (g *Gate) Begin(now time.Time, r *Request) (*Run, Verdict, Change) {
	verdict, change := g.Check(now, r)
	if verdict != Pass {
		return nil, verdict, change
	}
	run := &Run{request: r, began: now, crashes: g.crashes(now, r)}
	g.running[run] = struct{}{}
	return run, Pass, change
}

// crashes returns the number of crashes that count against a request.
func (g *Gate) crashes(now time.Time, r *Request) int {
	if g.table.Len() == 0 {
		return 0
	}
	return g.table.standing(now, r.Digest()).crashes
}

// hasPeers reports whether another instance of the service takes requests.
func (g *Gate) hasPeers() bool {
	return slices.ContainsFunc(g.peers, func(id member.InstanceID) bool { return id != g.instance.Instance })
}

func (g *Gate) suspectRuns(now time.Time) bool {
	for run := range g.running {
		if g.crashes(now, run.request) > 0 {
			return true
		}
	}
	return false
}

// trialDue reports whether this instance runs a request in quarantine once more.
func (g *Gate) trialDue(now time.Time, d Digest, st standing) bool {
	if st.crashes > maxTrialCrashes {
		return false
	}
	delay := firstTrialDelay
	for n := quarantineCrashes; n < st.crashes; n++ {
		delay *= trialBackoff
	}
	return now.Sub(st.last) >= delay && g.isTester(d)
}

// isTester reports whether this instance is the one that tries the request. Nodes with
// the same list agree on it, and different requests have different ones.
func (g *Gate) isTester(d Digest) bool {
	weight := func(id member.InstanceID) uint64 { return xxhash.Sum64String(d.String() + string(id)) }
	own := weight(g.instance.Instance)
	return !slices.ContainsFunc(g.peers, func(id member.InstanceID) bool { return weight(id) < own })
}

// Served records that the instance has responded to a run.
func (g *Gate) Served(now time.Time, run *Run) Change {
	delete(g.running, run)
	g.ended = false
	g.lost = slices.DeleteFunc(g.lost, func(l loss) bool { return l.at.Before(run.began) })
	g.served.add(now, run.request)
	if g.table.Len() == 0 {
		return Change{}
	}
	return g.table.Clear(run.request.Digest(), SourceServed)
}

// Abandoned records that a run ended without evidence about the instance.
func (g *Gate) Abandoned(run *Run) { delete(g.running, run) }

// Left records that a run was given up, and that it may go on at the instance.
func (g *Gate) Left(now time.Time, run *Run) {
	delete(g.running, run)
	if len(g.left) == maxLeft || (len(g.left) > 0 && !within(now, leftWindow)(g.left[0])) {
		g.left = slices.Delete(g.left, 0, 1)
	}
	g.left = append(g.left, g.lossOf(now, run))
}

// lossOf returns a run that ended without a response.
func (g *Gate) lossOf(now time.Time, run *Run) loss {
	served := g.served.recently(now, run.request)
	run.request.release()
	return loss{request: run.request, at: now, served: served}
}

// Lost records that the response to a run was lost, although the instance did not leave
// as planned. It reports whether the crash of the instance is known already.
func (g *Gate) Lost(now time.Time, run *Run) (crashed bool) {
	delete(g.running, run)
	if g.ended {
		return true
	}
	g.lost = append(g.lost, g.lossOf(now, run))
	return false
}

// HasEnded reports whether the instance has crashed and has not responded since.
func (g *Gate) HasEnded() bool { return g.ended }

// Ended records that the instance refuses connections. If it has lost responses as well,
// it has crashed, and the suspects are marked.
func (g *Gate) Ended(now time.Time) (Crash, []Change) {
	if g.ended || g.instance.Instance == "" || !g.hasLosses(now) {
		return Crash{}, nil
	}
	g.ended = true
	var marked []Change
	for _, r := range g.suspects(now) {
		marked = append(marked, g.table.Add(now, Mark{Digest: r.Digest(), Crash: g.instance, Source: SourceOwn}))
	}
	g.lost, g.left = nil, nil
	return g.instance, marked
}

// suspects returns the requests that may have crashed the instance: those that were
// suspects before, or else all that ran and that it had not served before.
func (g *Gate) suspects(now time.Time) []*Request {
	var all, known []*Request
	add := func(r *Request, served bool) {
		switch {
		case served:
		case g.crashes(now, r) > 0:
			known = append(known, r)
		default:
			all = append(all, r)
		}
	}
	for _, l := range g.lost {
		if within(now, lossWindow)(l) {
			add(l.request, l.served)
		}
	}
	for _, l := range g.left {
		if within(now, leftWindow)(l) {
			add(l.request, l.served)
		}
	}
	for run := range g.running {
		add(run.request, g.served.recently(now, run.request))
	}
	if len(known) > 0 {
		return known
	}
	return all
}

// Stop returns the runs of requests that have been put in quarantine meanwhile. Their
// connections should be closed, which ends them at most instances before they crash.
func (g *Gate) Stop(now time.Time) []*Run {
	var stop []*Run
	for run := range g.running {
		r := run.request
		if st := g.table.standing(now, r.Digest()); !st.quarantined || st.crashes == run.crashes {
			continue
		}
		if g.served.recently(now, r) {
			g.table.Clear(r.Digest(), SourceServed)
			continue
		}
		stop = append(stop, run)
	}
	return stop
}
