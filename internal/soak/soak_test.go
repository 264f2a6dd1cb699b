package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/toucancove/toucancove/internal/standin/store"
)

// binary is the program under test, built once.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "toucancove")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/toucancove").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// envInt returns the integer in an environment variable, or fallback if there is
// none. The variables set the length of manual runs.
func envInt(name string, fallback int) int {
	if number, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return number
	}
	return fallback
}

// TestSoak runs SOAK_SEEDS seeds from SOAK_FIRST on over SOAK_NODES nodes, with fault
// injection for SOAK_SECONDS each. It guards against requests that may run at most once and
// run twice or although they were refused, responses that reach another request,
// requests served without a valid key, a workspace above its quota, an instance above
// the request limit that it advertises, requests to one that has announced to leave, and
// a request that crashes instances and is run again and again.
func TestSoak(t *testing.T) {
	first := envInt("SOAK_FIRST", 1)
	for seed := first; seed < first+envInt("SOAK_SEEDS", 1); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := start(t, uint64(seed), envInt("SOAK_NODES", 4))
			s.runWithFaults(time.Duration(envInt("SOAK_SECONDS", 6)) * time.Second)
			s.checkInvariants()
		})
	}
}

// soak is one run with its nodes, store and observations.
type soak struct {
	t      *testing.T
	random *rand.Rand
	store  *store.Store
	seed   uint64
	grace  time.Duration
	// maxWork bounds the time for which a request runs.
	maxWork time.Duration
	// rejections is how instances reject requests and repeat answers.
	rejections *rejections
	nodes      []*node
	client     http.Transport

	mu   sync.Mutex
	runs map[string]int
	// meteredRuns holds the times of the runs of the workspace with a quota.
	meteredRuns []time.Time
	outcomes    []outcome
	// unanswered are the requests that were sent and got no complete response.
	unanswered []string
	problems   []string
	announced  *announcements
	mortal     *mortality
	sent       atomic.Int64
}

// node is one node process with its instance and the proxies between it and the
// store and the instance.
type node struct {
	soak       *soak
	ip         string
	zone       string
	settings   string
	log        *os.File
	storeProxy *Proxy
	// peerProxy is between the other nodes and the guard, nil if they reach it directly.
	peerProxy *Proxy
	// server is the listener of the instance behind its proxy.
	server net.Listener

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// instance is the id of the instance, boots the number of its restarts, and down
	// is set from its crash until the next.
	instance    string
	boots       int
	down        bool
	serverProxy *Proxy
	// closed is set when the process must not be restarted.
	closed bool
}

// restartDelay is the time between the end of a process and its restart.
const restartDelay = 50 * time.Millisecond

// outcome is the complete response to one request. atMostOnce is set if the
// route of the request is unsafe, so that it must not run twice.
type outcome struct {
	id         string
	atMostOnce bool
	status     int
}

const (
	entryPort  = 43001
	serverPort = 43006
)

// Keys of the workspaces: one without a quota, and one that sends many times its
// quota.
const (
	unmeteredKey = "good-key"
	meteredKey   = "metered-key"
)

// The quota of the workspace that has one, in requests a second and requests, the
// overage that the settings tolerate in any window, and the clients that exceed
// the quota.
const (
	meteredRate    = 40
	meteredBurst   = 40
	quotaWindow    = 5 * time.Second
	quotaOverage   = 0.25
	quotaSlack     = 20
	meteredClients = 4
	meteredPause   = 2 * time.Millisecond
)

// maxMeteredRuns is the bound on the runs of that workspace in any window.
const maxMeteredRuns = int((meteredRate*5+meteredBurst)*(1+quotaOverage) + quotaSlack)

func start(t *testing.T, seed uint64, nodes int) *soak {
	t.Helper()
	return startWithGrace(t, seed, nodes, 2*time.Second)
}

