// Package upstream is a stand-in (test double) for an upstream instance. It has
// slots, a cold start and its own load shedding, its health and load endpoints
// can be made to report wrong values, and it records every run and whether a
// caller's key reached it.
//
// Query parameters of a request control its run: work=MILLISECONDS,
// size=BYTES of the response, and call=PATH for calls through the local node.
// The response body repeats the request's X-Marker header, so that callers
// detect responses that are truncated or belong to another request.
package upstream

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// KeyPrefix is the prefix of every key of the demonstration. A request header or
// URL that contains it is a leak of a key. It is too long to occur by chance in
// the random text of a pass.
const KeyPrefix = "workspace-key-"

// Names of the headers that the stand-in reads and copies.
const (
	headerMarker = "X-Marker"
	headerPass   = "Toucancove-Pass"
	headerRun    = "Toucancove-Run"
)

// Config configures the stand-in.
type Config struct {
	// Slots is the number of requests processed concurrently; others wait in the
	// stand-in.
	Slots int
	// MaxWaiting is the number of waiting requests beyond which the stand-in
	// sheds; zero for no limit.
	MaxWaiting int
	// ColdStart is the time after New during which work takes ten times as long.
	ColdStart time.Duration
	// Loopback is the IP:port of the node's loopback listener, for calls to other
	// services.
	Loopback string
}

// Faults are the faults that tests inject while the stand-in runs.
type Faults struct {
	// SlowFactor multiplies the work time when it is above one.
	SlowFactor float64 `json:"slowFactor"`
	// Hang makes requests wait until their callers cancel them.
	Hang bool `json:"hang"`
	// FailFast responds with status 500 without doing the work.
	FailFast bool `json:"failFast"`
	// Cut closes the connection in the middle of a response.
	Cut bool `json:"cut"`
	// SkipWork responds immediately, without the work that a request specifies.
	SkipWork bool `json:"skipWork"`
	// Drain makes the health endpoint report that the instance is draining.
	Drain bool `json:"drain"`
	// ReportZero makes the load endpoint report no load.
	ReportZero bool `json:"reportZero"`
}

// Records are counts since the start of the stand-in.
type Records struct {
	// Runs is the number of requests that were not shed; Cancelled counts those
	// of them that ended with an error of their body, work or calls.
	Runs      int64 `json:"runs"`
	Completed int64 `json:"completed"`
	Shed      int64 `json:"shed"`
	Cancelled int64 `json:"cancelled"`
	KeyLeaks  int64 `json:"keyLeaks"`
	// MaxRunsPerMarker is the largest number of runs with the same X-Marker.
	MaxRunsPerMarker int   `json:"maxRunsPerMarker"`
	InFlight         int64 `json:"inFlight"`
	// Working is the number of requests that hold a slot.
	Working int `json:"working"`
}

// Server is one stand-in instance.
type Server struct {
	config  Config
	started time.Time
	slots   chan struct{}
	client  *http.Client

	runs, completed, shed, cancelled, keyLeaks atomic.Int64
	inFlight                                   atomic.Int64

	mu            sync.Mutex
	faults        Faults
	runsPerMarker map[string]int
}

// New returns a stand-in without faults.
func New(config Config) *Server {
	return &Server{
		config:        config,
		started:       time.Now(),
		slots:         make(chan struct{}, max(config.Slots, 1)),
		client:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		runsPerMarker: make(map[string]int),
	}
}

// Serve handles requests on the listener until it is closed.
func (s *Server) Serve(listener net.Listener) error { return http.Serve(listener, s.Handler()) }

// Handler returns the HTTP handler: /health, /load, /admin/records (JSON of
// Records), /admin/faults (POST with JSON of Faults), and requests to run on all
// other paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("GET /admin/records", s.getRecords)
	mux.HandleFunc("POST /admin/faults", s.postFaults)
	mux.HandleFunc("/", s.work)
	return mux
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Records returns the current counts.
func (s *Server) Records() Records {
	s.mu.Lock()
	defer s.mu.Unlock()
	maxRuns := 0
	for _, n := range s.runsPerMarker {
		maxRuns = max(maxRuns, n)
	}
	return Records{
		Runs: s.runs.Load(), Completed: s.completed.Load(), Shed: s.shed.Load(),
		Cancelled: s.cancelled.Load(), KeyLeaks: s.keyLeaks.Load(),
		MaxRunsPerMarker: maxRuns, InFlight: s.inFlight.Load(), Working: len(s.slots),
	}
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if s.currentFaults().Drain {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "draining")
		return
	}
	_, _ = io.WriteString(w, "ok")
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	load := float64(s.inFlight.Load()) / float64(cap(s.slots))
	if s.currentFaults().ReportZero {
		load = 0
	}
	_ = json.NewEncoder(w).Encode(map[string]float64{"load": load})
}

