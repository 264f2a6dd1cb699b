package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
)

// Times of the simulated fleet.
const (
	hopTime      = 2 * time.Millisecond
	crashNotice  = 4 * time.Millisecond // until the node finds its instance ended
	downTime     = 3 * time.Second
	innocentTime = 100 * time.Millisecond
	drawInterval = 350 * time.Millisecond
	avoidTime    = time.Second // for which an entry avoids an instance that is down
	maxTries     = 4
	maxSends     = 2
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a step of the simulation.
type event struct {
	at   time.Time
	turn int // order among events of the same time
	do   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].turn < e[j].turn)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleet simulates nodes beside instances of one service in virtual time.
type fleet struct {
	now    time.Time
	queue  events
	turns  int
	random *rand.Rand
	nodes  []*fleetNode

	// lethalRuns and crashes are the times of the runs of lethal requests at instances
	// and of the crashes that they caused, by path.
	lethalRuns, crashes map[string][]time.Time
	// served, refused and lost count the innocent requests by their final response.
	served, refused, lost int
}

type fleetNode struct {
	fleet    *fleet
	index    int
	table    *Table
	gate     *Gate
	exchange *Exchange
	boot     member.BootID
	// up is set while the instance is up, nodeUp while the node is.
	up, nodeUp bool
	partition  int
	active     map[*Run]*attempt
	// avoidUntil is until when the entry sends nothing to each node's instance.
	avoidUntil map[int]time.Time
}

// job is a request of a client.
type job struct {
	path string
	// lethal is how long a run takes to crash the instance, 0 for an innocent request.
	lethal time.Duration
	entry  *fleetNode
	tried  []int
	sends  int
	lost   bool
}

// attempt is a run of a job at the instance of a node.
type attempt struct {
	job  *job
	node *fleetNode
	done bool
}

func newFleet(nodes int, seed uint64) *fleet {
	f := &fleet{
		now: start, random: rand.New(rand.NewPCG(seed, 28)),
		lethalRuns: make(map[string][]time.Time), crashes: make(map[string][]time.Time),
	}
	for i := range nodes {
		f.nodes = append(f.nodes, &fleetNode{fleet: f, index: i})
		f.nodes[i].startInstance()
	}
	for _, n := range f.nodes {
		n.startNode()
		f.after(time.Duration(f.random.Int64N(int64(drawInterval))), n.draw)
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.turns++
	heap.Push(&f.queue, event{f.now.Add(d), f.turns, do})
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); len(f.queue) > 0 && !f.queue[0].at.After(end); {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.do()
	}
}

func (f *fleet) ids() []member.InstanceID {
	ids := make([]member.InstanceID, len(f.nodes))
	for i, n := range f.nodes {
		ids[i] = n.id()
	}
	return ids
}

func (n *fleetNode) id() member.InstanceID {
	return member.InstanceID(fmt.Sprintf("i-%d-%d", n.index, n.boot))
}

// startInstance starts the instance under a new id.
func (n *fleetNode) startInstance() {
	n.up = true
	n.boot++
	for _, other := range n.fleet.nodes {
		if other.nodeUp {
			other.listChanged()
		}
	}
}

func (n *fleetNode) startNode() {
	n.nodeUp = true
	n.table = NewTable(n.fleet.random.Uint64() | 1)
	n.gate, n.exchange = NewGate(n.table), NewExchange(n.table)
	n.active, n.avoidUntil = make(map[*Run]*attempt), make(map[int]time.Time)
	n.listChanged()
}

// restartNode ends the process of the node and starts another one later.
func (n *fleetNode) restartNode(later time.Duration) {
	n.nodeUp = false
	for _, a := range n.active {
		a.done = true
		a.job.fail()
	}
	n.fleet.after(later, n.startNode)
}

func (n *fleetNode) listChanged() {
	ids := n.fleet.ids()
	n.gate.SetPeers(ids)
	n.exchange.Retain(func(id member.InstanceID) bool { return slices.Contains(ids, id) })
	_, marked := n.gate.Started(n.fleet.now, Crash{Instance: n.id(), Boot: n.boot})
	n.changed(marked)
}

