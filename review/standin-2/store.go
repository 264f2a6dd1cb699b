package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store: items with revisions, range
// reads in pages, and watches. History older than historyFor is discarded.
type Store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []event
	dropped  uint64 // the newest revision whose event is no longer kept
	era      int
	changed  chan struct{}
	down     bool
}

const (
	historyFor = 20 * time.Second
	pageItems  = 500
	pageBytes  = 1 << 20
)

type item struct {
	Key      string
	Value    []byte
	Revision uint64
	Created  uint64
	Lease    uint64
}

type event struct {
	at      time.Time
	item    item
	removed bool
}

func newStore(address string) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{listener: listener, revision: 100, era: 1, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.handleRange)
	mux.HandleFunc("GET /kv-watch", s.handleWatch)
	mux.HandleFunc("GET /kv-key", s.handleKey)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// Put writes a value and returns the time of the confirmation.
func (s *Store) Put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created}
	s.items[key] = i
	s.append(event{item: i})
	return time.Now()
}

// Delete removes keys, and returns the time of the confirmation.
func (s *Store) Delete(keys ...string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		if _, ok := s.items[key]; !ok {
			continue
		}
		delete(s.items, key)
		s.revision++
		s.append(event{item: item{Key: key, Revision: s.revision}, removed: true})
	}
	return time.Now()
}

func (s *Store) append(e event) {
	e.at = time.Now()
	s.history = append(s.history, e)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyFor {
		s.dropped = s.history[0].item.Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown makes the store answer 503 to everything, or serve again.
func (s *Store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// Backup is a copy of the store.
type Backup struct {
	items    map[string]item
	revision uint64
}

func (s *Store) backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{maps.Clone(s.items), s.revision}
}

// restore brings the store back from a copy: revisions go back, the era rises by one.
func (s *Store) restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.revision, s.history, s.dropped = maps.Clone(b.items), b.revision, nil, b.revision
	s.era++
	s.down = false
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func reply(w http.ResponseWriter, era int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(era))
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("Key")]
	era := s.era
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, era, i)
}

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	out := struct {
		Items         []item `json:"items"`
		HasMore       bool
		StoreRevision uint64
	}{StoreRevision: s.revision}
	size := 0
	for _, key := range keys {
		if len(out.Items) == pageItems || size >= pageBytes {
			out.HasMore = true
			break
		}
		out.Items = append(out.Items, s.items[key])
		size += len(s.items[key].Value)
	}
	era := s.era
	s.mu.Unlock()
	reply(w, era, out)
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	prefix := query.Get("Prefix")
	deadline := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		for len(s.history) > 0 && time.Since(s.history[0].at) > historyFor {
			s.dropped = s.history[0].item.Revision
			s.history = s.history[1:]
		}
		if after < s.dropped || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []any{}
		for _, e := range s.history {
			switch {
			case e.item.Revision <= after || !strings.HasPrefix(e.item.Key, prefix):
			case e.removed:
				events = append(events, map[string]any{"Key": e.item.Key, "Revision": e.item.Revision, "Removed": true})
			default:
				events = append(events, e.item)
			}
		}
		revision, era, changed := s.revision, s.era, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, era, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			reply(w, era, map[string]any{"events": []any{}, "StoreRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
