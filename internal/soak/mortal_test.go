package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Lethal requests: after the time in which the announcements are judged, one request in
// lethalEvery crashes the instance that runs it, lethalRunTime after its start. The
// instance is back after downTime, under another id. Faults go on for lethalFaults, and
// traffic for lethalTail after them, so that what is sent later than lethalDelay after
// the third crash is seen.
const (
	lethalPath    = "/safe/lethal"
	lethalEvery   = 25
	lethalRunTime = 20 * time.Millisecond
	downTime      = time.Second
	lethalFaults  = 5 * time.Second
	lethalTail    = 4 * time.Second
	lethalDelay   = 3 * time.Second
	maxLethalLate = 3
)

// mortality judges whether the request that crashes instances is sent on.
type mortality struct {
	mu      sync.Mutex
	from    time.Time
	crashes []time.Time
	// late are the runs too long after the third crash, at nodes in touch.
	late []string
}

// begin starts the lethal requests after a time.
func (m *mortality) begin(after time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.from = time.Now().Add(after)
}

// isNext reports at random whether the next request is a lethal one.
func (m *mortality) isNext(random *rand.Rand) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.from.IsZero() && time.Now().After(m.from) && random.IntN(lethalEvery) == 0
}

// ran judges a run of the lethal request that came through an entry in touch or not.
func (m *mortality) ran(id string, inTouch bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if inTouch && len(m.crashes) >= 3 && time.Since(m.crashes[2]) > lethalDelay {
		m.late = append(m.late, id)
	}
}

func (m *mortality) crashed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashes = append(m.crashes, time.Now())
}

// inTouch reports whether the entry of a request has run undisturbed for lethalDelay.
func (a *announcements) inTouch(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.excused[a.origins[id].node]) > lethalDelay
}

// runLethal judges a run of the lethal request and crashes the instance of the node.
func (n *node) runLethal(request, instance string) {
	n.soak.mortal.ran(request, n.soak.announced.inTouch(request) && n.inTouch())
	time.Sleep(lethalRunTime)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.instance != instance || n.down {
		return
	}
	n.down = true
	n.soak.mortal.crashed()
	n.serverProxy.Close()
	time.AfterFunc(downTime, n.startInstance)
}

// inTouch reports whether the node has run undisturbed for lethalDelay.
func (n *node) inTouch() bool {
	n.soak.announced.mu.Lock()
	defer n.soak.announced.mu.Unlock()
	return time.Since(n.soak.announced.excused[n]) > lethalDelay
}

// startInstance starts the instance again, under another id.
func (n *node) startInstance() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	proxy, err := NewProxy(fmt.Sprint(n.ip, ":", serverPort), n.server.Addr().String())
	if err != nil {
		n.soak.recordProblem("instance did not start: %v", err)
		return
	}
	old := n.instance
	n.boots++
	n.instance, n.serverProxy, n.down = fmt.Sprintf("%s-boot%d", old, n.boots), proxy, false
	n.soak.store.Delete("servers/" + old)
	n.publish()
}

// publish writes the entry of the instance to the store. The caller holds mu.
func (n *node) publish() {
	n.soak.store.Put("servers/"+n.instance, fmt.Appendf(nil,
		`{"Service":"desk","Address":"%s:%d","Zone":"%s","Slots":20,"State":"ready"}`, n.ip, serverPort, n.zone))
}

// currentInstance returns the id of the instance that runs beside the node.
func (n *node) currentInstance() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.instance
}

// setServerFault injects a fault between the node and its instance.
func (n *node) setServerFault(f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serverProxy.SetFault(f)
}

// checkLethal checks the runs of the lethal request.
func (s *soak) checkLethal() {
	s.t.Helper()
	s.mortal.mu.Lock()
	defer s.mortal.mu.Unlock()
	if late := s.mortal.late; len(late) > maxLethalLate {
		s.t.Errorf("seed %d: the lethal request ran %d times later than %v after its third crash, want at most %d; the first is %s",
			s.seed, len(late), lethalDelay, maxLethalLate, slices.Min(late))
	}
	s.t.Logf("seed %d: %d crashes by the lethal request, %d runs too late", s.seed, len(s.mortal.crashes), len(s.mortal.late))
}
