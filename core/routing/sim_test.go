package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// The benchmarks below simulate several entries, each with its own table,
// against one service in virtual time. They report the share of requests that
// fail, for this package and for a uniformly random choice among the same
// candidates.

const (
	simEntries       = 6
	simSlotTime      = 200 * time.Microsecond // mean service time per slot
	simDeadline      = time.Second
	simLoad          = 0.6 // share of the service's capacity with all instances healthy
	simWarmup        = 3 * time.Second
	simDuration      = 10 * time.Second
	simLeavingNotice = 3 * time.Second // after which a leaving instance must receive no new requests
)

// setup is the size and the service time distribution of the simulated
// instances.
type setup struct {
	name        string
	slots       int
	serviceTime func(*rand.Rand) float64 // with a mean of 1
}

var setups = []setup{
	{"50 slots, exponential", 50, func(r *rand.Rand) float64 { return r.ExpFloat64() }},
	{"20 slots, constant", 20, func(*rand.Rand) float64 { return 1 }},
	{"80 slots, heavy tail", 80, func(r *rand.Rand) float64 { return min(20, math.Pow(1-r.Float64(), -1/1.6)) / 2.39 }},
	{"120 slots, exponential", 120, func(r *rand.Rand) float64 { return r.ExpFloat64() }},
}

func (s setup) mean() time.Duration { return time.Duration(s.slots) * simSlotTime }

// behaviour returns the duration and the result of a request at a simulated
// instance, given the time since the fault began and the request's service time.
type behaviour func(now time.Duration, service time.Duration) (time.Duration, Result)

func healthy(_, service time.Duration) (time.Duration, Result) { return service, Completed }
func hung(_, _ time.Duration) (time.Duration, Result)          { return simDeadline, Lost }
func failFast(_, _ time.Duration) (time.Duration, Result)      { return 200 * time.Microsecond, Failed }
func unreachable(_, _ time.Duration) (time.Duration, Result)   { return time.Millisecond, ConnectFailed }

// cold instances take up to ten times as long until they are warm after 10 s.
func cold(now, service time.Duration) (time.Duration, Result) {
	warmth := min(1, float64(now)/float64(10*time.Second))
	return service + time.Duration(9*(1-warmth)*float64(service)), Completed
}

type event struct {
	at  time.Duration
	run func()
}
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simInstance struct {
	respond behaviour
	running int
	waiting []func()
}

type sim struct {
	setup
	now         time.Duration
	queue       events
	rng         *rand.Rand
	tables      []*Table
	nodes       map[member.InstanceID]*simInstance
	random      bool // choose uniformly instead of by the table
	zeroReports bool // guards report a queue delay of zero

	sent, failed, slow int
	lastFailure        time.Duration
	leaving            member.InstanceID // reports Leaving on its responses after simWarmup
	toLeaving          int               // requests sent there later than simLeavingNotice after that
}

func (s *sim) at(d time.Duration, run func()) { heap.Push(&s.queue, event{s.now + d, run}) }

// failedOrSlow returns the share of requests that failed or took longer than 20
// mean service times plus 50 ms.
func (s *sim) failedOrSlow() float64 { return float64(s.failed+s.slow) / float64(s.sent) }

func (s *sim) clock() time.Time { return start.Add(s.now) }

func (s *sim) pick(t *Table) (Choice, error) {
	if !s.random {
		return t.Pick(s.clock(), s.rng.Uint64(), Request{Retryable: true})
	}
	return t.Pin(s.clock(), t.instances[s.rng.IntN(len(t.instances))].ID)
}

func (s *sim) request(t *Table) {
	c, err := s.pick(t)
	if err != nil {
		s.sent++
		s.failed++
		return
	}
	sentAt := s.now
	node := s.nodes[c.ID]
	if c.ID == s.leaving && sentAt > simWarmup+simLeavingNotice {
		s.toLeaving++
	}
	service, result := node.respond(s.now-simWarmup, time.Duration(s.serviceTime(s.rng)*float64(s.mean())))
	if result != Completed {
		s.at(service, func() { s.finish(t, c, sentAt, result, 0) })
		return
	}
	serve := func() {
		waited := s.now - sentAt
		s.at(service, func() {
			s.finish(t, c, sentAt, result, waited)
			node.running--
			if len(node.waiting) > 0 {
				next := node.waiting[0]
				node.waiting = node.waiting[1:]
				node.running++
				next()
			}
		})
	}
	if node.running < s.slots {
		node.running++
		serve()
		return
	}
	node.waiting = append(node.waiting, serve)
}

