package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// shedShare is the share of the requests that all instances reject in a spell.
	shedShare = 0.55
	// repeatShare is the share of the answers of which a second copy comes late.
	repeatShare = 0.03
	// operationClients send operations that must run once.
	operationClients = 8
	// maxOperationAttempts is how often a client sends an operation that was refused.
	maxOperationAttempts = 3
	// longBody is the size in bytes of every tenth operation's body.
	longBody = 100 << 10
)

// rejections is how instances reject requests and repeat answers, and counts the runs of
// operations. A client sends an operation again, under another id, after a status that
// promises that it has not run.
type rejections struct {
	mu      sync.Mutex
	until   time.Time
	runs    map[string]int
	started int
}

func newRejections() *rejections { return &rejections{runs: make(map[string]int)} }

// begin starts a spell in which instances reject requests.
func (r *rejections) begin(length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until = time.Now().Add(length)
}

// reject reports whether an instance rejects a request.
func (r *rejections) reject() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.until) && rand.Float64() < shedShare
}

// ran records a run of a request.
func (r *rejections) ran(id string) {
	operation, attempt, ok := strings.Cut(id, ".")
	if !ok || attempt == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[operation]++
}

// repeatingConn is a connection of an instance, on which a second copy of an answer may
// come late: before the next answer, with the id of its request, without, or in part.
type repeatingConn struct {
	net.Conn
	// answer is what has been written since begin.
	answer strings.Builder
}

// begin starts the answer to the next request; it returns false if the connection is
// closed.
func (c *repeatingConn) begin() bool {
	late := c.answer.String()
	c.answer.Reset()
	if late == "" || rand.Float64() >= repeatShare {
		return true
	}
	head, rest, _ := strings.Cut(late, "Request-Id: ")
	_, fields, hasID := strings.Cut(rest, "\r\n")
	switch form := rand.N(3); {
	case form == 0 && hasID:
		late = head + fields
	case form == 1:
		late = late[:rand.N(len(late))]
	}
	_, err := io.WriteString(c.Conn, late)
	return err == nil
}

// Write implements net.Conn.
func (c *repeatingConn) Write(p []byte) (int, error) {
	c.answer.Write(p)
	return c.Conn.Write(p)
}

// operate sends operations until stop is closed.
func (s *soak) operate(random *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		n := s.nodes[random.IntN(len(s.nodes))]
		s.rejections.mu.Lock()
		s.rejections.started++
		operation := fmt.Sprintf("op%d-%d", s.seed, s.rejections.started)
		s.rejections.mu.Unlock()
		size := 4
		if random.IntN(10) == 0 {
			size = longBody
		}
		for attempt := range maxOperationAttempts {
			status := s.send(n, unmeteredKey, "/once/x", fmt.Sprintf("%s.%d", operation, attempt), true, strings.NewReader(strings.Repeat("x", size)))
			if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
				break
			}
			time.Sleep(rand.N(20 * time.Millisecond))
		}
	}
}

// check fails the test if an operation ran twice. The caller holds the lock of s.
func (r *rejections) check(s *soak) {
	r.mu.Lock()
	defer r.mu.Unlock()
	twice := 0
	for operation, runs := range r.runs {
		if runs > 1 {
			if twice++; twice < 10 {
				s.t.Errorf("seed %d: operation %s ran %d times", s.seed, operation, runs)
			}
		}
	}
	s.t.Logf("seed %d: %d operations, %d ran twice", s.seed, r.started, twice)
}
