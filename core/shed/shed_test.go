package shed

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// chain is a load on a service deep in a call chain: what is admitted at the root
// presses on it a moment later, and its pressure is heard at the root after
// another moment.
type chain struct {
	// capacity is what the service can run, in requests per second.
	capacity float64
	delay    time.Duration
	history  []float64
}

const step = 10 * time.Millisecond

// press takes the requests admitted in one step and returns the pressure that is
// heard at the root now.
func (c *chain) press(admitted float64) float64 {
	c.history = append(c.history, admitted/step.Seconds()/c.capacity)
	lag := int(c.delay / step)
	if len(c.history) <= lag+20 {
		return 0
	}
	sum := 0.0
	for _, load := range c.history[len(c.history)-lag-20 : len(c.history)-lag] {
		sum += load
	}
	load := sum / 20
	if load > 1 {
		return load + 2*(load-1) // requests wait
	}
	return load
}

// stream is the load of one rank.
type stream struct {
	gate            *Gate
	rate            float64
	asked, admitted float64
}

func (s *stream) offer(now time.Time, random *rand.Rand, counted bool) (admitted float64) {
	expected := s.rate * step.Seconds()
	count := int(expected)
	if random.Float64() < expected-float64(count) {
		count++
	}
	for range count {
		ok := s.gate.Admit(now, false, random.Float64())
		if counted {
			s.asked++
		}
		if ok {
			admitted++
			if counted {
				s.admitted++
			}
		}
	}
	return admitted
}

// The deepest service of a chain is offered twice what it can run.
func TestOverloadedChainRunsAtItsCapacity(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	c := &chain{capacity: 500, delay: 300 * time.Millisecond}
	urgent := &stream{gate: NewGate(1), rate: 200}
	lesser := &stream{gate: NewGate(0), rate: 800}
	const length = 30 * time.Second
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		counted := at > 5*time.Second
		pressure := c.press(urgent.offer(now, random, counted) + lesser.offer(now, random, counted))
		urgent.gate.Observe(now, pressure)
		lesser.gate.Observe(now, pressure)
	}
	if share := urgent.admitted / urgent.asked; share < 0.97 {
		t.Errorf("%.3f of the urgent requests admitted, want 0.97", share)
	}
	load := (urgent.admitted + lesser.admitted) / (length - 5*time.Second).Seconds() / c.capacity
	if load < 0.9 || load > 1.1 {
		t.Errorf("admitted %.2f of the capacity, want 0.9 to 1.1", load)
	}
}

// Three kinds of work lead to a service that can run 500 of 1100 requests a
// second. Each has ranks of its own among eight that are published.
func TestUrgentRanksGoFirst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 4))
	c := &chain{capacity: 500, delay: 300 * time.Millisecond}
	urgent := &stream{gate: NewGate(1), rate: 200}
	middle := &stream{gate: NewGate(5.0 / 7), rate: 500}
	least := &stream{gate: NewGate(1.0 / 7), rate: 400}
	streams := []*stream{urgent, middle, least}
	for at := time.Duration(0); at < 40*time.Second; at += step {
		now := start.Add(at)
		admitted := 0.0
		for _, s := range streams {
			admitted += s.offer(now, random, at > 10*time.Second)
		}
		pressure := c.press(admitted)
		for _, s := range streams {
			s.gate.Observe(now, pressure)
		}
	}
	share := func(s *stream) float64 { return s.admitted / s.asked }
	if share(urgent) < 0.95 || share(middle) < 0.4 || share(least) > 0.1 {
		t.Errorf("admitted %.2f, %.2f and %.2f, the most urgent first; want at least 0.95 and 0.4, and at most 0.1",
			share(urgent), share(middle), share(least))
	}
}

func TestCalmChainRefusesNothing(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	c := &chain{capacity: 500, delay: 300 * time.Millisecond}
	lesser := &stream{gate: NewGate(0), rate: 400}
	for at := time.Duration(0); at < 30*time.Second; at += step {
		now := start.Add(at)
		lesser.gate.Observe(now, c.press(lesser.offer(now, random, true)))
	}
	if refused := lesser.asked - lesser.admitted; refused > 0 {
		t.Errorf("%v of %v requests refused at 0.8 of the capacity", refused, lesser.asked)
	}
}

// A burst of four times the capacity ends; nearly all are admitted soon after.
func TestRecoveryAfterBurst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 3))
	c := &chain{capacity: 500, delay: 300 * time.Millisecond}
	lesser := &stream{gate: NewGate(0), rate: 2000}
	const burst = 10 * time.Second
	for at := time.Duration(0); at < burst+10*time.Second; at += step {
		now := start.Add(at)
		if at == burst {
			lesser.rate = 300
		}
		lesser.gate.Observe(now, c.press(lesser.offer(now, random, at > burst+3*time.Second)))
	}
	if share := lesser.admitted / lesser.asked; share < 0.95 {
		t.Errorf("%.3f admitted later than 3 s after the burst, want 0.95", share)
	}
}

func TestReturnedRequestsGoFirst(t *testing.T) {
	gate := NewGate(0)
	for i := range 300 {
		now := start.Add(time.Duration(i) * step)
		gate.Observe(now, 3)
		gate.Admit(now, false, 1)
	}
	share := gate.Share()
	if share > 0.2 {
		t.Fatalf("share %.2f under threefold pressure", share)
	}
	now := start.Add(300 * step)
	if gate.Admit(now, false, 2*share) || !gate.Admit(now, true, 2*share) {
		t.Error("want a returned request admitted where a new one is not")
	}
}

func TestOldPressureIsForgotten(t *testing.T) {
	var s Signal
	s.Observe(start, 5)
	if v := s.Value(start.Add(signalLife / 2)); v != 5 {
		t.Errorf("value %v, want 5", v)
	}
	if v := s.Value(start.Add(2 * signalLife)); v != 0 {
		t.Errorf("value %v long after the last answer, want 0", v)
	}
}