func (s *Server) getRecords(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Records())
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	faults := s.currentFaults()
	if waiting := int(s.inFlight.Load()) - cap(s.slots); s.config.MaxWaiting > 0 && waiting >= s.config.MaxWaiting {
		s.shed.Add(1)
		w.Header().Set(headerRun, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.record(r)
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	sum, err := digest(r.Body)
	if err != nil {
		s.cancelled.Add(1)
		return
	}
	if err := s.run(r, faults); err != nil {
		s.cancelled.Add(1)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	if faults.FailFast {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("X-Body-Sha256", sum)
	s.respond(w, r, faults)
	s.completed.Add(1)
}

// record counts the run and each place, header or URL, that contains a caller's
// key.
func (s *Server) record(r *http.Request) {
	s.runs.Add(1)
	for _, values := range r.Header {
		if strings.Contains(strings.Join(values, ","), KeyPrefix) {
			s.keyLeaks.Add(1)
		}
	}
	if strings.Contains(r.RequestURI, KeyPrefix) {
		s.keyLeaks.Add(1)
	}
	if marker := r.Header.Get(headerMarker); marker != "" {
		s.mu.Lock()
		s.runsPerMarker[marker]++
		s.mu.Unlock()
	}
}

func digest(body io.Reader) (string, error) {
	hash := sha256.New()
	if _, err := io.Copy(hash, body); err != nil {
		return "", err
	}
	return hex.EncodeToString(hash.Sum(nil)), nil
}

// run holds a slot for the work and the calls that the request specifies.
func (s *Server) run(r *http.Request, faults Faults) error {
	ctx := r.Context()
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if faults.Hang {
		<-ctx.Done()
		return ctx.Err()
	}
	if faults.FailFast || faults.SkipWork {
		return nil
	}
	work, _ := strconv.ParseFloat(r.URL.Query().Get("work"), 64)
	if err := sleep(ctx, s.workTime(work, faults)); err != nil {
		return err
	}
	for _, path := range r.URL.Query()["call"] {
		if err := s.call(ctx, r, path); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) workTime(ms float64, faults Faults) time.Duration {
	const coldFactor = 10
	work := time.Duration(ms * float64(time.Millisecond))
	if faults.SlowFactor > 1 {
		work = time.Duration(float64(work) * faults.SlowFactor)
	}
	if time.Since(s.started) < s.config.ColdStart {
		work *= coldFactor
	}
	return work
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// call sends a request to another service through the node, with the pass of the
// parent request.
func (s *Server) call(ctx context.Context, parent *http.Request, path string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.config.Loopback+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set(headerPass, parent.Header.Get(headerPass))
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("call of %s: status %d", path, resp.StatusCode)
	}
	return nil
}

// respond writes a response body that repeats the marker, of the requested size
// but at least the marker's length.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, faults Faults) {
	marker := r.Header.Get(headerMarker)
	if marker == "" {
		marker = "-"
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	size = max(size, len(marker))
	w.Header().Set(headerMarker, marker)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	if faults.Cut {
		_, _ = io.WriteString(w, marker[:len(marker)/2])
		panic(http.ErrAbortHandler)
	}
	writeRepeated(w, marker, size)
}

// writeRepeated writes size bytes of the marker's repetition.
func writeRepeated(w io.Writer, marker string, size int) {
	const chunkBytes = 32 << 10
	chunk := strings.Repeat(marker, chunkBytes/len(marker)+1)
	chunk = chunk[:len(chunk)/len(marker)*len(marker)]
	for size > 0 {
		n := min(size, len(chunk))
		if _, err := io.WriteString(w, chunk[:n]); err != nil {
			return
		}
		size -= n
	}
}