// startWithGrace starts nodes with a time between SIGTERM and SIGKILL in whole seconds.
func startWithGrace(t *testing.T, seed uint64, nodes int, grace time.Duration) *soak {
	t.Helper()
	s := &soak{
		t: t, seed: seed, grace: grace, maxWork: 20 * time.Millisecond, rejections: newRejections(), random: rand.New(rand.NewPCG(seed, 1)), store: store.New(), runs: make(map[string]int), announced: newAnnouncements(), mortal: &mortality{},
		client: http.Transport{MaxIdleConnsPerHost: 50},
	}
	storeServer := httptest.NewServer(s.store)
	t.Cleanup(storeServer.Close)
	s.store.Put("op/config", configuration(1))
	for i := range nodes {
		s.addNode(i, strings.TrimPrefix(storeServer.URL, "http://"))
	}
	for _, n := range s.nodes {
		n.start()
	}
	s.waitServing(20 * time.Second)
	return s
}

func configuration(version int) []byte {
	return fmt.Appendf(nil, `{"Version":"r%d","Resources":[
 {"TypeUrl":"Routes","Metadata":{"Name":"safe"},"Spec":{"Host":"h","Prefix":"/safe/","Kind":"safe","TimeoutS":1,"TargetLatencyS":0.5,"Service":"desk","MaxAttempts":2}},
 {"TypeUrl":"Routes","Metadata":{"Name":"once"},"Spec":{"Host":"h","Prefix":"/once/","Kind":"unsafe","TimeoutS":1,"TargetLatencyS":0.5,"Service":"desk","MaxAttempts":2}},
 {"TypeUrl":"Services","Metadata":{"Name":"desk"},"Spec":{}},
 {"TypeUrl":"Tenants","Metadata":{"Name":"metered"},"Spec":{"ApiKeys":[%q],"RatePerS":%d,"Burst":%d}},
 {"TypeUrl":"Tenants","Metadata":{"Name":"w"},"Spec":{"ApiKeys":[%q]}}]}`, version, meteredKey, meteredRate, meteredBurst, unmeteredKey)
}

func (s *soak) addNode(i int, storeAddress string) {
	s.t.Helper()
	ip := fmt.Sprintf("127.79.%d.%d", s.seed%250, i+1)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = server.Close() })
	n := &node{
		soak: s, ip: ip, zone: fmt.Sprint("z", i%2), settings: filepath.Join(s.t.TempDir(), "settings.yaml"),
		server: server, instance: fmt.Sprint("i-", i),
	}
	go s.serveInstance(n)
	n.serverProxy = s.proxy(fmt.Sprint(ip, ":", serverPort), server.Addr().String())
	n.storeProxy = s.proxy(fmt.Sprint(ip, ":43009"), storeAddress)
	guard := ip // other nodes call the guard at the address of the instance
	if i%2 == 1 {
		guard = fmt.Sprintf("127.80.%d.%d", s.seed%250, i+1)
		n.peerProxy = s.proxy(fmt.Sprint(ip, ":43002"), fmt.Sprint(guard, ":43002"))
	}
	text := fmt.Sprintf("node: n%d\nzone: %s\nservice: desk\nlisten:\n  entry: %s:%d\n  peer: %s:43002\n  control: %s:43003\n"+
		"  ready: %s:43004\n  metrics: %s:43005\nupstream: %s:%d\nstore: %s:43009\nbounds: [GracePeriodS=%d, RetryBudgetRatio=0.2, BudgetSlack=50, "+
		"QuotaWindowS=5, QuotaOverage=0.25, QuotaSlack=20]\n",
		i, n.zone, ip, entryPort, guard, ip, ip, ip, ip, serverPort, ip, int(s.grace.Seconds()))
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if n.log, err = os.Create(filepath.Join(s.t.ArtifactDir(), fmt.Sprintf("node-%d.log", i))); err != nil {
		s.t.Fatal(err)
	}
	n.publish()
	s.nodes = append(s.nodes, n)
	s.t.Cleanup(n.kill)
}

func (s *soak) proxy(address, target string) *Proxy {
	s.t.Helper()
	p, err := NewProxy(address, target)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.Close)
	return p
}