func (n *fleetNode) reaches(other *fleetNode) bool {
	return other.nodeUp && other.partition == n.partition
}

// collector returns the first node in reach, from which all in reach draw.
func (n *fleetNode) collector() *fleetNode {
	for _, other := range n.fleet.nodes {
		if n == other || n.reaches(other) {
			return other
		}
	}
	return nil
}

// draw exchanges marks with the collector.
func (n *fleetNode) draw() {
	f := n.fleet
	f.after(drawInterval, n.draw)
	c := n.collector()
	if !n.nodeUp || c == n {
		return
	}
	message := n.exchange.Request(f.now, c.id())
	f.after(hopTime, func() {
		if !c.nodeUp {
			return
		}
		from := c.id()
		reply, changes := c.exchange.Reply(f.now, fmt.Sprint("node-", n.index), message)
		c.changed(changes)
		f.after(hopTime, func() {
			if n.nodeUp {
				n.changed(n.exchange.Apply(f.now, from, reply))
			}
		})
	})
}

// changed ends the runs of requests that were put in quarantine.
func (n *fleetNode) changed(changes []Change) {
	if !slices.ContainsFunc(changes, func(c Change) bool { return c.Entered }) {
		return
	}
	for _, run := range n.gate.Stop(n.fleet.now) {
		n.gate.Abandoned(run)
		a := n.active[run]
		delete(n.active, run)
		a.done = true
		a.job.fail()
	}
}

// send sends a request to a node as its entry.
func (f *fleet) send(entry *fleetNode, path string, lethal time.Duration) {
	j := &job{path: path, lethal: lethal, entry: entry}
	j.next(StatusRefused)
}

// Responses of the simulated nodes.
const (
	StatusServed = iota
	StatusRefused
	StatusLost
)

func (j *job) request() *Request {
	return NewRequest([]byte("GET"), []byte("h"), []byte(j.path), []byte("w"), nil, false, 0)
}

func (j *job) finish(status int) {
	f := j.entry.fleet
	switch {
	case j.lethal > 0:
	case status == StatusServed:
		f.served++
	case j.lost || status == StatusLost:
		f.lost++
	default:
		f.refused++
	}
}

// fail ends a job without another try.
func (j *job) fail() { j.finish(StatusLost) }

