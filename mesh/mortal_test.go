package mesh

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/quarantine"
)

// lethalPath is the path under which requests crash the instances that run them.
const lethalPath = "/safe/lethal/"

// mortality is how instances die of lethal requests.
type mortality struct {
	// runFor is how long a lethal request runs until its instance crashes.
	runFor time.Duration
	// downFor is the time until the instance is back, under a new id.
	downFor time.Duration
	// streamed is the number of bytes of the response that are sent before the crash.
	streamed int
	// stubborn instances go on with a run whose connection was closed.
	stubborn bool
}

// crashLog records the runs of lethal requests and the crashes at all instances.
type crashLog struct {
	mu      sync.Mutex
	runs    map[string][]time.Time // by path
	crashes map[string][]time.Time // by path
}

func (l *crashLog) ran(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[path] = append(l.runs[path], time.Now())
}

func (l *crashLog) crashed(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes[path] = append(l.crashes[path], time.Now())
}

// totalCrashes returns the number of crashes by all requests.
func (l *crashLog) totalCrashes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, times := range l.crashes {
		total += len(times)
	}
	return total
}

// lateRuns returns the runs of the request with the path that began later than after
// following its third crash.
func (l *crashLog) lateRuns(path string, after time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	crashes := slices.SortedFunc(slices.Values(l.crashes[path]), time.Time.Compare)
	if len(crashes) < 3 {
		return 0
	}
	late := 0
	for _, at := range l.runs[path] {
		if at.Sub(crashes[2]) > after {
			late++
		}
	}
	return late
}

// mortalInstance is an instance that crashes of lethal requests: its connections break
// in the same moment, and connects are refused until it starts again.
type mortalInstance struct {
	rig       *rig
	log       *crashLog
	mortality mortality
	index     int
	// work is how long other requests run.
	work time.Duration

	mu       sync.Mutex
	id       member.InstanceID
	boot     int
	listener net.Listener
	conns    map[net.Conn]struct{}
	stopped  bool
}

// startMortalRig starts a mesh whose instances crash of lethal requests.
func startMortalRig(t testing.TB, nodes int, m mortality) (*rig, *crashLog) {
	t.Helper()
	r := &rig{t: t, grace: 200 * time.Millisecond, number: rigs.Add(1), store: &memoryStore{changed: make(chan struct{}), revision: 1}}
	r.store.definition = testDefinition()
	log := &crashLog{runs: make(map[string][]time.Time), crashes: make(map[string][]time.Time)}
	for i := range nodes {
		instance := &mortalInstance{rig: r, log: log, mortality: m, index: i, work: 20 * time.Millisecond, conns: make(map[net.Conn]struct{})}
		instance.start()
		t.Cleanup(instance.stop)
	}
	for i := range nodes {
		r.startNode(i)
	}
	for i := range nodes {
		r.waitReady(i, http.StatusOK)
	}
	return r, log
}

// start listens and publishes the instance under a new id.
func (m *mortalInstance) start() {
	listener, err := net.Listen("tcp", m.rig.address(m.index, upstreamPort))
	if err != nil {
		m.rig.t.Error(err)
		return
	}
	m.mu.Lock()
	if m.stopped {
		m.mu.Unlock()
		_ = listener.Close()
		return
	}
	old := m.id
	m.boot++
	m.id, m.listener = member.InstanceID(fmt.Sprintf("i-%d-%d", m.index, m.boot)), listener
	instance := catalog.Instance{
		ID: m.id, Service: "desk", Address: listener.Addr().String(), Zone: "z", Slots: 100, Boot: member.BootID(m.boot),
	}
	m.mu.Unlock()
	m.rig.store.publish(func(s *memoryStore) {
		s.instances = append(slices.DeleteFunc(slices.Clone(s.instances), func(i catalog.Instance) bool { return i.ID == old }), instance)
	})
	go m.accept(listener, instance.ID)
}

func (m *mortalInstance) accept(listener net.Listener, id member.InstanceID) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		if m.id != id || m.listener == nil {
			m.mu.Unlock()
			_ = conn.Close()
			continue
		}
		m.conns[conn] = struct{}{}
		m.mu.Unlock()
		go m.serve(conn, id)
	}
}

func (m *mortalInstance) serve(conn net.Conn, id member.InstanceID) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Header.Get(testHeaders.Instance) != string(id) {
			_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !strings.HasPrefix(r.URL.Path, lethalPath) {
			time.Sleep(m.work)
			if !ok(conn, r) {
				return
			}
			continue
		}
		m.log.ran(r.URL.Path)
		if m.dropped(conn) {
			return
		}
		if n := m.mortality.streamed; n > 0 {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
				r.Header.Get(testHeaders.RequestID), 2*n, strings.Repeat("x", n))
		}
		m.crash(id, r.URL.Path)
		return
	}
}

// dropped waits until a lethal run ends. It reports whether its connection was closed
// before, so that the run is dropped.
func (m *mortalInstance) dropped(conn net.Conn) bool {
	if m.mortality.stubborn {
		time.Sleep(m.mortality.runFor)
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(m.mortality.runFor))
	_, err := conn.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// crash ends the instance, unless it has ended before, and starts another one later.
func (m *mortalInstance) crash(id member.InstanceID, path string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.id != id || m.listener == nil {
		return
	}
	m.log.crashed(path)
	m.closeAll()
	time.AfterFunc(m.mortality.downFor, m.start)
}

// closeAll closes the listener and all connections. The caller holds mu.
func (m *mortalInstance) closeAll() {
	if m.listener != nil {
		_ = m.listener.Close()
		m.listener = nil
	}
	for conn := range m.conns {
		_ = conn.Close()
	}
	clear(m.conns)
}

func (m *mortalInstance) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.closeAll()
}