// start starts the process and restarts it whenever it ends.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.process = exec.Command(binary, "mesh", "--settings", n.settings)
	n.process.Stdout, n.process.Stderr = n.log, n.log
	if err := n.process.Start(); err != nil {
		n.soak.recordProblem("process did not start: %v", err)
		return
	}
	n.ended = make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		_ = process.Wait() // the error is the signal that the test sent
		close(ended)
		n.soak.announced.excuse(n)
		time.Sleep(restartDelay)
		n.start()
	}(n.process, n.ended)
}

func (n *node) signal(sig syscall.Signal) (ended chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || n.process.Process == nil {
		return nil
	}
	_ = n.process.Process.Signal(sig) // it may have ended already
	return n.ended
}

// resume resumes a process that may be suspended.
func (n *node) resume() {
	n.signal(syscall.SIGCONT)
	n.soak.announced.excuse(n)
}

// setPeerFault injects a fault between the other nodes and the guard.
func (n *node) setPeerFault(f Fault) {
	if n.peerProxy != nil {
		n.peerProxy.SetFault(f)
	}
}

// kill ends the process and prevents its restart.
func (n *node) kill() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	if ended := n.signal(syscall.SIGKILL); ended != nil {
		<-ended
	}
}

// serveInstance is an instance that counts its runs and at random refuses
// requests, closes connections, and sends truncated, malformed and unsolicited responses.
func (s *soak) serveInstance(n *node) {
	for {
		conn, err := n.server.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			repeating := &repeatingConn{Conn: conn}
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil || !repeating.begin() || !s.respond(repeating, r, n) {
					return
				}
			}
		}()
	}
}

func (s *soak) respond(conn net.Conn, r *http.Request, n *node) bool {
	id := n.currentInstance()
	request := r.Header.Get("Request-Id")
	chance := rand.Float64()
	announced := s.announced.header(id)
	s.announced.arrived(request, id)
	if r.Header.Get("Expected-Instance") != id {
		_, err := fmt.Fprint(conn, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if chance < 0.03 || s.rejections.reject() {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", request, announced)
		return err == nil
	}
	tenant := r.Header.Get("Tenant")
	s.mu.Lock()
	s.runs[request]++
	s.rejections.ran(request)
	if tenant == "metered" {
		s.meteredRuns = append(s.meteredRuns, time.Now())
	}
	s.mu.Unlock()
	if r.Header.Get("Credential") != "" || (tenant != "w" && tenant != "metered") || r.Header.Get("Caller-Service") != "desk" {
		s.recordProblem("request %s reached the instance with wrong headers: %v", request, r.Header)
	}
	if r.URL.Path == lethalPath {
		n.runLethal(request, id)
		return false
	}
	if work, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		time.Sleep(work)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\nContent-Length: 0\r\n\r\n", request)
		return err == nil
	}
	time.Sleep(rand.N(s.maxWork))
	body := "for " + request
	switch {
	case chance < 0.05: // the response is lost
		return false
	case chance < 0.07: // the response is truncated
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\nContent-Length: %d\r\n\r\nfor", request, len(body))
		return false
	case 0.09 <= chance && chance < 0.1: // the response is malformed
		_, err := fmt.Fprintf(conn, malformed[rand.N(len(malformed))], request)
		return err == nil
	}
	const unsolicited = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Signature: s\r\nContent-Length: 5\r\n\r\nstray"
	if chance < 0.09 { // an unsolicited response precedes
		_, _ = fmt.Fprint(conn, unsolicited)
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\n%sContent-Length: %d\r\n\r\n%s", request, announced, len(body), body)
	if chance > 0.98 { // an unsolicited response follows
		_, _ = fmt.Fprint(conn, unsolicited)
	}
	return err == nil
}

// malformed are responses that must not reach a client. Their bodies are not those of the
// requests, and they carry its signature.
var malformed = []string{
	"HTTP/1.1 000 Failed\r\nRequest-Id: %s\r\nServer-Signature: s\r\nContent-Length: 6\r\n\r\nbroken",
	"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\nContent- Length: 6\r\nContent-Length: 3\r\n\r\nbroken",
	"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\nContent-Length : 6\r\n\r\nbroken",
	"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\nX\x01Y: 1\r\nContent-Length: 6\r\n\r\nbroken",
}

func (s *soak) recordProblem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

func (s *soak) recordUnanswered(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered = append(s.unanswered, id)
}

// request sends one request, records the response and returns its status, 0 if
// there was no complete response.
func (s *soak) request(n *node, key string, lethal bool) (status int) {
	number := s.sent.Add(1)
	atMostOnce := number%2 == 0 && !lethal
	path, id := "/safe/x", fmt.Sprintf("s%d-%d", s.seed, number)
	switch {
	case lethal:
		path, id = lethalPath, id+"-1" // odd: it may run several times
	case atMostOnce:
		path = "/once/x"
	}
	return s.send(n, key, path, id, atMostOnce, strings.NewReader("body"))
}

// send sends one request under an id, records the response and returns its status, 0 if
// there was no complete response.
func (s *soak) send(n *node, key, path, id string, atMostOnce bool, content io.Reader) (status int) {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", n.ip, entryPort, path), content)
	if err != nil {
		s.recordProblem("request: %v", err)
		return 0
	}
	request.Host = "h"
	request.GetBody = nil // prevents retries by the transport
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "1500")
	request.Header.Set("Credential", key)
	s.announced.sent(id, n)
	response, err := s.client.RoundTrip(request)
	if err != nil {
		s.recordUnanswered(id)
		return 0
	}
	defer response.Body.Close()
	s.announced.passedOn(id, response.Header)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.recordUnanswered(id)
		return 0
	}
	if response.StatusCode == http.StatusOK && (string(body) != "for "+id || response.Header.Get("Server-Signature") != "s") {
		s.recordProblem("request %s got a wrong body or signature: %q", id, body)
	}
	if key == "stolen" && response.StatusCode == http.StatusOK {
		s.recordProblem("request %s with an unknown key was served", id)
	}
	s.mu.Lock()
	s.outcomes = append(s.outcomes, outcome{id: id, atMostOnce: atMostOnce, status: response.StatusCode})
	s.mu.Unlock()
	return response.StatusCode
}

