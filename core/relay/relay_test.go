package relay

import (
	"fmt"
	"testing"
	"time"
)

const (
	convergeTime    = 30 * time.Second // for a starting fleet to converge
	inForce         = 3 * time.Second  // from the publication of a value until all nodes have it in force
	inForceDegraded = 5 * time.Second  // the same while a zone can't read the platform
	maxReadRate     = 2000             // reads per second by all nodes: the platform's call rate limit
	manyNodes       = 1000             // larger fleets tick at coarseTick
	coarseTick      = 250 * time.Millisecond
	seeds           = 5
)

func (n *vnet) mustBeInForce(version Version, within time.Duration) {
	n.t.Helper()
	n.runFor(within)
	if lagging := n.lagging(version); lagging > 0 {
		n.t.Errorf("%s@%d is not in force on %d nodes after %v", version.Name, version.Revision, lagging, within)
	}
}

// newConvergedNet returns a fleet in which all values are in force on all nodes.
func newConvergedNet(t testing.TB, seed uint64, nodes, zones, services int) *vnet {
	t.Helper()
	n := newNet(t, seed, nodes, zones, services)
	n.runFor(convergeTime)
	for _, name := range n.names {
		if lagging := n.lagging(n.published[name].Version); lagging > 0 {
			t.Fatalf("seed %d: %s is not in force on %d nodes after the start", seed, name, lagging)
		}
	}
	return n
}

func partitionZone(zone string) func(a, b *vnode) bool {
	return func(a, b *vnode) bool { return (string(a.zone) == zone) != (string(b.zone) == zone) }
}

// disconnectPlatform makes the platform unreachable from a zone, so that its
// watches fail.
func (n *vnet) disconnectPlatform(zone string) {
	for _, v := range n.nodes {
		v.noPlatform = string(v.zone) == zone
	}
	for name, list := range n.waiting {
		var left []*vwatch
		for _, w := range list {
			if !n.serve(w) {
				left = append(left, w)
			}
		}
		n.waiting[name] = left
	}
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name string
		run  func(n *vnet)
	}{
		{"small value", func(n *vnet) { n.mustBeInForce(n.publish("fleet", 0), inForce) }},
		{"value of 1 MB", func(n *vnet) { n.mustBeInForce(n.publish("keys/0", 1<<20-20), inForce) }},
		{"burst of changes", func(n *vnet) {
			for range 20 {
				n.publish("keys/1", 0)
				n.runFor(10 * time.Millisecond)
			}
			n.mustBeInForce(n.publish("keys/1", 0), inForce)
		}},
		{"a tenth of all messages lost", func(n *vnet) {
			n.loss = 0.1
			n.mustBeInForce(n.publish("services/0", 0), inForce)
		}},
		{"a zone can't read the platform", func(n *vnet) {
			n.disconnectPlatform("z0")
			n.mustBeInForce(n.publish("keys/0", 0), inForceDegraded)
		}},
		{"a zone can't read the platform, large value", func(n *vnet) {
			n.disconnectPlatform("z1")
			n.mustBeInForce(n.publish("keys/0", 100<<10), inForceDegraded)
		}},
		{"both relays of a zone crash", func(n *vnet) {
			for _, p := range ordered("keys/0", n.nodes[0].state.zonePeers)[:Relays] {
				n.byID[p.ID].stop()
			}
			n.mustBeInForce(n.publish("keys/0", 0), inForce)
		}},
		{"a network partition of a zone heals", func(n *vnet) {
			n.partitioned = partitionZone("z0")
			n.disconnectPlatform("z0")
			version := n.publish("keys/0", 0)
			n.runFor(20 * time.Second)
			n.partitioned = partitionZone("none")
			n.mustBeInForce(version, inForceDegraded)
		}},
		{"an isolated node reads the platform", func(n *vnet) {
			n.partitioned = func(a, b *vnode) bool { return a == n.nodes[0] || b == n.nodes[0] }
			n.runFor(isolationTimeout + inForce)
			n.mustBeInForce(n.publish("keys/0", 0), inForce)
		}},
		{"outage of the platform ends", func(n *vnet) {
			n.setOutage(true)
			version := n.publish("keys/0", 0)
			n.runFor(2 * time.Minute)
			if n.lagging(version) != len(n.nodes) {
				n.t.Error("nodes read a value during an outage")
			}
			n.setOutage(false)
			n.mustBeInForce(version, inForce)
		}},
		{"restart while the platform is stale", func(n *vnet) {
			version := n.publish("keys/0", 0)
			n.runFor(inForce)
			n.stale = map[string]Value{}
			for _, name := range n.names {
				n.stale[name] = Value{Version: Version{name, 1}, Body: []byte(name + "@1")}
			}
			n.nodes[1].start()
			n.mustBeInForce(version, inForceDegraded)
		}},
		{"the last accepted value stays in force after a refused one", func(n *vnet) {
			bad := n.published["fleet"]
			bad.Revision, bad.Body = bad.Revision+1, []byte("bad")
			n.published["fleet"] = bad
			n.runFor(2 * watchWait)
			if n.lagging(Version{"fleet", bad.Revision - 1}) > 0 || n.lagging(bad.Version) != len(n.nodes) {
				n.t.Error("the last accepted value is not in force")
			}
			n.mustBeInForce(n.publish("fleet", 0), inForce)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				n := newConvergedNet(t, seed, 26, 3, 3)
				tt.run(n)
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
		})
	}
}

