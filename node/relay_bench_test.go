package node

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkIdleFleet measures the load that idle nodes put on the platform and
// on one another, and the time until a publication is in force on all of them.
// It runs in real time: use -benchtime 1x.
func BenchmarkIdleFleet(b *testing.B) {
	const span = 35 * time.Second // longer than the long poll of a watch
	for _, size := range []struct{ nodes, zones int }{{8, 4}, {26, 4}} {
		b.Run(fmt.Sprintf("nodes=%d", size.nodes), func(b *testing.B) {
			f := startFleet(b, size.nodes, size.zones)
			for b.Loop() {
				calls, bytes := f.platform.Stats().Calls, f.controlBytes()
				time.Sleep(span)
				b.ReportMetric(float64(f.platform.Stats().Calls-calls)/span.Seconds(), "reads/s")
				b.ReportMetric(float64(f.controlBytes()-bytes)/span.Seconds()/float64(size.nodes), "control-B/s/node")
				b.ReportMetric(float64(f.platform.Stats().PeakSecond), "peak-reads/s")
				published := time.Now()
				f.eventuallyInForce("keys/0", f.publishKey("changed"))
				b.ReportMetric(float64(time.Since(published).Milliseconds()), "in-force-ms")
			}
		})
	}
}

// controlBytes returns the bytes of control messages that all nodes sent and
// received.
func (f *testFleet) controlBytes() int64 {
	var sum int64
	for _, n := range f.nodes {
		traffic := n.controlMeter.Traffic()
		sum += traffic.BytesIn + traffic.BytesOut
	}
	return sum
}