// waitServing waits until every node has served three requests.
func (s *soak) waitServing(limit time.Duration) {
	s.t.Helper()
	for _, n := range s.nodes {
		served := 0
		for deadline := time.Now().Add(limit); served < 3; time.Sleep(10 * time.Millisecond) {
			if s.request(n, unmeteredKey, false) == http.StatusOK {
				served++
			}
			if time.Now().After(deadline) {
				s.t.Fatalf("seed %d: node %s did not serve 3 requests within %v", s.seed, n.ip, limit)
			}
		}
	}
}

// runWithFaults sends requests while it injects faults, then removes the faults
// and waits until all nodes serve again.
func (s *soak) runWithFaults(length time.Duration) {
	stop := make(chan struct{})
	s.announced.begin(length)
	s.mortal.begin(length)
	var clients sync.WaitGroup
	for c := range 8 {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(s.seed, uint64(c)+10))
			for {
				select {
				case <-stop:
					return
				default:
				}
				key := unmeteredKey
				switch {
				case random.IntN(20) == 0:
					key = "stolen"
				case c < meteredClients:
					key = meteredKey
				}
				s.request(s.nodes[random.IntN(len(s.nodes))], key, key == unmeteredKey && s.mortal.isNext(random))
				if key == meteredKey {
					time.Sleep(meteredPause)
				}
			}
		})
	}
	for c := range operationClients {
		clients.Go(func() { s.operate(rand.New(rand.NewPCG(s.seed, uint64(c)+100)), stop) })
	}
	version := 1
	for end := time.Now().Add(length + lethalFaults); time.Now().Before(end); {
		s.injectFault(&version)
		time.Sleep(time.Duration(50+s.random.IntN(250)) * time.Millisecond)
	}
	for _, n := range s.nodes {
		n.storeProxy.SetFault(None)
		n.setServerFault(None)
		n.setPeerFault(None)
		n.resume()
	}
	s.store.SetFaults(store.Faults{})
	s.waitServing(30 * time.Second)
	time.Sleep(lethalTail)
	close(stop)
	clients.Wait()
}

