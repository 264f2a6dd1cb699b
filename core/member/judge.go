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
	// reportTTL is the time after which a peer's report expires, and for which
	// reports make an instance suspect.
	reportTTL = 10 * time.Second
	// minReporters is the number of peers whose reports make an instance
	// suspect.
	minReporters = 2
	// ignoreReportsAfterSuccess is the time after a success in which reports of
	// peers are ignored.
	ignoreReportsAfterSuccess = 2 * time.Second
	// instancesPerReported bounds the instances of a service that are suspect by
	// reports: at most one in every instancesPerReported.
	instancesPerReported = 4
	// The interval between probes doubles from minProbeInterval to
	// maxProbeInterval.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 5 * time.Second
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
	// Suspect means that the instance failed or that peers reported it.
	// Instances that failed are probed.
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
	// Leaving is set if the list shows the instance as leaving. The list lags.
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
	listed        Listed
	boot          BootID
	leaving       bool // reported by the instance in its current boot
	lastSuccess   time.Time
	failingSince  time.Time // first failure since the last success, or zero
	resets        int
	probes        int
	nextProbe     time.Time
	reports       []report
	reportedUntil time.Time // end of the suspicion by reports of peers
}

// Detector is a failure detector: it determines the state of the listed
// instances from the evidence that the caller records. It isn't safe for
// concurrent use: the caller serializes its calls.
type Detector struct {
	instances map[InstanceID]*evidence
}

// NewDetector returns a Detector without instances.
func NewDetector() *Detector { return &Detector{instances: make(map[InstanceID]*evidence)} }

// SetList replaces the list. The evidence on instances that stay listed is kept.
func (d *Detector) SetList(list []Listed) {
	next := make(map[InstanceID]*evidence, len(list))
	for _, l := range list {
		e, ok := d.instances[l.ID]
		if !ok {
			e = &evidence{}
		}
		e.listed = l
		next[l.ID] = e
	}
	d.instances = next
}

// Success records an answer of the instance itself, with its boot id and whether
// it reported that it is leaving. A leaving instance remains leaving until its
// boot id changes.
func (d *Detector) Success(now time.Time, id InstanceID, boot BootID, leaving bool) {
	e, ok := d.instances[id]
	if !ok {
		return
	}
	if boot != e.boot {
		e.boot, e.leaving = boot, false
	}
	e.leaving = e.leaving || leaving
	e.lastSuccess = now
	e.failingSince = time.Time{}
	e.resets, e.probes = 0, 0
	e.reports, e.reportedUntil = nil, time.Time{}
}

// Failed records a failed exchange with the instance. A failed connect makes it
// suspect at once, a connection reset only after the second in a row.
func (d *Detector) Failed(now time.Time, id InstanceID, failure Failure) {
	e, ok := d.instances[id]
	if !ok {
		return
	}
	if failure == ConnectionReset {
		e.resets++
		if e.resets < resetsToSuspect {
			return
		}
	}
	if e.failingSince.IsZero() {
		e.failingSince = now
		e.nextProbe = now.Add(minProbeInterval)
	}
}

// Report records that a peer reported the instance as failing or leaving.
// Reports of minReporters peers make it suspect for reportTTL but never gone.
// Only a bounded share of a service's instances is suspect by reports alone.
func (d *Detector) Report(now time.Time, from, about InstanceID) {
	e, ok := d.instances[about]
	if !ok || from == about {
		return
	}
	e.reports = slices.DeleteFunc(e.reports, func(r report) bool {
		return r.from == from || now.Sub(r.at) >= reportTTL
	})
	e.reports = append(e.reports, report{from: from, at: now})
	if len(e.reports) >= minReporters && d.mayBeSuspectByReports(now, e) {
		e.reportedUntil = now.Add(reportTTL)
	}
}

// mayBeSuspectByReports reports whether the instance may be suspect by reports,
// given the limit instancesPerReported for its service.
func (d *Detector) mayBeSuspectByReports(now time.Time, about *evidence) bool {
	if now.Before(about.reportedUntil) {
		return true
	}
	total, reported := 0, 0
	for _, e := range d.instances {
		if e.listed.Service != about.listed.Service {
			continue
		}
		total++
		if now.Before(e.reportedUntil) {
			reported++
		}
	}
	return (reported+1)*instancesPerReported <= total
}

// State returns the state of an instance.
func (d *Detector) State(now time.Time, id InstanceID) State {
	e, ok := d.instances[id]
	if !ok {
		return Gone
	}
	state, _ := e.assess(now)
	return state
}

func (e *evidence) assess(now time.Time) (state State, byReports bool) {
	switch {
	case !e.failingSince.IsZero() && now.Sub(e.failingSince) >= goneAfter:
		return Gone, false
	case e.leaving || e.listed.Leaving:
		return Leaving, false
	case !e.failingSince.IsZero():
		return Suspect, false
	case now.Before(e.reportedUntil) && now.Sub(e.lastSuccess) > ignoreReportsAfterSuccess:
		return Suspect, true
	default:
		return Live, false
	}
}

// All returns the status of all listed instances, ordered by id.
func (d *Detector) All(now time.Time) []Status {
	list := make([]Status, 0, len(d.instances))
	for _, e := range d.instances {
		state, byReports := e.assess(now)
		list = append(list, Status{Listed: e.listed, State: state, ByReports: byReports})
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Probes returns the failing instances that are due to be probed and schedules
// their next probe with exponential backoff. The caller records the results with
// Success and Failed.
func (d *Detector) Probes(now time.Time) []InstanceID {
	var due []InstanceID
	for id, e := range d.instances {
		if e.failingSince.IsZero() || now.Before(e.nextProbe) {
			continue
		}
		e.probes++
		e.nextProbe = now.Add(min(minProbeInterval<<min(e.probes, 8), maxProbeInterval))
		due = append(due, id)
	}
	slices.Sort(due)
	return due
}
