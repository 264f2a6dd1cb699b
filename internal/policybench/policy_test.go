package policybench

import (
	"fmt"
	"testing"
	"time"
)

// Targets for every run: share of the possible goodput, share of
// the top class's requests that complete, ratio of a workspace's completed requests
// to its fair share, share of runs whose root request failed, recovery time after
// the trigger, and runs at the last hop for one root request.
const (
	minGoodput   = 0.95
	minTopRank   = 0.999
	minWorkspace = 0.90
	maxWasted    = 0.05
	maxRecovery  = 2 * time.Second
	maxAttempts  = 1 + rootRetries
)

var testSeeds = []uint64{1, 2}

func TestOverloadKeepsGoodputAndTopClass(t *testing.T) {
	for _, slots := range []int{20, 80} {
		for _, multiple := range []float64{2, 10} {
			t.Run(fmt.Sprintf("slots=%d/load=%g", slots, multiple), func(t *testing.T) {
				f := WorstCase(Sweep(testSeeds, func(distribution Distribution, seed uint64) Scenario {
					return Overload(Learned, slots, multiple, time.Minute, distribution, seed)
				}), 1)
				if f.Goodput < minGoodput {
					t.Errorf("goodput %.4f of capacity, want %v (seed %d)", f.Goodput, minGoodput, f.WorstSeed)
				}
				if f.Completion[0] < minTopRank {
					t.Errorf("top class completed %.5f, want %v", f.Completion[0], minTopRank)
				}
			})
		}
	}
}

func TestHeavyWorkspaceLeavesFairShares(t *testing.T) {
	f := WorstCase(Sweep(testSeeds, func(distribution Distribution, seed uint64) Scenario {
		return HeavyWorkspace(Learned, 50, 30*time.Second, distribution, seed)
	}), 1)
	if f.WorkspaceShare < minWorkspace {
		t.Errorf("worst workspace got %.3f of its fair share, want %v", f.WorkspaceShare, minWorkspace)
	}
}

func TestChainRecoversFromSurge(t *testing.T) {
	testRecovery(t, func(distribution Distribution, seed uint64) Scenario {
		return Surge(Learned, 20, 5, 10*time.Second, distribution, seed)
	})
}

func TestChainRecoversFromSlowLastService(t *testing.T) {
	testRecovery(t, func(distribution Distribution, seed uint64) Scenario {
		return SlowLastService(Learned, 20, 5, 10*time.Second, distribution, seed)
	})
}

func testRecovery(t *testing.T, build func(Distribution, uint64) Scenario) {
	t.Helper()
	f := WorstCase(Sweep(testSeeds, build), 1)
	if f.Recovery > maxRecovery {
		t.Errorf("recovered after %v, want %v (mean of %d runs %v)", f.Recovery, maxRecovery, f.Runs, f.MeanRecovery)
	}
}

func TestSlowLastServiceWastesFewRuns(t *testing.T) {
	testWastedRuns(t, 3, 5, 8)
}

func TestSlowLastServiceWastesFewRunsInLongestChain(t *testing.T) {
	testWastedRuns(t, 13)
}

func testWastedRuns(t *testing.T, chains ...int) {
	t.Helper()
	for _, hops := range chains {
		t.Run(fmt.Sprintf("hops=%d", hops), func(t *testing.T) {
			f := WorstCase(Sweep(testSeeds, func(distribution Distribution, seed uint64) Scenario {
				return SlowLastService(Learned, 20, hops, 30*time.Second, distribution, seed)
			}), 0.1)
			if f.Wasted > maxWasted {
				t.Errorf("%.3f of runs wasted, want at most %v", f.Wasted, maxWasted)
			}
		})
	}
}

func TestAttemptsAreBoundedForEveryChain(t *testing.T) {
	for hops := 1; hops <= 13; hops++ {
		r := Execute(SlowLastService(Learned, 20, hops, 5*time.Second, Exponential, 3))
		if r.MaxAttempts > maxAttempts {
			t.Errorf("%d hops: %d attempts at the last one, want at most %d", hops, r.MaxAttempts, maxAttempts)
		}
	}
}

// TestBaselinesMissTheTargets guards against scenarios so mild that the baseline
// policies meet the targets too.
func TestBaselinesMissTheTargets(t *testing.T) {
	for _, p := range []Policy{FixedFIFO, NoControl} {
		overload := Execute(Overload(p, 20, 10, 10*time.Second, Exponential, 1))
		if overload.Completion(0) >= minTopRank {
			t.Errorf("%v: top class completed %.4f", p, overload.Completion(0))
		}
		slow := Execute(SlowLastService(p, 20, 5, 10*time.Second, Exponential, 1))
		if slow.WastedShare() <= maxWasted || slow.MaxAttempts <= maxAttempts {
			t.Errorf("%v: wasted %.3f, attempts %d", p, slow.WastedShare(), slow.MaxAttempts)
		}
	}
}

func TestRunsRepeatExactly(t *testing.T) {
	s := Surge(Learned, 20, 3, 2*time.Second, HeavyTail, 5)
	if a, b := Execute(s), Execute(s); a.Completed != b.Completed || a.Runs != b.Runs {
		t.Error("two runs of one scenario differ")
	}
}
