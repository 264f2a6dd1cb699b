// Package store is a stand-in (test double) for the platform's metadata store,
// for tests and the fault-injection soak. It keeps keys in memory and serves
// paginated range reads and watches over HTTP. Watches resume from a revision;
// a watch from a compacted revision gets status 410. It can be restored from a backup
// that lacks the latest changes.
package store

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is one key of the store, or its removal. Revision is the store's revision
// after the change, Created that after the creation of the key.
type Item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Removed  bool   `json:",omitempty"`
}

// Faults are the faults that tests inject.
type Faults struct {
	// Status is the status of all responses when it is not zero.
	Status int
	// Delay is added to the latency of each response.
	Delay time.Duration
	// WithholdEvents keeps watches from returning events while it is set.
	WithholdEvents bool
	// AppliesTo selects the callers that get Status by their IP address; nil selects
	// all.
	AppliesTo func(ip string) bool
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	// PageItems is the largest number of items in a page of a range.
	PageItems int

	mu sync.Mutex
	// era counts the restorations from a backup.
	era      uint64
	revision uint64
	items    map[string]Item
	history  []Item
	backup   backup
	// compactedRevision is the revision of the last compaction. Watches from an
	// earlier revision get status 410.
	compactedRevision uint64
	changed           chan struct{}
	faults            Faults
	calls             int
}

// backup is a copy of the data at one revision.
type backup struct {
	revision uint64
	items    map[string]Item
}

// New returns an empty store.
func New() *Store {
	return &Store{PageItems: 500, items: make(map[string]Item), changed: make(chan struct{}), revision: 1, era: 1}
}

// Backup copies the data for a later Restore.
func (s *Store) Backup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = backup{revision: s.revision, items: maps.Clone(s.items)}
}

// Restore brings the store back to the data of the last Backup and begins a new era.
// The revisions since are given out again.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items = s.backup.revision, maps.Clone(s.backup.items)
	kept := s.history[:0]
	for _, item := range s.history {
		if item.Revision <= s.revision {
			kept = append(kept, item)
		}
	}
	s.history = kept
	s.notify()
}

// Put writes a key and returns the new revision of the store.
func (s *Store) Put(key string, value []byte) uint64 {
	return s.write(Item{Key: key, Value: value})
}

// Delete removes a key and returns the new revision of the store.
func (s *Store) Delete(key string) uint64 { return s.write(Item{Key: key, Removed: true}) }

func (s *Store) write(item Item) uint64 {
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
	s.notify()
	return s.revision
}

// notify wakes the waiting watches. The caller must hold mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact compacts the store at the current revision: it discards the
// history of changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notify()
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
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
	faults, era := s.faults, s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	ip, _, _ := strings.Cut(r.RemoteAddr, ":")
	time.Sleep(faults.Delay)
	if faults.Status != 0 && (faults.AppliesTo == nil || faults.AppliesTo(ip)) {
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
	response := struct {
		Items         []Item `json:"items"`
		HasMore       bool
		StoreRevision uint64
	}{Items: []Item{}, HasMore: len(keys) > s.PageItems, StoreRevision: s.revision}
	for _, key := range keys[:min(len(keys), s.PageItems)] {
		response.Items = append(response.Items, s.items[key])
	}
	writeJSON(w, response)
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
		events, changed, revision := s.since(query.Get("Prefix"), after), s.changed, s.revision
		compacted := after < s.compactedRevision || after > s.revision
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		if s.faults.WithholdEvents {
			events = nil
		}
		s.mu.Unlock()
		if compacted {
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

// since returns the changes after a revision. The caller must hold mu.
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
	// Encoding fails only if the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(value)
}
