//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// restartAfter is how long a crashed server is away.
	restartAfter = 2 * time.Second
)

// run is a request that a server received.
type run struct {
	id, server, caller, tenant string
	path                       string
	body                       []byte
	at                         time.Time
	deadline                   time.Time
}

// server is a stand-in for an application server. It registers itself in the store, runs as
// many requests as it has slots, queues a few more, and rejects the others.
type server struct {
	fleet   *fleet
	service string
	address string
	zone    string
	slots   int

	// serve does the work of a request. It returns a status and a body, or false to
	// crash the server.
	serve func(ctx context.Context, s *server, r *run) (status int, body []byte, alive bool)

	// wrote receives a value when the entry was written between two heartbeats.
	wrote chan struct{}

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	state    string
	listed   bool
	http     *http.Server
	// free holds a token for each free slot.
	free    chan struct{}
	running atomic.Int64
	waiting atomic.Int64
	down    bool
}

// start starts a new boot of the server.
func (s *server) start() error {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.id = "i-" + randomHex(4)
	s.born, s.sequence, s.state, s.listed, s.down = time.Now().UnixMilli(), 0, "ready", true, false
	s.free = make(chan struct{}, s.slots)
	for range s.slots {
		s.free <- struct{}{}
	}
	s.http = &http.Server{
		Handler:     http.HandlerFunc(s.handle),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		IdleTimeout: 10 * time.Second,
	}
	started := s.http
	s.mu.Unlock()
	go func() { _ = started.Serve(listener) }()
	s.beat()
	return nil
}

type connKey struct{}

// beat writes the entry of the server.
func (s *server) beat() {
	s.mu.Lock()
	if !s.listed || s.down {
		s.mu.Unlock()
		return
	}
	s.sequence++
	entry, _ := json.Marshal(map[string]any{
		"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": s.slots, "State": s.state,
		"ColdRemainingS": 0, "Sequence": s.sequence, "born": s.born,
	})
	key := "servers/" + s.id
	s.mu.Unlock()
	s.fleet.store.put(key, entry)
}

// heartbeats writes the entry every heartbeat until ctx ends.
func (s *server) heartbeats(ctx context.Context) {
	timer := time.NewTimer(heartbeat)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			s.beat()
		case <-s.wrote: // the next heartbeat counts from here
		}
		timer.Reset(heartbeat)
	}
}

// crash ends the process of the server: its listener and all its connections. The entry
// lapses after three heartbeats of silence. Another boot starts after restartAfter.
func (s *server) crash() {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	ended, id := s.http, s.id
	s.mu.Unlock()
	_ = ended.Close()
	time.AfterFunc(3*heartbeat, func() { s.fleet.store.remove("servers/" + id) })
	time.AfterFunc(restartAfter, func() {
		if err := s.start(); err != nil {
			s.fleet.record("server %s can't start again: %v", s.address, err)
		}
	})
}

// drain reports draining.
func (s *server) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.beat()
	s.wrote <- struct{}{}
}

// exit ends the process of the server as planned: it removes its entry.
func (s *server) exit() {
	s.mu.Lock()
	s.down = true
	ended, id := s.http, s.id
	s.mu.Unlock()
	_ = ended.Close()
	s.fleet.store.remove("servers/" + id)
}

func (s *server) currentID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, free := s.id, s.free
	s.mu.Unlock()
	header := w.Header()
	header.Set("Server-Load", fmt.Sprintf("%d,%d,%d", s.running.Load(), s.waiting.Load(), s.slots))
	requestID := r.Header.Get("Request-Id")
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != id {
		header.Set("Instance-Id", id)
		header.Set("Request-Id", requestID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		header.Set("Instance-Id", id)
		return
	}
	header.Set("Request-Id", requestID)
	reject := func() {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	millis, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		millis = 30000
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request is not complete
	}
	arrived := &run{
		id: requestID, server: id, caller: r.Header.Get("Caller-Service"), tenant: r.Header.Get("Tenant"),
		path: r.RequestURI, body: body, at: time.Now(), deadline: time.Now().Add(time.Duration(millis) * time.Millisecond),
	}
	s.fleet.arrived(s, arrived)
	ctx, cancel := context.WithDeadline(r.Context(), arrived.deadline)
	defer cancel()
	if s.waiting.Add(1) > int64(s.slots) {
		s.waiting.Add(-1)
		reject()
		return
	}
	select {
	case <-free:
		s.waiting.Add(-1)
	case <-ctx.Done():
		s.waiting.Add(-1)
		reject()
		return
	}
	s.running.Add(1)
	defer func() {
		s.running.Add(-1)
		free <- struct{}{}
	}()
	status, answer, alive := s.serve(ctx, s, arrived)
	if !alive {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	header.Set("Server-Signature", "sig-"+requestID)
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// work takes a time unless the request ends before.
func work(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// answer is what a client got.
type answer struct {
	id        string
	status    int // 0 for a connection that ended without a whole answer
	signature string
	body      []byte
	sent      time.Time
	took      time.Duration
	err       error
}

// chunks hides the length of a body, so that it is sent in chunks.
type chunks struct{ *bytes.Reader }

// caller sends requests from one IP address.
type caller struct{ client *http.Client }

func newCaller(ip string) *caller {
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return &caller{client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 8 * time.Second,
	}}}
}

type request struct {
	method, host, path, key string
	body                    []byte
	chunked                 bool
	limit                   time.Duration
}

// send sends one attempt to the outbound address of a machine.
func (c *caller) send(ctx context.Context, address string, q request) answer {
	return c.sendAs(ctx, address, q, func(string) {})
}

// sendAs is send that tells the id of the request before it is sent.
func (c *caller) sendAs(ctx context.Context, address string, q request, tell func(id string)) answer {
	a := answer{id: randomHex(8), sent: time.Now()}
	tell(a.id)
	ctx, cancel := context.WithTimeout(ctx, q.limit)
	defer cancel()
	var body io.Reader
	switch {
	case q.chunked:
		body = struct{ io.Reader }{chunks{bytes.NewReader(q.body)}}
	case q.body != nil:
		body = bytes.NewReader(q.body)
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, body)
	if err != nil {
		a.err = err
		return a
	}
	r.Host = q.host
	r.Header.Set("Request-Id", a.id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(q.limit.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("Credential", q.key)
	}
	response, err := c.client.Do(r)
	if err != nil {
		a.err, a.took = err, time.Since(a.sent)
		return a
	}
	defer response.Body.Close()
	a.body, err = io.ReadAll(response.Body)
	a.took = time.Since(a.sent)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.signature = response.StatusCode, response.Header.Get("Server-Signature")
	return a
}
