package telemetry

import (
	"sync"
	"time"
)

// Sampler bounds the lines of each kind of event: a burst, then so many in a
// second. It counts what it left out, so that a log tells how much is missing.
// It is safe for concurrent use.
type Sampler struct {
	perSecond float64
	burst     float64

	mu    sync.Mutex
	kinds map[string]*sampledKind
}

type sampledKind struct {
	tokens  float64
	at      time.Time
	leftOut int
}

// NewSampler returns a sampler that allows each kind a burst of lines and
// perSecond lines in a second.
func NewSampler(perSecond, burst float64) *Sampler {
	return &Sampler{perSecond: perSecond, burst: burst, kinds: make(map[string]*sampledKind)}
}

// Allow reports whether a line of the kind may be written, and how many of the
// kind were left out since the last one.
func (s *Sampler) Allow(now time.Time, kind string) (leftOut int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil {
		k = &sampledKind{tokens: s.burst, at: now}
		s.kinds[kind] = k
	}
	k.tokens = min(s.burst, k.tokens+s.perSecond*max(now.Sub(k.at), 0).Seconds())
	k.at = now
	if k.tokens < 1 {
		k.leftOut++
		return 0, false
	}
	k.tokens--
	leftOut, k.leftOut = k.leftOut, 0
	return leftOut, true
}
