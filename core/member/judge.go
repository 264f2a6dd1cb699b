package member

import (
	"cmp"
	"slices"
	"time"
)

const (
	// goneAfter is the time from the first failure without a success after which
	// an instance is gone.
	goneAfter = 10 * time.Second
	// resetsToSuspect is the number of consecutive resets of established
	// connections after which an instance is suspect.
	resetsToSuspect = 2
	// reportLife is the time after which a peer's report expires, and for which
	// reports make an instance suspect.
	reportLife = 10 * time.Second
	// reportersNeeded is the number of peers whose reports make an instance
	// suspect.
	reportersNeeded = 2
	// directOutranks is the time after a success in which reports of peers are
	// ignored.
	directOutranks = 2 * time.Second
	// reportedShare bounds the instances of a service that are suspect by
	// reports: at most one in reportedShare.
	reportedShare = 4
	// The interval between probes doubles from firstProbe to maxProbe.
	firstProbe = 500 * time.Millisecond
	maxProbe   = 5 * time.Second
)

// State is the availability of an instance as the detector determines it.
type State uint8

// States of instances. Only live instances receive new requests.
const (
	// Gone means that the instance isn't listed, or that it has been failing for
	// goneAfter (10 s) without a success.
	Gone State = iota
	// Live means that the instance can receive requests.
	Live
	// Suspect means that the instance failed or that peers reported it. Instances
	// that failed are probed.
	Suspect
	// Leaving means that the instance completes its requests in flight and
	// accepts no new ones.
	Leaving
)

// String returns the name of the state in lower case.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "gone"
	}
}

// Failure is the way in which an exchange with an instance failed.
type Failure uint8

// Failures of exchanges.
const (
	// ConnectFailed means that no connection could be established.
	ConnectFailed Failure = iota
	// ConnectionReset means that an established connection broke.
	ConnectionReset
)

// Listed is an instance on the platform's list.
type Listed struct {
	ID      InstanceID
	Zone    Zone
	Service string
	// Leaving is whether the list has the instance as leaving. The list lags.
	Leaving bool
}

// Status is the state of a listed instance.
type Status struct {
	Listed
	State State
	// ByReports means that the state is based on reports of peers alone.
	ByReports bool
}

type report struct {
	from InstanceID
	at   time.Time
}

type evidence struct {
	listed     Listed
	boot       BootID
	leaving    bool // reported by the instance in its current boot
	succeeded  time.Time
	failing    time.Time // first failure since the last success, or zero
	resets     int
	probes     int
	nextProbe  time.Time
	reports    []report
	reportedTo time.Time // end of the suspicion by reports of peers
}

// Detector determines the state of the listed instances from the evidence that the
// caller records. It isn't safe for concurrent use: the caller serializes its
// calls.
type Detector struct {
	instances map[InstanceID]*evidence
}

// NewDetector returns a Detector without instances.
func NewDetector() *Detector { return &Detector{instances: make(map[InstanceID]*evidence)} }

// SetList replaces the list. The evidence on instances that stay listed is kept.
func (j *Detector) SetList(list []Listed) {
	next := make(map[InstanceID]*evidence, len(list))
	for _, l := range list {
		e, ok := j.instances[l.ID]
		if !ok {
			e = &evidence{}
		}
		e.listed = l
		next[l.ID] = e
	}
	j.instances = next
}

// Success records an answer of the instance itself, with its boot id and whether
// it reported that it is leaving. A leaving instance remains leaving until its
// boot id changes.
func (j *Detector) Success(now time.Time, id InstanceID, boot BootID, leaving bool) {
	e, ok := j.instances[id]
	if !ok {
		return
	}
	if boot != e.boot {
		e.boot, e.leaving = boot, false
	}
	e.leaving = e.leaving || leaving
	e.succeeded = now
	e.failing = time.Time{}
	e.resets, e.probes = 0, 0
	e.reports, e.reportedTo = nil, time.Time{}
}

// Failed records a failed exchange with the instance. A failed connect makes it
// suspect at once, a connection reset only after the second in a row.
func (j *Detector) Failed(now time.Time, id InstanceID, failure Failure) {
	e, ok := j.instances[id]
	if !ok {
		return
	}
	if failure == ConnectionReset {
		e.resets++
		if e.resets < resetsToSuspect {
			return
		}
	}
	if e.failing.IsZero() {
		e.failing = now
		e.nextProbe = now.Add(firstProbe)
	}
}

// Report records that a peer reported the instance as failing or leaving.
// Reports of reportersNeeded peers make it suspect for reportLife but never
// gone. Only a bounded share of a service's instances is suspect by reports
// alone.
func (j *Detector) Report(now time.Time, from, about InstanceID) {
	e, ok := j.instances[about]
	if !ok || from == about {
		return
	}
	e.reports = slices.DeleteFunc(e.reports, func(r report) bool {
		return r.from == from || now.Sub(r.at) >= reportLife
	})
	e.reports = append(e.reports, report{from: from, at: now})
	if len(e.reports) >= reportersNeeded && j.mayReport(now, e) {
		e.reportedTo = now.Add(reportLife)
	}
}

// mayReport reports whether another instance of the service may become suspect
// by reports, given the limit reportedShare.
func (j *Detector) mayReport(now time.Time, about *evidence) bool {
	if now.Before(about.reportedTo) {
		return true
	}
	total, reported := 0, 0
	for _, e := range j.instances {
		if e.listed.Service != about.listed.Service {
			continue
		}
		total++
		if now.Before(e.reportedTo) {
			reported++
		}
	}
	return (reported+1)*reportedShare <= total
}

// State returns the state of an instance.
func (j *Detector) State(now time.Time, id InstanceID) State {
	e, ok := j.instances[id]
	if !ok {
		return Gone
	}
	state, _ := e.judge(now)
	return state
}

func (e *evidence) judge(now time.Time) (state State, byReports bool) {
	switch {
	case !e.failing.IsZero() && now.Sub(e.failing) >= goneAfter:
		return Gone, false
	case e.leaving || e.listed.Leaving:
		return Leaving, false
	case !e.failing.IsZero():
		return Suspect, false
	case now.Before(e.reportedTo) && now.Sub(e.succeeded) > directOutranks:
		return Suspect, true
	default:
		return Live, false
	}
}

// All returns the status of all listed instances, ordered by id.
func (j *Detector) All(now time.Time) []Status {
	list := make([]Status, 0, len(j.instances))
	for _, e := range j.instances {
		state, byReports := e.judge(now)
		list = append(list, Status{Listed: e.listed, State: state, ByReports: byReports})
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Probes returns the failing instances that are due to be probed and schedules
// their next probe with exponential backoff. The caller records the results with
// Success and Failed.
func (j *Detector) Probes(now time.Time) []InstanceID {
	var due []InstanceID
	for id, e := range j.instances {
		if e.failing.IsZero() || now.Before(e.nextProbe) {
			continue
		}
		e.probes++
		e.nextProbe = now.Add(min(firstProbe<<min(e.probes, 8), maxProbe))
		due = append(due, id)
	}
	slices.Sort(due)
	return due
}