// innocentTraffic sends requests that crash nothing to random nodes, a quarter of them
// the same one, until stop is closed. It returns the numbers by response.
type innocentTraffic struct {
	served, refused, lost int
}

func (r *rig) sendInnocent(perSecond int, stop <-chan struct{}) innocentTraffic {
	var mu sync.Mutex
	var traffic innocentTraffic
	var pending sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			pending.Wait()
			return traffic
		case <-ticker.C:
		}
		path := fmt.Sprint("/safe/own/", i)
		if i%4 == 0 {
			path = "/safe/shared/"
		}
		pending.Go(func() {
			response := r.send(rand.N(len(r.nodes)), path, fmt.Sprint("innocent-", i), nil)
			mu.Lock()
			defer mu.Unlock()
			switch response.status {
			case http.StatusOK:
				traffic.served++
			case http.StatusServiceUnavailable:
				traffic.refused++
			default:
				traffic.lost++
			}
		})
	}
}

// stabilityWindow is the time after a request has crashed three instances from which it
// may reach an instance at most maxLateRuns times more. innocentShare of the other
// requests must be served meanwhile.
const (
	stabilityWindow = 3 * time.Second
	maxLateRuns     = 3
	maxCrashes      = 3
	innocentShare   = 0.99
)

// Requests come again with the same path, caller and body, at random nodes.
func TestRequestThatCrashesInstancesIsNotRunAgain(t *testing.T) {
	for _, tt := range []struct {
		nodes, lethal int
		gap, runFor   time.Duration
	}{
		{nodes: 6, lethal: 1, gap: 500 * time.Millisecond, runFor: 100 * time.Millisecond},
		{nodes: 24, lethal: 1, gap: 100 * time.Millisecond, runFor: 100 * time.Millisecond},
		{nodes: 24, lethal: 3, gap: 200 * time.Millisecond, runFor: 5 * time.Millisecond},
		{nodes: 24, lethal: 1, gap: 300 * time.Millisecond, runFor: 1500 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d nodes, %d every %v, crash after %v", tt.nodes, tt.lethal, tt.gap, tt.runFor), func(t *testing.T) {
			const length = 14 * time.Second
			r, log := startMortalRig(t, tt.nodes, mortality{runFor: tt.runFor, downFor: 3 * time.Second})
			stop := make(chan struct{})
			done := make(chan innocentTraffic, 1)
			go func() { done <- r.sendInnocent(200, stop) }()
			var pending sync.WaitGroup
			sent := 0
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(tt.gap) {
				for k := range tt.lethal {
					sent++
					id := fmt.Sprint("lethal-", sent)
					pending.Go(func() { r.send(rand.N(tt.nodes), fmt.Sprint(lethalPath, k), id, nil) })
				}
			}
			close(stop)
			innocent := <-done
			pending.Wait()
			for k := range tt.lethal {
				if late := log.lateRuns(fmt.Sprint(lethalPath, k), stabilityWindow); late > maxLateRuns {
					t.Errorf("request %d ran %d times later than %v after its third crash, want at most %d", k, late, stabilityWindow, maxLateRuns)
				}
			}
			total := innocent.served + innocent.refused + innocent.lost
			share := float64(innocent.served) / float64(total)
			if share < innocentShare {
				t.Errorf("%.3f of the other requests were served, want %v", share, innocentShare)
			}
			t.Logf("%d crashes by %d sends; other requests: %d, of these %d refused, %d lost", log.totalCrashes(), sent, total, innocent.refused, innocent.lost)
		})
	}
}

// The run outlasts the route's timeout, and the instance crashes after the client has got
// its answer.
func TestRequestThatCrashesInstancesAfterItsTimeoutIsNotRunAgain(t *testing.T) {
	const length = 14 * time.Second
	timeout := testDefinition().Routes[0].Timeout
	r, log := startMortalRig(t, 6, mortality{runFor: timeout + 500*time.Millisecond, downFor: 3 * time.Second, stubborn: true})
	var pending sync.WaitGroup
	sent := 0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(3 * time.Second) {
		sent++
		id := fmt.Sprint("lethal-", sent)
		pending.Go(func() { r.send(rand.N(6), lethalPath, id, nil) })
		for i := range 12 { // so that crashes are noticed
			pending.Go(func() { r.send(i%6, "/safe/shared/", fmt.Sprint(id, "-innocent-", i), nil) })
		}
	}
	pending.Wait()
	if crashes := log.totalCrashes(); crashes > maxCrashes {
		t.Errorf("%d crashes by %d sends, want at most %d", crashes, sent, maxCrashes)
	}
}

// A response is complete only at the end of its stream.
func TestCrashDuringStreamedResponseMarksTheRequest(t *testing.T) {
	const streamed = 4 * maxBufferedResponse
	for sender := range 2 { // to the own instance or to the other one
		r, log := startMortalRig(t, 2, mortality{runFor: 20 * time.Millisecond, downFor: time.Minute, streamed: streamed})
		if got := r.send(sender, lethalPath, "id", nil); got.err == nil && got.status == http.StatusOK {
			t.Errorf("a response that broke off was received as complete, with %d bytes", len(got.body))
		}
		if log.totalCrashes() == 0 {
			t.Fatal("no instance has crashed")
		}
		d := quarantine.NewRequest([]byte(http.MethodPost), []byte("h"), []byte(lethalPath), []byte("big"), []byte("body"), false, 0).Digest()
		r.eventually("the request is marked on all nodes", func() bool {
			for _, n := range r.nodes {
				if len(n.marks(d)) == 0 {
					return false
				}
			}
			return true
		})
	}
}