// Under restarts, message loss and a platform that sometimes serves stale
// values, the revisions in force on a ready node must never decrease. The
// simulated network checks this at every tick, see checkNoRollback.
func TestRevisionsNeverDecrease(t *testing.T) {
	for seed := range uint64(seeds) {
		n := newConvergedNet(t, seed, 12, 3, 2)
		old := map[string]Value{}
		for name, v := range n.published {
			old[name] = v
		}
		for range 60 {
			n.loss = 0.1 * n.random.Float64()
			name := n.names[n.random.IntN(len(n.names))]
			n.publish(name, n.random.IntN(2*maxInlineBody))
			n.runFor(2 * inForce)
			n.stale = nil
			if n.random.IntN(2) == 0 {
				n.stale = old
			}
			n.nodes[n.random.IntN(len(n.nodes))].start()
			n.runFor(time.Duration(n.random.Int64N(int64(2 * inForce))))
		}
		n.loss, n.stale = 0, nil
		n.runFor(convergeTime)
		for _, name := range n.names {
			if lagging := n.lagging(n.published[name].Version); lagging > 0 {
				t.Errorf("seed %d: %s not in force on %d nodes at the end", seed, name, lagging)
			}
		}
	}
}

// The read rate of a fleet stays below the platform's limit while all nodes
// start, and when all watches fail at once.
func TestReadRateBelowLimit(t *testing.T) {
	n := newConvergedNet(t, 1, 120, 4, 20)
	n.setOutage(true)
	n.runFor(time.Minute)
	n.setOutage(false)
	n.runFor(time.Minute)
	for second, reads := range n.reads {
		if reads > maxReadRate {
			t.Errorf("%d reads in second %d; the limit is %d", reads, second-1000, maxReadRate)
		}
	}
}

func BenchmarkSteady(b *testing.B) {
	for _, size := range []struct{ nodes, zones, services int }{
		{8, 2, 2}, {26, 3, 6}, {60, 4, 10}, {120, 4, 20}, {2200, 20, 200},
	} {
		b.Run(fmt.Sprintf("nodes=%d", size.nodes), func(b *testing.B) {
			for b.Loop() {
				n := newNet(b, 1, size.nodes, size.zones, size.services)
				if size.nodes > manyNodes {
					n.tick = coarseTick
				}
				n.runFor(startSpread(size.nodes) + 2*convergeTime)
				n.measure(b, 2*convergeTime)
			}
		})
	}
}

// measure reports the reads and control bytes of a converged fleet, with one
// change of 2 KB every 34.56 s (2,500 per day).
func (n *vnet) measure(b *testing.B, span time.Duration) {
	const changeEvery = 34560 * time.Millisecond
	const spreadStep = 10 * time.Millisecond
	slowest := time.Duration(0) // until a value was in force on all nodes
	before := 0
	for _, v := range n.nodes {
		before += v.sent
	}
	first := n.now.Unix()
	for spent := time.Duration(0); spent < span; spent += changeEvery {
		version := n.publish(n.names[n.random.IntN(len(n.names))], 2<<10)
		end := n.now.Add(changeEvery)
		for n.lagging(version) > 0 && n.now.Before(end) {
			n.runFor(spreadStep)
			slowest = max(slowest, changeEvery-end.Sub(n.now))
		}
		n.runFor(end.Sub(n.now))
	}
	seconds := float64(n.now.Unix() - first)
	after, reads, peak := 0, 0, 0
	for _, v := range n.nodes {
		after += v.sent
	}
	for second, count := range n.reads {
		if second >= first {
			reads += count
			peak = max(peak, count)
		}
	}
	b.ReportMetric(float64(reads)/seconds, "reads/s")
	b.ReportMetric(float64(peak), "peak-reads/s")
	b.ReportMetric(float64(slowest.Milliseconds()), "in-force-ms")
	b.ReportMetric(float64(after-before)/seconds/float64(len(n.nodes)), "control-B/s/node")
}
