package telemetry

import (
	"sync"
	"time"
)

// Sampler limits the rate of log lines of each kind of event with a token bucket.
// It counts the suppressed lines, so that the log can state how many are missing.
// It is safe for concurrent use.
type Sampler struct {
	perSecond float64
	burst     float64

	mu    sync.Mutex
	kinds map[string]*kindState
}

// kindState is the token bucket of one kind of event and the number of its
// suppressed lines.
type kindState struct {
	tokens     float64
	updated    time.Time
	suppressed int
}

// NewSampler returns a sampler that allows bursts of up to burst lines of each
// kind and perSecond lines per second on average.
func NewSampler(perSecond, burst float64) *Sampler {
	return &Sampler{perSecond: perSecond, burst: burst, kinds: make(map[string]*kindState)}
}

// Allow reports whether a line of the kind may be written, and how many lines of
// the kind were suppressed since the last one that was allowed.
func (s *Sampler) Allow(now time.Time, kind string) (suppressed int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil {
		k = &kindState{tokens: s.burst, updated: now}
		s.kinds[kind] = k
	}
	k.tokens = min(s.burst, k.tokens+s.perSecond*max(now.Sub(k.updated), 0).Seconds())
	k.updated = now
	if k.tokens < 1 {
		k.suppressed++
		return 0, false
	}
	k.tokens--
	suppressed, k.suppressed = k.suppressed, 0
	return suppressed, true
}
