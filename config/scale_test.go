package config

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// fleetSize is the size of a fleet in a benchmark.
type fleetSize struct {
	nodes, services, workspaces, shards int
}

var fleetSizes = []fleetSize{
	{nodes: 26, services: 7, workspaces: 8, shards: 1},
	{nodes: 120, services: 20, workspaces: 100, shards: 2},
	{nodes: 2200, services: 200, workspaces: 2000, shards: 16},
}

func (s fleetSize) String() string {
	return fmt.Sprintf("nodes=%d/workspaces=%d", s.nodes, s.workspaces)
}

func (s fleetSize) fleet() string {
	var b strings.Builder
	b.WriteString("revision: 1\nclasses:\n  - {name: browse, target: {completion: 0.99, within: 2s}}\nservices:\n")
	for i := range s.services {
		fmt.Fprintf(&b, "  - s%d\n", i)
	}
	fmt.Fprintf(&b, "keyShards: %d\n", s.shards)
	return b.String()
}

func (s fleetSize) instances(service int, revision Revision) string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision: %d\nservice: s%d\ninstances:\n", revision, service)
	for i := service; i < s.nodes; i += s.services {
		host := fmt.Sprintf("10.%d.%d.1", i/250, i%250)
		fmt.Fprintf(&b, "  - {id: s%d-%d, zone: z%d, peer: \"%s:7002\", control: \"%s:7003\"}\n", service, i, i%20, host, host)
	}
	return b.String()
}

func (s fleetSize) keys(shard int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision: 1\nshard: %d\nworkspaces:\n", shard)
	for i := shard; i < s.workspaces; i += s.shards {
		fmt.Fprintf(&b, "  - {name: w%d, rate: 100, burst: 100, keys: [{digest: \"sha256:%x\"}, {digest: \"sha256:%x\"}]}\n",
			i, sha256.Sum256([]byte{1, byte(i), byte(i >> 8)}), sha256.Sum256([]byte{2, byte(i), byte(i >> 8)}))
	}
	return b.String()
}

// view returns a view of all values.
func (s fleetSize) view(tb testing.TB) *View {
	tb.Helper()
	view := NewView()
	apply := func(name, body string) {
		value, err := Parse(name, []byte(body), 1)
		if err != nil {
			tb.Fatal(err)
		}
		if view, err = view.With(value); err != nil {
			tb.Fatal(err)
		}
	}
	apply(FleetName, s.fleet())
	for i := range s.services {
		name := fmt.Sprintf("s%d", i)
		apply(ServiceName(name), "revision: 1\nservice: "+name+"\ndefaultClass: browse\nroutes: []\n")
		apply(InstancesName(name), s.instances(i, 1))
	}
	for shard := range s.shards {
		apply(KeysName(shard), s.keys(shard))
	}
	return view
}

// BenchmarkHoldConfiguration reports the memory that the whole configuration of
// a fleet takes on a node.
func BenchmarkHoldConfiguration(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				view := size.view(b)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1024, "KB-held")
				runtime.KeepAlive(view)
			}
		})
	}
}

// BenchmarkApplyInstances measures one change of an instance list: validation
// and the new view.
func BenchmarkApplyInstances(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			view := size.view(b)
			body := []byte(size.instances(0, 2))
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				value, err := Parse(InstancesName("s0"), body, 2)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := view.With(value); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkLookupKey measures the lookup of a key by its digest.
func BenchmarkLookupKey(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			view := size.view(b)
			digest := sha256.Sum256([]byte{1, 7, 0})
			b.ReportAllocs()
			for b.Loop() {
				if _, _, ok := view.LookupKey(digest); !ok {
					b.Fatal("key not found")
				}
			}
		})
	}
}
