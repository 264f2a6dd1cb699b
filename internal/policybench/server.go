package policybench

import (
	"math"
	"time"
)

// thrashing is the slowdown of an overloaded server: its speed is divided by
// 1 + thrashing for each multiple of its slots that it holds beyond the first.
const thrashing = 0.1

// Discipline is the service discipline for requests beyond the slots of a server.
type Discipline uint8

// Service disciplines.
const (
	// Queueing queues requests in the server, first in first out.
	Queueing Discipline = iota
	// ProcessorSharing runs all requests concurrently; they share the capacity.
	ProcessorSharing
)

// String returns the name of the discipline.
func (d Discipline) String() string { return [...]string{"queueing", "sharing"}[d] }

// job is a request that a server has accepted.
type job struct {
	work     time.Duration // service time at full speed
	end      float64       // value of the work clock at which the work is done
	index    int           // position in the heap; -1 if not working
	waiting  bool
	holding  bool // work done, slot held during a downstream call
	finished func()
}

// server simulates an upstream whose number of slots the guard doesn't know. It
// holds a job until release or abort is called.
type server struct {
	events      *events
	slots       int
	connections int
	discipline  Discipline
	speed       func(now time.Duration) float64

	clock            float64 // work done on a job that has been working since the start, in seconds
	clockAt          time.Duration
	lastRate         float64
	working          []*job // heap by end
	waiting          []*job
	holding          int
	connectionsInUse int
	version          uint64 // invalidates scheduled completions
}

// accept accepts a job. It returns false if all connections are in use.
func (s *server) accept(j *job) bool {
	if s.connectionsInUse >= s.connections {
		return false
	}
	s.advance()
	s.connectionsInUse++
	j.index = -1
	if s.discipline == Queueing && len(s.working)+s.holding >= s.slots {
		j.waiting = true
		s.waiting = append(s.waiting, j)
	} else {
		s.work(j)
	}
	s.schedule()
	return true
}

func (s *server) work(j *job) {
	j.waiting = false
	j.end = s.clock + j.work.Seconds()
	j.index = len(s.working)
	s.working = append(s.working, j)
	s.siftUp(j.index)
}

// release removes a job that has finished its work.
func (s *server) release(j *job) {
	s.advance()
	if j.holding {
		j.holding = false
		s.holding--
	}
	s.closeConnection()
}

// abort removes a job in any state.
func (s *server) abort(j *job) {
	s.advance()
	switch {
	case j.waiting:
		for i, w := range s.waiting {
			if w == j {
				s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
				break
			}
		}
	case j.index >= 0:
		s.remove(j)
	case j.holding:
		j.holding = false
		s.holding--
	}
	s.closeConnection()
}

func (s *server) closeConnection() {
	s.connectionsInUse--
	s.admitWaiting()
	s.schedule()
}

func (s *server) admitWaiting() {
	for len(s.waiting) > 0 && len(s.working)+s.holding < s.slots {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.work(j)
	}
}

// rate returns the speed of each working job.
func (s *server) rate() float64 {
	r := s.speed(s.events.now)
	over := float64(s.connectionsInUse)/float64(s.slots) - 1
	r /= 1 + thrashing*math.Max(0, over)
	if s.discipline == ProcessorSharing && len(s.working) > 0 {
		r *= math.Min(1, math.Max(1, float64(s.slots-s.holding))/float64(len(s.working)))
	}
	return r
}

// advance advances the work clock to now. The rate is constant between two calls:
// every event of the server and every change of speed calls advance.
func (s *server) advance() {
	s.clockAt, s.clock = s.events.now, s.clockNow()
}

func (s *server) clockNow() float64 {
	return s.clock + (s.events.now-s.clockAt).Seconds()*s.lastRate
}

// schedule schedules the next completion and invalidates the scheduled one.
func (s *server) schedule() {
	s.version++
	s.lastRate = s.rate()
	if len(s.working) == 0 || s.lastRate <= 0 {
		return
	}
	version := s.version
	left := (s.working[0].end - s.clock) / s.lastRate
	s.events.after(time.Duration(math.Ceil(left*1e9)), func() {
		if version == s.version {
			s.complete()
		}
	})
}

func (s *server) complete() {
	s.advance()
	j := s.working[0]
	s.remove(j)
	j.holding = true
	s.holding++
	s.schedule()
	j.finished()
}

// speedChanged must be called at each time at which the speed function changes.
func (s *server) speedChanged() {
	s.advance()
	s.schedule()
}

func (s *server) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if s.working[i].end >= s.working[parent].end {
			return
		}
		s.swap(i, parent)
		i = parent
	}
}

func (s *server) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(s.working) {
			return
		}
		if child+1 < len(s.working) && s.working[child+1].end < s.working[child].end {
			child++
		}
		if s.working[child].end >= s.working[i].end {
			return
		}
		s.swap(i, child)
		i = child
	}
}

func (s *server) swap(i, k int) {
	s.working[i], s.working[k] = s.working[k], s.working[i]
	s.working[i].index, s.working[k].index = i, k
}

func (s *server) remove(j *job) {
	i, last := j.index, len(s.working)-1
	s.swap(i, last)
	s.working = s.working[:last]
	j.index = -1
	if i < last {
		s.siftUp(i)
		s.siftDown(i)
	}
}
