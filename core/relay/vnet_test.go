package relay

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

const (
	tickEvery    = 50 * time.Millisecond
	callTimeout  = time.Second
	maxLatency   = 20 * time.Millisecond
	callOverhead = 500 // bytes of the request and response headers of one call between nodes
	versionBytes = 26  // bytes of a name and a revision in a message
)

// event is a function to run at a virtual time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// vnode is a simulated node with the revisions that it has in force.
type vnode struct {
	net          *vnet
	id           member.InstanceID
	zone         member.Zone
	service      int
	state        *State
	incarnation  int // number of starts; replies to calls of an earlier incarnation are dropped
	up           bool
	noPlatform   bool              // the node can't reach the platform
	inForce      map[string]uint64 // revisions in force, by name
	highest      map[string]uint64 // highest revisions in force while ready, over all incarnations
	sent         int               // bytes of calls made and answered
	peersChanged bool              // the peers changed and are set at the next tick
	checked      bool              // checkNoRollback ran since the last change of the revisions in force
}

// vwatch is a read that waits at the platform.
type vwatch struct {
	node        *vnode
	incarnation int
	read        Read
	ended       bool
}

// vnet is a fleet on a simulated network with a simulated platform.
type vnet struct {
	t           testing.TB
	random      *rand.Rand
	now         time.Time
	queue       events
	seq         int
	nodes       []*vnode
	byID        map[member.InstanceID]*vnode
	services    int
	tick        time.Duration
	names       []string
	loss        float64
	partitioned func(a, b *vnode) bool

	published map[string]Value
	stale     map[string]Value // served instead of published, if not nil
	outage    bool
	waiting   map[string][]*vwatch
	reads     map[int64]int // by Unix second
}

func newNet(t testing.TB, seed uint64, nodes, zones, services int) *vnet {
	n := &vnet{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0),
		byID: make(map[member.InstanceID]*vnode), services: services, tick: tickEvery,
		published: make(map[string]Value), waiting: make(map[string][]*vwatch), reads: make(map[int64]int),
		partitioned: func(_, _ *vnode) bool { return false },
	}
	n.names = []string{"fleet", "keys/0", "keys/1"}
	for i := range services {
		n.names = append(n.names, fmt.Sprintf("services/%d", i), fmt.Sprintf("instances/%d", i))
	}
	for _, name := range n.names {
		n.publish(name, 0)
	}
	for i := range nodes {
		node := &vnode{
			net: n, id: member.InstanceID(fmt.Sprintf("n%d", i)), zone: member.Zone(fmt.Sprintf("z%d", i%zones)),
			service: (i / zones) % services, highest: make(map[string]uint64),
		}
		n.nodes = append(n.nodes, node)
		n.byID[node.id] = node
		n.after(time.Duration(n.random.Int64N(int64(startSpread(nodes)))), node.start)
	}
	return n
}

// startSpread is the time over which the nodes of a fleet start.
func startSpread(nodes int) time.Duration {
	return max(time.Second, time.Duration(nodes)*10*time.Millisecond)
}

func (n *vnet) after(d time.Duration, run func()) {
	n.seq++
	heap.Push(&n.queue, event{at: n.now.Add(d), seq: n.seq, run: run})
}

func (n *vnet) runFor(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.run()
	}
	n.now = end
}

// publish publishes the next revision of a value, with a body of at least size
// bytes.
func (n *vnet) publish(name string, size int) Version {
	v := Value{Version: Version{Name: name, Revision: n.published[name].Revision + 1}}
	v.Body = []byte(fmt.Sprintf("%s@%d", name, v.Revision) + strings.Repeat(" ", size))
	n.published[name] = v
	for _, w := range n.waiting[name] {
		n.serve(w)
	}
	n.waiting[name] = nil
	return v.Version
}

// serve answers a read unless it must wait for a newer revision, and reports
// whether it did.
func (n *vnet) serve(w *vwatch) bool {
	v := n.published[w.read.Name]
	if n.stale != nil {
		v = n.stale[w.read.Name]
	}
	switch {
	case n.outage || w.node.noPlatform:
		n.endRead(w, ReadFailed, Value{})
	case v.Revision > w.read.After:
		n.endRead(w, ReadFound, v)
	case w.read.Wait == 0:
		n.endRead(w, ReadNotModified, Value{})
	default:
		return false
	}
	return true
}

func (n *vnet) endRead(w *vwatch, status ReadStatus, v Value) {
	if w.ended {
		return
	}
	w.ended = true
	n.after(n.latency(), func() {
		if w.node.up && w.node.incarnation == w.incarnation {
			w.node.sent += callOverhead + len(v.Body)
			w.node.do(w.node.state.ReadDone(n.now, w.read.Name, status, v))
		}
	})
}

func (n *vnet) setOutage(outage bool) {
	n.outage = outage
	for name, list := range n.waiting {
		for _, w := range list {
			n.serve(w)
		}
		n.waiting[name] = nil
	}
}

func (n *vnet) latency() time.Duration { return time.Duration(n.random.Int64N(int64(maxLatency))) }

