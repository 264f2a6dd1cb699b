package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
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

// Server is a stand-in for an application server. It runs up to Slots requests at a time,
// queues a few more, and answers the rest 503 with Not-Executed.
type Server struct {
	id, address, zone, service string
	slots                      int
	work                       time.Duration
	born                       int64
	// onRun is called for each request that reaches the server, before it runs.
	onRun func(s *Server, r *http.Request, at time.Time)
	// onDone is called once a request has run; complete is false if its connection
	// closed before.
	onDone func(s *Server, r *http.Request, complete bool)

	// loses reports whether the answer to a request that has run is lost: its connection is
	// reset instead.
	loses func(r *http.Request) bool
	// calls are made, side by side, while a request runs; one that fails makes the
	// answer 500.
	calls func(r *http.Request, left time.Duration) []Call
	// onAnswer is called with the answer to each call.
	onAnswer func(a Answer)

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	running  chan struct{}
	sequence int
	state    string
}

func (m *Machine) startServer(slots int, work time.Duration) (*Server, error) {
	listener, err := net.Listen("tcp", m.serve())
	if err != nil {
		return nil, err
	}
	s := &Server{
		id: "i-" + m.name, address: m.serve(), zone: m.zone, service: m.service, slots: slots, work: work,
		born: time.Now().UnixMilli(), listener: listener, conns: map[net.Conn]bool{}, running: make(chan struct{}, slots), state: "ready",
	}
	m.server = s
	go s.accept()
	s.publish(m.world.store)
	return s, nil
}

// publish writes the server's entry and returns the time of the confirmation.
func (s *Server) publish(store *Store) time.Time {
	s.mu.Lock()
	s.sequence++
	value, _ := json.Marshal(map[string]any{
		"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": s.slots, "State": s.state,
		"ColdRemainingS": 0, "Sequence": s.sequence, "born": s.born,
	})
	s.mu.Unlock()
	return store.Put("servers/"+s.id, value)
}

// drain reports that the server is draining.
func (s *Server) drain(store *Store) time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	return s.publish(store)
}

// stop ends the server: its listener and all connections are closed.
func (s *Server) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		if c, ok := conn.(*net.TCPConn); ok {
			_ = c.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go func() {
			s.serve(conn)
			_ = conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

// signature is the proof of an answer.
func signature(id string, body []byte) string {
	sum := sha256.Sum256(append([]byte(id), body...))
	return hex.EncodeToString(sum[:8])
}

func (s *Server) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, s.id)
			continue
		}
		if s.onRun != nil {
			s.onRun(s, r, time.Now())
		}
		select {
		case s.running <- struct{}{}:
		default:
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		work := s.work
		if ms, err := strconv.Atoi(r.URL.Query().Get("work")); err == nil {
			work = time.Duration(ms) * time.Millisecond
		}
		started := time.Now()
		time.Sleep(work)
		failed := s.makeCalls(r, started)
		<-s.running
		if s.loses != nil && s.loses(r) {
			if c, ok := conn.(*net.TCPConn); ok {
				_ = c.SetLinger(0)
			}
			return
		}
		if failed {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: %s\r\nServer-Signature: %s\r\nContent-Length: 0\r\n\r\n", id, signature(id, nil))
			continue
		}
		answer := []byte(fmt.Sprintf("%s %s %d", id, s.id, len(body)))
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %s\r\nServer-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n%s",
			id, signature(id, answer), len(s.running), s.slots, len(answer), answer)
		if s.onDone != nil {
			s.onDone(s, r, err == nil)
		}
		if err != nil {
			return
		}
	}
}

// makeCalls makes the calls of a run, which expire at its time limit, and reports whether
// one failed.
func (s *Server) makeCalls(r *http.Request, started time.Time) (failed bool) {
	if s.calls == nil {
		return false
	}
	limit, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		return true
	}
	left := time.Until(started.Add(time.Duration(limit) * time.Millisecond))
	var group sync.WaitGroup
	var failures atomic.Int64
	for _, c := range s.calls(r, left) {
		group.Go(func() {
			a := c.do()
			if s.onAnswer != nil {
				s.onAnswer(a)
			}
			if a.status != http.StatusOK {
				failures.Add(1)
			}
		})
	}
	group.Wait()
	return failures.Load() > 0
}