// next tries another instance, or ends with a status.
func (j *job) next(status int) {
	f := j.entry.fleet
	var candidates []*fleetNode
	for _, n := range f.nodes {
		if !slices.Contains(j.tried, n.index) && (n == j.entry || j.entry.reaches(n)) {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 || len(j.tried) == maxTries || j.sends == maxSends || !j.entry.nodeUp {
		j.finish(status)
		return
	}
	if up := slices.DeleteFunc(slices.Clone(candidates), func(n *fleetNode) bool { return f.now.Before(j.entry.avoidUntil[n.index]) }); len(up) > 0 {
		candidates = up
	}
	to := candidates[f.random.IntN(len(candidates))]
	j.tried = append(j.tried, to.index)
	marks := j.entry.table.Marks(f.now, j.request().Digest())
	f.after(hopTime, func() { to.guard(j, marks) })
}

// respond sends the response of a node to the entry, with the marks that it has.
func (n *fleetNode) respond(j *job, do func()) {
	f := n.fleet
	marks := n.table.Marks(f.now, j.request().Digest())
	f.after(hopTime, func() {
		if j.entry.nodeUp {
			j.entry.changed(j.entry.table.Merge(f.now, marks, "response"))
		}
		do()
	})
}

// guard handles a request at the node beside an instance.
func (n *fleetNode) guard(j *job, marks []Mark) {
	f := n.fleet
	if !n.nodeUp {
		j.next(StatusRefused)
		return
	}
	n.changed(n.table.Merge(f.now, marks, "request"))
	r := j.request()
	verdict, change := n.gate.Check(f.now, r)
	n.changed([]Change{change})
	switch {
	case verdict == Refuse:
		n.respond(j, func() { j.finish(StatusRefused) })
		return
	case verdict != Pass:
		n.respond(j, func() { j.next(StatusRefused) })
		return
	case !n.up:
		n.gate.Ended(f.now)
		n.respond(j, func() {
			j.entry.avoidUntil[n.index] = f.now.Add(avoidTime)
			j.next(StatusRefused)
		})
		return
	}
	run, _, _ := n.gate.Begin(f.now, r)
	a := &attempt{job: j, node: n}
	n.active[run] = a
	j.sends++
	if j.lethal > 0 {
		f.lethalRuns[j.path] = append(f.lethalRuns[j.path], f.now)
		f.after(j.lethal, func() {
			if !a.done {
				f.crashes[j.path] = append(f.crashes[j.path], f.now)
				n.crash()
			}
		})
		return
	}
	f.after(innocentTime, func() {
		if a.done {
			return
		}
		a.done = true
		delete(n.active, run)
		n.changed([]Change{n.gate.Served(f.now, run)})
		n.respond(j, func() { j.finish(StatusServed) })
	})
}

// crash ends the instance and all its runs.
func (n *fleetNode) crash() {
	f := n.fleet
	n.up = false
	ended := n.active
	n.active = make(map[*Run]*attempt)
	for run, a := range ended {
		a.done = true
		n.gate.Lost(f.now, run)
	}
	f.after(crashNotice, func() {
		if n.nodeUp {
			crash, marked := n.gate.Ended(f.now)
			n.report(crash, marked)
			n.changed(marked)
		}
		for _, a := range ended {
			n.respond(a.job, func() {
				a.job.lost = true
				if j := a.job; j.entry.table.IsQuarantined(j.request().Digest()) {
					j.finish(StatusLost)
				} else {
					j.next(StatusLost)
				}
			})
		}
	})
	f.after(downTime, n.startInstance)
}

// report tells other nodes of a crash.
func (n *fleetNode) report(crash Crash, marked []Change) {
	f := n.fleet
	var marks []Mark
	for _, change := range marked {
		marks = append(marks, Mark{Digest: change.Digest, Crash: crash})
	}
	var instances []catalog.Instance
	for _, other := range f.nodes {
		instances = append(instances, catalog.Instance{ID: other.id(), Service: "desk"})
	}
	targets := ReportTargets(instances, "desk", n.collector().id())
	for _, other := range f.nodes {
		if other == n || !n.reaches(other) || !slices.ContainsFunc(targets, func(i catalog.Instance) bool { return i.ID == other.id() }) {
			continue
		}
		f.after(hopTime, func() {
			if other.nodeUp {
				other.changed(other.table.Merge(f.now, marks, fmt.Sprint("node-", n.index)))
			}
		})
	}
}

// lateRuns returns the runs of a lethal request that were sent later than
// stabilityWindow after its third crash.
func (f *fleet) lateRuns(path string) int {
	if len(f.crashes[path]) < 3 {
		return 0
	}
	late := 0
	for _, at := range f.lethalRuns[path] {
		if at.Sub(f.crashes[path][2]) > stabilityWindow {
			late++
		}
	}
	return late
}

// quarantined returns the number of requests in quarantine at any node.
func (f *fleet) quarantined() int {
	digests := make(map[Digest]struct{})
	for _, n := range f.nodes {
		for _, m := range n.table.Quarantined(f.now) {
			digests[m.Digest] = struct{}{}
		}
	}
	return len(digests)
}

// sendInnocent sends innocent requests to random nodes for a time, a fourth of them
// the same one.
func (f *fleet) sendInnocent(perSecond int, length time.Duration) {
	gap := time.Second / time.Duration(perSecond)
	for i := range int(length / gap) {
		f.after(time.Duration(i)*gap, func() {
			path := fmt.Sprint("/own/", i)
			if i%4 == 0 {
				path = "/shared"
			}
			f.send(f.nodes[f.random.IntN(len(f.nodes))], path, 0)
		})
	}
}
