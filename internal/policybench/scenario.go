package policybench

import "time"

// Ranks is the number of class ranks in every scenario.
const Ranks = 4

// Workspaces is the number of workspaces in every scenario.
const Workspaces = 8

// Step is a change of demand at a time since the start of the run.
type Step struct {
	At time.Duration
	// Demand is the offered load of each rank in multiples of the capacity of
	// the scenario's smallest service.
	Demand [Ranks]float64
}

// Total returns the offered load of all ranks.
func (s Step) Total() float64 {
	sum := 0.0
	for _, d := range s.Demand {
		sum += d
	}
	return sum
}

// Fault is a change of the speed of one service between two times since the start
// of the run. Speed 1 is normal, 0.1 is ten times slower.
type Fault struct {
	Hop      int
	From, To time.Duration
	Speed    float64
}

// Scenario holds all parameters of a run. Runs of equal scenarios are equal.
type Scenario struct {
	Seed            uint64
	Policy          Policy
	Slots           []int // slots of each service along the chain
	Connections     int   // connections that each server accepts
	Discipline      Discipline
	Distribution    Distribution
	MeanServiceTime time.Duration // mean service time at each hop
	Deadline        [Ranks]time.Duration
	Retries         int // retries that a caller makes at each hop
	Steps           []Step
	Faults          []Fault
	// WorkspaceWeights is the demand of each workspace relative to others.
	WorkspaceWeights [Workspaces]float64
	Duration         time.Duration
}

// capacity returns the requests a second that the last service can complete at
// speed 1.
func (s *Scenario) capacity() float64 {
	return float64(s.Slots[len(s.Slots)-1]) / s.MeanServiceTime.Seconds()
}

func (s *Scenario) demand(now time.Duration) [Ranks]float64 {
	var d [Ranks]float64
	for _, step := range s.Steps {
		if now >= step.At {
			d = step.Demand
		}
	}
	return d
}

func (s *Scenario) speed(hop int) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		for _, f := range s.Faults {
			if f.Hop == hop && now >= f.From && now < f.To {
				return f.Speed
			}
		}
		return 1
	}
}

// Load returns a demand of the given multiple of the capacity in which the
// requests of the two highest ranks stay below the capacity: they are 30% and 40%
// of it, and the two others share the rest.
func Load(multiple float64) [Ranks]float64 {
	if multiple < 0.8 {
		return [Ranks]float64{0.4 * multiple, 0.4 * multiple, 0.1 * multiple, 0.1 * multiple}
	}
	rest := (multiple - 0.7) / 2
	return [Ranks]float64{0.3, 0.4, rest, rest}
}

// EvenWeights gives all workspaces the same demand.
var EvenWeights = [Workspaces]float64{1, 1, 1, 1, 1, 1, 1, 1}

// Base returns a scenario with one service, without steps of demand and without
// duration. The parity of the seed selects the discipline.
func Base(policy Policy, slots int, seed uint64, distribution Distribution) Scenario {
	return Scenario{
		Seed: seed, Policy: policy, Slots: []int{slots}, Connections: 8 * slots,
		Discipline: Discipline(seed % 2), Distribution: distribution, MeanServiceTime: 50 * time.Millisecond,
		Deadline: [Ranks]time.Duration{2 * time.Second, 2 * time.Second, 2 * time.Second, 5 * time.Second},
		Retries:  3, WorkspaceWeights: [Workspaces]float64{4, 3, 2, 1, 1, 1, 1, 1},
	}
}
