package policybench

import (
	"fmt"
	"testing"
	"time"
)

// benchSeeds are the seeds of the benchmarks. Servers have the discipline Queueing
// with an even seed and ProcessorSharing with an odd one.
var benchSeeds = []uint64{11, 12}

// report runs the scenarios of a benchmark and reports their worst measures.
func report(b *testing.B, possible float64, scenarios []Scenario) {
	b.Helper()
	var f Summary
	for b.Loop() {
		f = WorstCase(scenarios, possible)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(f.Goodput, "goodput")
	b.ReportMetric(f.MeanGoodput, "goodput-mean")
	for rank, c := range f.Completion {
		b.ReportMetric(c, fmt.Sprintf("rank%d", rank))
	}
	b.ReportMetric(f.WorkspaceShare, "workspace")
	b.ReportMetric(f.Wasted, "wasted")
	b.ReportMetric(f.Recovery.Seconds(), "recovery-s")
	b.ReportMetric(float64(f.Attempts), "attempts")
	b.ReportMetric(float64(f.WorstSeed), "worst-seed")
}

// BenchmarkOverload measures goodput and completion by rank of one service at 2, 5
// and 10 times its capacity for 60 s.
func BenchmarkOverload(b *testing.B) {
	for _, slots := range []int{20, 50, 80, 120} {
		for _, multiple := range []float64{2, 5, 10} {
			for _, p := range Policies {
				b.Run(fmt.Sprintf("slots=%d/load=%g/%v", slots, multiple, p), func(b *testing.B) {
					report(b, 1, Sweep(benchSeeds, func(distribution Distribution, seed uint64) Scenario {
						return Overload(p, slots, multiple, time.Minute, distribution, seed)
					}))
				})
			}
		}
	}
}

// BenchmarkSurgeRecovery measures the recovery time of call chains after a load of
// 10 times their capacity, with callers that retry 3 times at each hop.
func BenchmarkSurgeRecovery(b *testing.B) {
	for _, hops := range []int{1, 5} {
		for _, p := range Policies {
			b.Run(fmt.Sprintf("hops=%d/%v", hops, p), func(b *testing.B) {
				report(b, 1, Sweep(benchSeeds, func(distribution Distribution, seed uint64) Scenario {
					return Surge(p, 20, hops, 20*time.Second, distribution, seed)
				}))
			})
		}
	}
}

// BenchmarkSlowLastService measures recovery time, wasted runs and attempts in call
// chains whose last service is ten times slower for 30 s.
func BenchmarkSlowLastService(b *testing.B) {
	for _, slots := range []int{20, 80} {
		for _, hops := range []int{3, 5, 8, 13} {
			for _, p := range Policies {
				b.Run(fmt.Sprintf("slots=%d/hops=%d/%v", slots, hops, p), func(b *testing.B) {
					report(b, 0.1, Sweep(benchSeeds, func(distribution Distribution, seed uint64) Scenario {
						return SlowLastService(p, slots, hops, 30*time.Second, distribution, seed)
					}))
				})
			}
		}
	}
}

// BenchmarkHeavyWorkspace measures the smallest ratio of a workspace's completed
// requests to its fair share at one service at 5 times its capacity, with a
// workspace whose demand is 8 times that of each of the others.
func BenchmarkHeavyWorkspace(b *testing.B) {
	for _, slots := range []int{20, 80} {
		for _, p := range Policies {
			b.Run(fmt.Sprintf("slots=%d/%v", slots, p), func(b *testing.B) {
				report(b, 1, Sweep(benchSeeds, func(distribution Distribution, seed uint64) Scenario {
					return HeavyWorkspace(p, slots, time.Minute, distribution, seed)
				}))
			})
		}
	}
}