// call delivers a message and its reply, and runs failed if either is lost or
// the peer is down.
func (n *vnet) call(from *vnode, to member.InstanceID, deliver func(*vnode) int, answered, failed func()) {
	incarnation, peer := from.incarnation, n.byID[to]
	ifRunning := func(run func()) func() {
		return func() {
			if from.up && from.incarnation == incarnation {
				run()
			}
		}
	}
	if n.random.Float64() < n.loss || n.partitioned(from, peer) {
		n.after(callTimeout, ifRunning(failed))
		return
	}
	n.after(n.latency(), func() {
		if !peer.up {
			n.after(n.latency(), ifRunning(failed))
			return
		}
		bytes := callOverhead + deliver(peer)
		from.sent += bytes
		peer.sent += bytes
		if n.random.Float64() < n.loss {
			n.after(callTimeout, ifRunning(failed))
			return
		}
		n.after(n.latency(), ifRunning(answered))
	})
}

func (v *vnode) start() {
	v.incarnation++
	v.up = true
	v.checked = false
	v.inForce = make(map[string]uint64)
	v.state = New(Config{
		Self: v.id, Zone: v.zone, Seed: v.net.random.Uint64(),
		Bootstrap: []string{"fleet", fmt.Sprintf("instances/%d", v.service)},
		Parse:     parseTest,
	}, v.net.now)
	incarnation := v.incarnation
	var tick func()
	tick = func() {
		if v.up && v.incarnation == incarnation {
			if v.peersChanged {
				v.peersChanged = false
				v.setPeers()
			}
			v.do(v.state.Tick(v.net.now))
			v.checkNoRollback()
			v.net.after(v.net.tick, tick)
		}
	}
	tick()
}

func (v *vnode) stop() { v.up = false }

var errBad = errors.New("bad body")

func parseTest(v Value) (any, error) {
	if strings.TrimRight(string(v.Body), " ") != fmt.Sprintf("%s@%d", v.Name, v.Revision) {
		return nil, errBad
	}
	return nil, nil
}

// do carries out effects.
func (v *vnode) do(fx Effects) {
	n := v.net
	for _, a := range fx.Apply {
		v.apply(a)
	}
	for _, a := range fx.Announces {
		n.call(v, a.To, func(p *vnode) int { p.do(p.state.HandleAnnounce(n.now, a.Announce)); return size(a.Announce.Values) },
			func() {}, func() { v.do(v.state.AnnounceFailed(n.now, a)) })
	}
	for _, f := range fx.Fetches {
		var reply FetchReply
		n.call(v, f.To, func(p *vnode) int {
			reply = p.state.HandleFetch(n.now, f.Fetch)
			return len(f.Fetch.Wanted)*versionBytes + size(reply.Values)
		}, func() { v.do(v.state.FetchAnswered(n.now, f, reply)) }, func() { v.do(v.state.FetchFailed(n.now, f)) })
	}
	for _, d := range fx.Digests {
		var reply DigestReply
		n.call(v, d.To, func(p *vnode) int {
			reply = p.state.HandleDigest(n.now, d.Digest)
			return versionBytes * (1 + len(reply.Known))
		}, func() { v.do(v.state.DigestAnswered(n.now, d, reply)) }, func() { v.do(v.state.DigestFailed(n.now, d)) })
	}
	for _, r := range fx.Reads {
		v.read(r)
	}
}

func size(values []Value) int {
	sum := 0
	for _, v := range values {
		sum += versionBytes + len(v.Body)
	}
	return sum
}

func (v *vnode) read(r Read) {
	n := v.net
	n.reads[n.now.Unix()]++
	w := &vwatch{node: v, incarnation: v.incarnation, read: r}
	if n.serve(w) {
		return
	}
	n.waiting[r.Name] = append(n.waiting[r.Name], w)
	n.after(r.Wait, func() { n.endRead(w, ReadNotModified, Value{}) })
}

// apply puts a value in force.
func (v *vnode) apply(a Applied) {
	if a.Revision <= v.inForce[a.Name] {
		v.net.t.Errorf("%s: %s applied at %d after %d", v.id, a.Name, a.Revision, v.inForce[a.Name])
	}
	v.inForce[a.Name] = a.Revision
	v.checked = false
	if a.Name == "fleet" {
		v.state.SetNames(v.net.now, v.net.names, v.net.names)
	}
	if a.Name == "fleet" || strings.HasPrefix(a.Name, "instances/") {
		v.peersChanged = true
	}
}

// setPeers sets the peers to the nodes of the services whose instances are
// known.
func (v *vnode) setPeers() {
	var peers []Peer
	lists := 0
	for s := range v.net.services {
		if v.inForce[fmt.Sprintf("instances/%d", s)] > 0 {
			lists++
		}
	}
	known := make([]bool, v.net.services)
	for s := range known {
		known[s] = v.inForce[fmt.Sprintf("instances/%d", s)] > 0
	}
	for _, p := range v.net.nodes {
		if known[p.service] {
			peers = append(peers, Peer{ID: p.id, Zone: p.zone})
		}
	}
	v.state.SetPeers(v.net.now, peers, len(peers)*v.net.services/max(lists, 1))
}

// checkNoRollback fails if a revision in force on a ready node is lower than one
// that an earlier incarnation of the node had in force.
func (v *vnode) checkNoRollback() {
	if v.checked || !v.state.Ready() {
		return
	}
	v.checked = true
	for name, revision := range v.inForce {
		if revision < v.highest[name] {
			v.net.t.Errorf("%s: ready with %s at %d after %d", v.id, name, revision, v.highest[name])
		}
		v.highest[name] = max(v.highest[name], revision)
	}
}

// lagging returns the number of nodes that are up but not ready with the
// version in force.
func (n *vnet) lagging(version Version) int {
	count := 0
	for _, v := range n.nodes {
		if v.up && (v.inForce[version.Name] < version.Revision || !v.state.Ready()) {
			count++
		}
	}
	return count
}
