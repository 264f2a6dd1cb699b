package policybench

import (
	"runtime"
	"sync"
	"time"
)

const (
	// warmUp is the time of ordinary load before a trigger, which is an overload
	// or a fault.
	warmUp = 10 * time.Second
	// ordinaryLoad is the load outside triggers, in multiples of the capacity.
	ordinaryLoad = 0.7
	// recoveryWindow is the time after a trigger in which recovery is measured.
	recoveryWindow = 15 * time.Second
)

// Overload returns a scenario for one service that is offered a multiple of
// its capacity for a time.
func Overload(policy Policy, slots int, multiple float64, duration time.Duration, distribution Distribution, seed uint64) Scenario {
	s := Base(policy, slots, seed, distribution)
	s.Steps = []Step{
		{Demand: Load(ordinaryLoad)},
		{At: warmUp, Demand: Load(multiple)},
		{At: warmUp + duration, Demand: Load(ordinaryLoad)},
	}
	s.Duration = warmUp + duration + recoveryWindow
	return s
}

// HeavyWorkspace returns an overload of 5 times the capacity in which the demand
// of one workspace is 8 times that of each of the others.
func HeavyWorkspace(policy Policy, slots int, duration time.Duration, distribution Distribution, seed uint64) Scenario {
	const multiple, heavy = 5, 8
	s := Overload(policy, slots, multiple, duration, distribution, seed)
	s.WorkspaceWeights = EvenWeights
	s.WorkspaceWeights[0] = heavy
	return s
}

// Chain turns a scenario of one service into one of a call chain. The last service
// keeps the slots; those before it have enough for the requests that wait for
// their downstream calls.
func Chain(s Scenario, hops int) Scenario {
	last := s.Slots[0]
	s.Slots = nil
	for i := range hops - 1 {
		const spare = 1.5 // ratio to the slots that keep the last service busy
		s.Slots = append(s.Slots, int(spare*float64(last*(hops-i))))
	}
	s.Slots = append(s.Slots, last)
	s.Connections = 8 * s.Slots[0]
	s.MeanServiceTime = 20 * time.Millisecond
	return s
}

// SlowLastService returns a call chain at ordinary load whose last service is ten
// times slower for a time.
func SlowLastService(policy Policy, slots, hops int, duration time.Duration, distribution Distribution, seed uint64) Scenario {
	s := Chain(Base(policy, slots, seed, distribution), hops)
	s.Steps = []Step{
		{Demand: Load(ordinaryLoad)},
		{At: warmUp, Demand: Load(ordinaryLoad)},
		{At: warmUp + duration, Demand: Load(ordinaryLoad)},
	}
	s.Faults = []Fault{{Hop: hops - 1, From: warmUp, To: warmUp + duration, Speed: 0.1}}
	s.Duration = warmUp + duration + recoveryWindow
	return s
}

// Surge returns a call chain that is offered 10 times its capacity for a time.
func Surge(policy Policy, slots, hops int, duration time.Duration, distribution Distribution, seed uint64) Scenario {
	const multiple = 10
	return Chain(Overload(policy, slots, multiple, duration, distribution, seed), hops)
}

// Summary holds the measures of a group of runs. Each is from the run in which it
// is worst, unless it is a mean.
type Summary struct {
	Runs           int
	Goodput        float64 // share of the possible goodput during the trigger
	MeanGoodput    float64
	Completion     [Ranks]float64
	WorkspaceShare float64 // smallest ratio of a workspace's completed requests to its fair share
	Wasted         float64 // share of runs whose root request failed
	Recovery       time.Duration
	MeanRecovery   time.Duration
	Attempts       int    // most runs at the last hop for one root request
	WorstSeed      uint64 // seed of the run with the smallest goodput
}

// WorstCase executes the scenarios concurrently and summarizes them. possible is
// the largest goodput under the fault, as a share of the capacity.
func WorstCase(scenarios []Scenario, possible float64) Summary {
	results := executeAll(scenarios)
	f := Summary{Runs: len(results), Goodput: 2, WorkspaceShare: 1}
	for i := range f.Completion {
		f.Completion[i] = 1
	}
	for _, r := range results {
		goodput := r.Goodput() / possible
		if goodput < f.Goodput {
			f.Goodput, f.WorstSeed = goodput, r.scenario.Seed
		}
		f.MeanGoodput += goodput / float64(len(results))
		for rank := range f.Completion {
			f.Completion[rank] = min(f.Completion[rank], r.Completion(rank))
		}
		recovery := r.RecoveryTime(r.From, r.To)
		f.Recovery = max(f.Recovery, recovery)
		f.MeanRecovery += recovery / time.Duration(len(results))
		f.WorkspaceShare = min(f.WorkspaceShare, r.WorstWorkspace())
		f.Wasted = max(f.Wasted, r.WastedShare())
		f.Attempts = max(f.Attempts, r.MaxAttempts)
	}
	return f
}

// executeAll executes scenarios concurrently on half of the processors.
func executeAll(scenarios []Scenario) []*Result {
	results := make([]*Result, len(scenarios))
	var wg sync.WaitGroup
	next := make(chan int)
	for range max(1, runtime.GOMAXPROCS(0)/2) {
		wg.Go(func() {
			for i := range next {
				results[i] = Execute(scenarios[i])
			}
		})
	}
	for i := range scenarios {
		next <- i
	}
	close(next)
	wg.Wait()
	return results
}

// Sweep builds a scenario for every distribution and every seed.
func Sweep(seeds []uint64, build func(Distribution, uint64) Scenario) []Scenario {
	var all []Scenario
	for _, distribution := range Distributions {
		for _, seed := range seeds {
			all = append(all, build(distribution, seed))
		}
	}
	return all
}