// injectFault injects a fault into one node or the store, or publishes a new
// configuration. Faults last up to 1.6 s and may overlap.
func (s *soak) injectFault(version *int) {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	fault := Fault(s.random.IntN(int(Refuse)) + 1)
	duration := time.Duration(100+s.random.IntN(1500)) * time.Millisecond
	switch s.random.IntN(10) {
	case 0:
		n.storeProxy.SetFault(fault)
		time.AfterFunc(duration, func() { n.storeProxy.SetFault(None) })
	case 1, 2:
		n.setServerFault(fault)
		time.AfterFunc(duration, func() { n.setServerFault(None) })
	case 3:
		n.signal(syscall.SIGSTOP)
		time.AfterFunc(duration, n.resume)
	case 4:
		n.signal(syscall.SIGKILL)
	case 5:
		n.resume()
		n.signal(syscall.SIGTERM)
	case 6:
		*version++
		s.store.Put("op/config", configuration(*version))
		n.signal(syscall.SIGHUP)
	case 9:
		n.setPeerFault(fault)
		time.AfterFunc(duration, func() { n.setPeerFault(None) })
	case 8:
		s.rejections.begin(duration)
	case 7:
		s.store.SetFaults(store.Faults{Status: http.StatusServiceUnavailable})
		s.store.Compact()
		time.AfterFunc(duration, func() { s.store.SetFaults(store.Faults{}) })
	}
}

// mostInWindow returns the largest number of times in any window.
func mostInWindow(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// checkInvariants checks the invariants over all requests of the run.
func (s *soak) checkInvariants() {
	s.t.Helper()
	time.Sleep(200 * time.Millisecond) // for runs in flight
	s.mu.Lock()
	defer s.mu.Unlock()
	served := 0
	for _, o := range s.outcomes {
		runs := s.runs[o.id]
		if o.atMostOnce && runs > 1 {
			s.t.Errorf("seed %d: at-most-once request %s ran %d times", s.seed, o.id, runs)
		}
		notRun := o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests
		if o.atMostOnce && notRun && runs > 0 {
			s.t.Errorf("seed %d: request %s was refused with status %d and ran", s.seed, o.id, o.status)
		}
		if o.status == http.StatusOK {
			served++
		}
	}
	for id, runs := range s.runs {
		if number, _ := strconv.Atoi(id[strings.LastIndexByte(id, '-')+1:]); number%2 == 0 && runs > 1 {
			s.t.Errorf("seed %d: at-most-once request %s ran %d times", s.seed, id, runs)
		}
	}
	metered := mostInWindow(s.meteredRuns, quotaWindow)
	if metered > maxMeteredRuns {
		s.t.Errorf("seed %d: %d runs of the workspace with a quota in %v, want at most %d", s.seed, metered, quotaWindow, maxMeteredRuns)
	}
	s.announced.mu.Lock()
	defer s.announced.mu.Unlock()
	limited := mostInWindow(s.announced.limited, limitWindow)
	if limited > maxLimitedWindow {
		s.t.Errorf("seed %d: %d requests in %v at an instance that advertised a limit of %d a second, want at most %d", s.seed, limited, limitWindow, requestLimit, maxLimitedWindow)
	}
	if late := s.announced.late; len(late) > 0 {
		s.t.Errorf("seed %d: %d requests reached an instance from nodes that knew that it leaves, the first is %s", s.seed, len(late), late[0])
	}
	s.checkLethal()
	s.rejections.check(s)
	for _, problem := range s.problems {
		s.t.Errorf("seed %d: %s", s.seed, problem)
	}
	s.t.Logf("seed %d: %d requests sent, %d answered, %d served; at most %d of %d metered runs and %d of %d limited requests in a window",
		s.seed, s.sent.Load(), len(s.outcomes), served, metered, maxMeteredRuns, limited, maxLimitedWindow)
}
