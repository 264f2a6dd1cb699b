// Package platform is a stand-in for the platform's configuration service in
// tests and the demonstration. It keeps published values in memory, counts
// calls against the service's ceiling, and brings about its faults.
package platform

import (
	"bytes"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/toucancove/toucancove/config"
)

const (
	// DefaultRateLimit is the call rate of the platform, in calls a second.
	DefaultRateLimit = 2000
	// MaxWait bounds the wait of one watch.
	MaxWait = 60 * time.Second

	headerTimeout = 5 * time.Second
	lagPoll       = 10 * time.Millisecond
	history       = 64 // versions kept of a value
	maxPublished  = 8 << 20
)

// Config sets up a Server. Zero fields take their defaults.
type Config struct {
	// RateLimit is in calls a second. Calls above it are answered 429.
	RateLimit int
	// Now is the clock.
	Now func() time.Time
}

// Faults is what readers suffer from. Faults combine.
type Faults struct {
	// Outage answers every read with 503.
	Outage bool `json:"outage"`
	// LagMillis delays the sight of each publication, in milliseconds.
	LagMillis int `json:"lagMillis"`
	// Stale hides all publications after the fault was set.
	Stale bool `json:"stale"`
	// Backwards serves the version before the newest visible one, whatever
	// revision the reader already holds.
	Backwards bool `json:"backwards"`
}

// Stats counts calls of readers since the start.
type Stats struct {
	Calls      int64 `json:"calls"`
	Refused    int64 `json:"refused"`
	Waiting    int64 `json:"waiting"`
	BytesSent  int64 `json:"bytesSent"`
	LastSecond int   `json:"lastSecond"`
	PeakSecond int   `json:"peakSecond"`
}

type version struct {
	revision  config.Revision
	body      []byte
	published time.Time
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	ceiling int
	now     func() time.Time

	mu       sync.Mutex
	versions map[string][]version
	faults   Faults
	frozen   time.Time
	changed  chan struct{} // closed at each publication and fault change
	stats    Stats
	second   int64
	inSecond int
}

// New returns a server without values.
func New(c Config) *Server {
	if c.RateLimit == 0 {
		c.RateLimit = DefaultRateLimit
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Server{
		ceiling:  c.RateLimit,
		now:      c.Now,
		versions: make(map[string][]version),
		changed:  make(chan struct{}),
	}
}

// Serve answers on the listener until it is closed.
func (s *Server) Serve(listener net.Listener) error {
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
	return server.Serve(listener)
}

var revisionLine = regexp.MustCompile(`(?m)^revision:.*\n?`)

// Publish gives the named value a new body and returns its revision, which is
// written into the body as its first line.
func (s *Server) Publish(name string, body []byte) config.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.versions[name]
	revision := config.Revision(1)
	if len(list) > 0 {
		revision = list[len(list)-1].revision + 1
	}
	list = append(list, version{revision: revision, body: withRevision(body, revision), published: s.now()})
	if len(list) > history {
		list = list[1:]
	}
	s.versions[name] = list
	s.notify()
	return revision
}

func withRevision(body []byte, revision config.Revision) []byte {
	line := "revision: " + strconv.FormatUint(uint64(revision), 10) + "\n"
	return append([]byte(line), bytes.TrimLeft(revisionLine.ReplaceAll(body, nil), "\n")...)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Stale && !s.faults.Stale {
		s.frozen = s.now()
	}
	s.faults = faults
	s.notify()
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	if s.now().Unix() == s.second {
		stats.LastSecond = s.inSecond
	}
	return stats
}

// notify wakes the waiting watches. The caller holds mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// count records a call and tells whether it is within the ceiling.
func (s *Server) count() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := s.now().Unix(); second != s.second {
		s.second, s.inSecond = second, 0
	}
	s.inSecond++
	s.stats.Calls++
	s.stats.PeakSecond = max(s.stats.PeakSecond, s.inSecond)
	if s.inSecond > s.ceiling {
		s.stats.Refused++
		return false
	}
	return true
}

// visible returns the version that readers now see, the faults, and a channel
// that is closed when either may have changed.
func (s *Server) visible(name string) (version, bool, Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.now().Add(-time.Duration(s.faults.LagMillis) * time.Millisecond)
	if s.faults.Stale && s.frozen.Before(limit) {
		limit = s.frozen
	}
	list := s.versions[name]
	newest := len(list) - 1
	for newest >= 0 && list[newest].published.After(limit) {
		newest--
	}
	if s.faults.Backwards && newest > 0 {
		newest--
	}
	if newest < 0 {
		return version{}, false, s.faults, s.changed
	}
	return list[newest], true, s.faults, s.changed
}
