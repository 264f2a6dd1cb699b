// Package platform is a stand-in (test double) for the platform's configuration
// service, for tests and the demonstration. It keeps published values in memory,
// enforces the service's rate limit, and injects faults.
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
	// DefaultRateLimit is the platform's limit on calls from all nodes, in calls
	// a second.
	DefaultRateLimit = 2000
	// MaxWait bounds the wait of one watch (long poll).
	MaxWait = 60 * time.Second

	headerTimeout   = 5 * time.Second
	lagPollInterval = 10 * time.Millisecond
	maxVersions     = 64      // versions kept of a value
	maxBodyBytes    = 8 << 20 // bytes of a published body
)

// Config configures a Server. Zero fields take their defaults.
type Config struct {
	// RateLimit is in calls a second; calls beyond it in a second of the clock get
	// status 429. The default is DefaultRateLimit.
	RateLimit int
	// Now returns the current time. The default is time.Now.
	Now func() time.Time
}

// Faults are the faults that readers see. They combine.
type Faults struct {
	// Outage makes every read fail with status 503.
	Outage bool `json:"outage"`
	// LagMillis delays the visibility of each publication, in milliseconds.
	LagMillis int `json:"lagMillis"`
	// Stale hides all publications after the time at which the fault was set.
	Stale bool `json:"stale"`
	// Backwards serves the version before the newest visible one, whatever
	// revision the reader already holds.
	Backwards bool `json:"backwards"`
}

// Stats are counts of readers' calls since the start.
type Stats struct {
	// Waiting is the number of reads and watches in flight; LastSecond and
	// PeakSecond are the calls in the current second and in the busiest one.
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
	rateLimit int
	now       func() time.Time

	mu            sync.Mutex
	versions      map[string][]version
	faults        Faults
	staleSince    time.Time
	changed       chan struct{} // closed at each publication and fault change
	stats         Stats
	currentSecond int64
	callsInSecond int
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
		rateLimit: c.RateLimit,
		now:       c.Now,
		versions:  make(map[string][]version),
		changed:   make(chan struct{}),
	}
}

// Serve handles requests on the listener until it is closed.
func (s *Server) Serve(listener net.Listener) error {
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
	return server.Serve(listener)
}

var revisionLine = regexp.MustCompile(`(?m)^revision:.*\n?`)

// Publish stores a new version of the named value and returns its revision,
// which is also written into the body as its first line.
func (s *Server) Publish(name string, body []byte) config.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.versions[name]
	revision := config.Revision(1)
	if len(list) > 0 {
		revision = list[len(list)-1].revision + 1
	}
	list = append(list, version{revision: revision, body: withRevision(body, revision), published: s.now()})
	if len(list) > maxVersions {
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
		s.staleSince = s.now()
	}
	s.faults = faults
	s.notify()
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	if s.now().Unix() == s.currentSecond {
		stats.LastSecond = s.callsInSecond
	}
	return stats
}

// notify wakes the waiting watches. The caller must hold mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// count records a call and reports whether it is within the rate limit.
func (s *Server) count() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := s.now().Unix(); second != s.currentSecond {
		s.currentSecond, s.callsInSecond = second, 0
	}
	s.callsInSecond++
	s.stats.Calls++
	s.stats.PeakSecond = max(s.stats.PeakSecond, s.callsInSecond)
	if s.callsInSecond > s.rateLimit {
		s.stats.Refused++
		return false
	}
	return true
}

// visible returns the version that is currently visible to readers, whether
// there is one, the faults, and a channel that is closed when any of them may
// have changed.
func (s *Server) visible(name string) (version, bool, Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visibleUntil := s.now().Add(-time.Duration(s.faults.LagMillis) * time.Millisecond)
	if s.faults.Stale && s.staleSince.Before(visibleUntil) {
		visibleUntil = s.staleSince
	}
	list := s.versions[name]
	newest := len(list) - 1
	for newest >= 0 && list[newest].published.After(visibleUntil) {
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
