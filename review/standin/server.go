package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one request that a server has run.
type Run struct {
	ID, Server, Method, Path, Caller, Tenant string
	// BodySize and BodyHash are those of the request body as the server received it.
	BodySize int
	BodyHash string
	At       time.Duration
}

// Trouble is how a server misbehaves. The zero value is a sound server.
type Trouble struct {
	// Shed is the share of the requests that are rejected with Not-Executed.
	Shed float64
	// SecondAnswer is the share of the answers of which a second copy arrives late: at
	// the point where the next answer on the connection is expected.
	SecondAnswer float64
}

// Server is an application server.
type Server struct {
	ID, Service, Address, Zone string
	Slots                      int
	Work                       time.Duration
	// BodySize is the size of an answer, 0 for a short text.
	BodySize int

	record   *Record
	listener net.Listener
	trouble  atomic.Pointer[Trouble]
	running  atomic.Int64
	boot     int64

	mu      sync.Mutex
	runs    []Run
	arrived []Run
	conns   map[net.Conn]bool
}

// Start listens and serves.
func (s *Server) Start(record *Record) error {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	s.listener, s.record, s.boot = listener, record, time.Now().UnixMilli()
	s.conns = make(map[net.Conn]bool)
	s.trouble.Store(&Trouble{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return nil
}

// Close ends the server.
func (s *Server) Close() {
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Entry returns what the server writes about itself to the store.
func (s *Server) Entry(state string) map[string]any {
	return map[string]any{
		"Service": s.Service, "Address": s.Address, "Zone": s.Zone, "Version": "v1", "Slots": s.Slots,
		"State": state, "ColdRemainingS": 0, "Sequence": 1, "born": s.boot,
	}
}

// SetTrouble changes how the server misbehaves.
func (s *Server) SetTrouble(t Trouble) { s.trouble.Store(&t) }

// Runs returns the requests that the server has run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Arrived returns the requests that have reached the server, run or not.
func (s *Server) Arrived() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.arrived...)
}

// serve answers the requests of a connection, one at a time.
func (s *Server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var second []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if second != nil {
			s.record.Addf("server %s: second copy of the answer to %s", s.ID, secondID(second))
			if _, err := conn.Write(second); err != nil {
				return
			}
			second = nil
		}
		head, size := s.answer(request, body)
		if _, err := conn.Write(head); err != nil {
			return
		}
		if size > 0 && !writeBody(conn, size) {
			s.record.Addf("server %s: connection closed during the answer to %s", s.ID, request.Header.Get("Request-Id"))
			return
		}
		if rand.Float64() < s.trouble.Load().SecondAnswer {
			second = head
		}
	}
}

// hashOf returns a short hash of a body.
func hashOf(body []byte) string {
	hash := sha256.Sum256(body)
	return hex.EncodeToString(hash[:6])
}

func secondID(answer []byte) string {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(answer)), nil)
	if err != nil {
		return "?"
	}
	return response.Header.Get("Request-Id") + " (" + strconv.Itoa(response.StatusCode) + ")"
}

// answer returns the answer to a request, and the size of a large body that follows.
func (s *Server) answer(request *http.Request, body []byte) (head []byte, size int) {
	id := request.Header.Get("Request-Id")
	arrival := Run{
		ID: id, Server: s.ID, Method: request.Method, Path: request.RequestURI,
		Caller: request.Header.Get("Caller-Service"), Tenant: request.Header.Get("Tenant"),
		BodySize: len(body), BodyHash: hashOf(body), At: s.record.Now(),
	}
	s.mu.Lock()
	s.arrived = append(s.arrived, arrival)
	s.mu.Unlock()
	load := fmt.Sprintf("%d,0,%d", s.running.Load(), s.Slots)
	if expected := request.Header.Get("Expected-Instance"); expected != "" && expected != s.ID {
		s.record.Addf("server %s: 421 to %s, which expects %s", s.ID, id, expected)
		return respond(421, "", "Request-Id", id, "Instance-Id", s.ID, "Not-Executed", "1"), 0
	}
	if rand.Float64() < s.trouble.Load().Shed || s.running.Load() >= int64(s.Slots) {
		s.record.Addf("server %s: rejects %s with 503, Not-Executed", s.ID, id)
		return respond(503, "", "Request-Id", id, "Not-Executed", "1", "Server-Load", load), 0
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	s.record.Addf("server %s: runs %s, body of %d bytes, hash %s", s.ID, id, arrival.BodySize, arrival.BodyHash)
	s.mu.Lock()
	s.runs = append(s.runs, arrival)
	s.mu.Unlock()
	time.Sleep(s.Work)
	signature := "sig." + s.ID + "." + id
	if s.BodySize > 0 {
		s.record.Addf("server %s: answers %s with %d bytes", s.ID, id, s.BodySize)
		return head200(s.BodySize, "Request-Id", id, "Server-Signature", signature, "Server-Load", load), s.BodySize
	}
	s.record.Addf("server %s: answers %s with 200", s.ID, id)
	return respond(200, "done "+id, "Request-Id", id, "Server-Signature", signature, "Server-Load", load), 0
}

func writeBody(conn net.Conn, size int) bool {
	chunk := bytes.Repeat([]byte("x"), 64<<10)
	for size > 0 {
		n := min(size, len(chunk))
		if _, err := conn.Write(chunk[:n]); err != nil {
			return false
		}
		size -= n
	}
	return true
}

func respond(status int, body string, headers ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	writeHeaders(&b, len(body), headers)
	b.WriteString(body)
	return b.Bytes()
}

func head200(size int, headers ...string) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\n")
	writeHeaders(&b, size, headers)
	return b.Bytes()
}

func writeHeaders(b *bytes.Buffer, size int, headers []string) {
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	fmt.Fprintf(b, "Content-Length: %d\r\n\r\n", size)
}