func (s *sim) finish(t *Table, c Choice, sentAt time.Duration, result Result, waited time.Duration) {
	o := Outcome{Result: result, Latency: s.now - sentAt}
	if result == Completed || result == Failed {
		o.Report = &Report{Boot: 1, QueueDelay: waited, GuardTime: s.now - sentAt}
		if s.zeroReports {
			o.Report.QueueDelay = 0
		}
		if c.ID == s.leaving && s.now > simWarmup {
			o.Report.State = Leaving
		}
	}
	t.Finish(s.clock(), c, o)
	if sentAt < simWarmup {
		return
	}
	s.sent++
	if o.Latency > 20*s.mean()+50*time.Millisecond {
		s.slow++
	}
	if result != Completed {
		s.failed++
		s.lastFailure = sentAt - simWarmup
	}
}

func (s *sim) arrivals(t *Table, rate float64) {
	s.at(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		s.request(t)
		s.arrivals(t, rate)
	})
}

func newSim(name string, random bool, size setup) *sim {
	s := &sim{setup: size, random: random, zeroReports: name == "zero_reports"}
	if name == "leaving" {
		s.leaving = "i0"
	}
	return s
}

func runSim(s *sim, seed uint64, list []Candidate, faults map[member.InstanceID]behaviour, load float64) {
	s.rng = rand.New(rand.NewPCG(seed, 1))
	s.nodes = map[member.InstanceID]*simInstance{}
	for _, c := range list {
		s.nodes[c.ID] = &simInstance{respond: healthy}
	}
	rate := load * float64(len(list)) / simSlotTime.Seconds() / simEntries
	for n := range simEntries {
		zone := list[n%len(list)].Zone
		if s.zeroReports {
			zone = list[0].Zone // all entries in one zone, which has a part of the capacity
		}
		t := NewTable(zone)
		t.Update(s.clock(), list)
		s.tables = append(s.tables, t)
		s.arrivals(t, rate)
	}
	s.at(simWarmup, func() {
		for id, behaviour := range faults {
			s.nodes[id].respond = behaviour
		}
	})
	for s.now < simWarmup+simDuration {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
}

func BenchmarkFaults(b *testing.B) {
	zones := []member.Zone{"a", "b", "c", "d"}
	tests := []struct {
		name   string
		faults map[member.InstanceID]behaviour
	}{
		{"healthy", nil},
		{"hung", map[member.InstanceID]behaviour{"i0": hung}},
		{"failing_fast", map[member.InstanceID]behaviour{"i0": failFast}},
		{"gone", map[member.InstanceID]behaviour{"i0": unreachable}},
		{"zone_gone", map[member.InstanceID]behaviour{"i0": unreachable, "i4": unreachable}},
		{"cold", map[member.InstanceID]behaviour{"i0": cold}},
		{"zero_reports", nil},
		{"leaving", nil},
	}
	for _, tt := range tests {
		for _, random := range []bool{false, true} {
			name := tt.name + "/table"
			if random {
				name = tt.name + "/random"
			}
			b.Run(name, func(b *testing.B) {
				for range b.N {
					worst := &sim{sent: 1}
					toLeaving := 0
					for n := range 2 * len(setups) {
						s := newSim(tt.name, random, setups[n/2])
						runSim(s, uint64(n%2), candidates(8, zones...), tt.faults, simLoad)
						toLeaving = max(toLeaving, s.toLeaving)
						if s.failedOrSlow() >= worst.failedOrSlow() {
							worst = s
						}
						if random && n == 1 {
							break // the random baseline runs the first setup only
						}
					}
					b.Log(name, "worst with", worst.name)
					b.ReportMetric(100*float64(worst.failed)/float64(worst.sent), "%failed")
					b.ReportMetric(100*float64(worst.slow)/float64(worst.sent), "%slow")
					b.ReportMetric(worst.lastFailure.Seconds(), "last-failure-s")
					b.ReportMetric(float64(toLeaving), "to-leaving")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{4, 11, 100} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			t := newTestTable(n, "a", "b", "c", "d")
			report := &Report{Boot: 1, GuardTime: time.Millisecond}
			now := start
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(time.Microsecond)
				c, err := t.Pick(now, uint64(i), Request{})
				if err != nil {
					b.Fatal(err)
				}
				t.Finish(now, c, Outcome{Latency: time.Millisecond, Report: report})
			}
		})
	}
}
