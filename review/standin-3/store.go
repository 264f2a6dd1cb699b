//go:build review

package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is one key of the metadata store, or its removal.
type storeItem struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64
	Removed  bool `json:",omitempty"`
}

// store is a stand-in for the platform's metadata store: range reads and watches. It
// loses nothing and its answers are linearizable.
type store struct {
	mu sync.Mutex
	// era counts the restorations from a copy.
	era      int
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
	// copied is the data of the last backup. away is set while the store answers nothing.
	copied struct {
		revision uint64
		items    map[string]storeItem
	}
	away bool
}

func newStore() *store {
	return &store{era: 1, revision: 1, items: make(map[string]storeItem), changed: make(chan struct{})}
}

func (s *store) put(key string, value []byte) { s.write(storeItem{Key: key, Value: value}) }

func (s *store) remove(key string) {
	s.mu.Lock()
	_, exists := s.items[key]
	s.mu.Unlock()
	if exists {
		s.write(storeItem{Key: key, Removed: true})
	}
}

func (s *store) write(item storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision = s.revision
	if item.Removed {
		delete(s.items, item.Key)
	} else {
		item.Created = s.revision
		if before, exists := s.items[item.Key]; exists {
			item.Created = before.Created
		}
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// backup copies the data.
func (s *store) backup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied.revision, s.copied.items = s.revision, maps.Clone(s.items)
}

// restore goes back to the copy. The revisions since are given out again.
func (s *store) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items = s.copied.revision, maps.Clone(s.copied.items)
	s.history = slices.DeleteFunc(s.history, func(i storeItem) bool { return i.Revision > s.revision })
	close(s.changed)
	s.changed = make(chan struct{})
}

// setAway makes the store answer with 503 and cuts the watches that wait.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	switch r.URL.Path {
	case "/kv-range":
		s.serveRange(w, query.Get("Prefix"), query.Get("after"))
	case "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("WaitMs"))
		s.serveWatch(w, r, era, query.Get("Prefix"), after, time.Duration(min(wait, 30000))*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "HasMore": more, "StoreRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, era int, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.away || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // the watch is cut
		}
		if after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-timer.C:
				done = true
			case <-r.Context().Done():
				return
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "StoreRevision": revision})
		return
	}
}
