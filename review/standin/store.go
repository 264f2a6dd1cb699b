package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store. Value is base64 in JSON.
type item struct {
	Key      string
	Value    []byte
	Revision uint64
	Created  uint64
	Lease    uint64
}

// event is one change, as a watch returns it.
type event struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64 `json:",omitempty"`
	Removed  bool   `json:",omitempty"`
}

// Store is the platform's metadata store, with the calls that nodes may make.
type Store struct {
	Address string

	server *http.Server
	mu     sync.Mutex
	rev    uint64
	items  map[string]item
	events []event
	// changed is closed and replaced with each change.
	changed chan struct{}
	// down is set while the store refuses all calls.
	down bool
}

// NewStore starts a store on an address.
func NewStore(address string) (*Store, error) {
	s := &Store{Address: address, rev: 100, items: make(map[string]item), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/kv-key", s.key)
	mux.HandleFunc("/kv-range", s.list)
	mux.HandleFunc("/kv-watch", s.watch)
	s.server = &http.Server{Handler: s.unlessDown(mux)}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// SetDown makes the store answer no call, or answer again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// unlessDown answers 503 while the store is down: nothing was done.
func (s *Store) unlessDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes keys in one go.
func (s *Store) Put(values map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, value := range values {
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		s.rev++
		next := item{Key: key, Value: raw, Revision: s.rev, Created: s.rev}
		if old, ok := s.items[key]; ok {
			next.Created = old.Created
		}
		s.items[key] = next
		s.events = append(s.events, event{Key: key, Value: raw, Revision: next.Revision, Created: next.Created})
	}
	s.notify()
}

// Remove removes keys.
func (s *Store) Remove(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		if _, ok := s.items[key]; !ok {
			continue
		}
		delete(s.items, key)
		s.rev++
		s.events = append(s.events, event{Key: key, Revision: s.rev, Removed: true})
	}
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[r.URL.Query().Get("Key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		StoreRevision uint64
	}{found, s.rev})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("after")
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, map[string]any{"items": items, "HasMore": false, "StoreRevision": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("Prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed, down := s.rev, s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				expired = true
			}
		}
		if len(events) > 0 || expired {
			reply(w, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
