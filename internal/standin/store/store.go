// Package store is a stand-in for the platform's metadata store, for tests and
// the fault soak. It keeps keys in memory and serves ranges, in pages, and
// watches over HTTP.
package store

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is one key of the store, or its removal.
type Item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Removed  bool `json:",omitempty"`
}

// Faults make the store misbehave.
type Faults struct {
	// Status answers all calls when it is not zero.
	Status int
	// Delay holds each answer back.
	Delay time.Duration
	// Mute lets watches hear nothing.
	Mute bool
	// Refuse selects callers by their IP address; nil selects all.
	Refuse func(ip string) bool
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	// PageItems is the size of a page.
	PageItems int

	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	history  []Item
	// dropped is the revision up to which the history was dropped.
	dropped uint64
	changed chan struct{}
	faults  Faults
	calls   int
}

// New returns an empty store.
func New() *Store {
	return &Store{PageItems: 500, items: make(map[string]Item), changed: make(chan struct{}), revision: 1}
}

// Put writes a key and returns the revision.
func (s *Store) Put(key string, value []byte) uint64 {
	return s.write(Item{Key: key, Value: value})
}

// Delete removes a key and returns the revision.
func (s *Store) Delete(key string) uint64 { return s.write(Item{Key: key, Removed: true}) }

func (s *Store) write(item Item) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision = s.revision
	if item.Removed {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	s.wake()
	return s.revision
}

// wake ends the waits of watches. The lock must be held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory forgets all changes so far.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
	s.wake()
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	faults := s.faults
	s.mu.Unlock()
	ip, _, _ := strings.Cut(r.RemoteAddr, ":")
	time.Sleep(faults.Delay)
	if faults.Status != 0 && (faults.Refuse == nil || faults.Refuse(ip)) {
		w.WriteHeader(faults.Status)
		return
	}
	switch r.URL.Path {
	case "/kv-range":
		s.serveRange(w, r)
	case "/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	answer := struct {
		Items         []Item `json:"items"`
		HasMore       bool
		StoreRevision uint64
	}{Items: []Item{}, HasMore: len(keys) > s.PageItems, StoreRevision: s.revision}
	for _, key := range keys[:min(len(keys), s.PageItems)] {
		answer.Items = append(answer.Items, s.items[key])
	}
	writeJSON(w, answer)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("WaitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, lost, changed, revision := s.since(query.Get("Prefix"), after), after < s.dropped, s.changed, s.revision
		if s.faults.Mute {
			events = nil
		}
		s.mu.Unlock()
		if lost {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeWatch(w, events, revision)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeWatch(w, nil, after)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes after a revision. The lock must be held.
func (s *Store) since(prefix string, after uint64) []Item {
	var events []Item
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events
}

func writeWatch(w http.ResponseWriter, events []Item, revision uint64) {
	if events == nil {
		events = []Item{}
	}
	writeJSON(w, struct {
		Events        []Item `json:"events"`
		StoreRevision uint64
	}{events, revision})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(value)
}
