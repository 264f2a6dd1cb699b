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

// fromEnvironment returns a number of the environment, for longer runs by hand.
func fromEnvironment(name string, otherwise int) int {
	if number, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return number
	}
	return otherwise
}

// TestSoak plays SOAK_SEEDS seeds from SOAK_FIRST on, with faults for
// SOAK_SECONDS each.
func TestSoak(t *testing.T) {
	first := fromEnvironment("SOAK_FIRST", 1)
	for seed := first; seed < first+fromEnvironment("SOAK_SEEDS", 1); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := start(t, uint64(seed), 4)
			s.play(time.Duration(fromEnvironment("SOAK_SECONDS", 6)) * time.Second)
			s.judge()
		})
	}
}

// soak is one run.
type soak struct {
	t      *testing.T
	random *rand.Rand
	store  *store.Store
	seed   uint64
	nodes  []*node
	client http.Transport

	mu   sync.Mutex
	runs map[string]int
	// metered are the times of the runs of the workspace with a quota.
	metered  []time.Time
	answers  []answer
	problems []string
	sent     atomic.Int64
}

// node is one process with the instance beside it.
type node struct {
	soak     *soak
	ip       string
	settings string
	log      *os.File
	toStore  *Proxy
	toServer *Proxy

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// closed is set when the process must not be started again.
	closed bool
}

// restartDelay is how long after its end a process is started again.
const restartDelay = 50 * time.Millisecond

type answer struct {
	id     string
	once   bool
	status int
}

const (
	entryPort  = 43001
	serverPort = 43006
)

// Keys of the workspaces: one without a quota, one that sends many times its own.
const (
	goodKey    = "good-key"
	meteredKey = "metered-key"
)

// The quota of the workspace that has one, and what the settings tolerate above
// it in any window.
const (
	meteredRate    = 40
	meteredBurst   = 40
	quotaWindow    = 5 * time.Second
	quotaOverage   = 0.25
	quotaSlack     = 20
	meteredClients = 4
	meteredPause   = 2 * time.Millisecond
)

// mostMetered is what may run for that workspace in any window.
const mostMetered = int((meteredRate*5+meteredBurst)*(1+quotaOverage) + quotaSlack)

func start(t *testing.T, seed uint64, nodes int) *soak {
	t.Helper()
	s := &soak{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), store: store.New(), runs: make(map[string]int),
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
	s.waitServed(20 * time.Second)
	return s
}

func configuration(version int) []byte {
	return fmt.Appendf(nil, `{"Version":"r%d","Resources":[
 {"TypeUrl":"Routes","Metadata":{"Name":"safe"},"Spec":{"Host":"h","Prefix":"/safe/","Kind":"safe","TimeoutS":1,"TargetLatencyS":0.5,"Service":"desk","MaxAttempts":2}},
 {"TypeUrl":"Routes","Metadata":{"Name":"once"},"Spec":{"Host":"h","Prefix":"/once/","Kind":"unsafe","TimeoutS":1,"TargetLatencyS":0.5,"Service":"desk","MaxAttempts":2}},
 {"TypeUrl":"Services","Metadata":{"Name":"desk"},"Spec":{}},
 {"TypeUrl":"Tenants","Metadata":{"Name":"metered"},"Spec":{"ApiKeys":[%q],"RatePerS":%d,"Burst":%d}},
 {"TypeUrl":"Tenants","Metadata":{"Name":"w"},"Spec":{"ApiKeys":[%q]}}]}`, version, meteredKey, meteredRate, meteredBurst, goodKey)
}

func (s *soak) addNode(i int, storeAddress string) {
	s.t.Helper()
	ip := fmt.Sprintf("127.79.%d.%d", s.seed%250, i+1)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = server.Close() })
	id := fmt.Sprint("i-", i)
	go s.serveInstance(server, id)
	n := &node{soak: s, ip: ip, settings: filepath.Join(s.t.TempDir(), "settings.yaml")}
	n.toServer = s.proxy(fmt.Sprint(ip, ":", serverPort), server.Addr().String())
	n.toStore = s.proxy(fmt.Sprint(ip, ":43009"), storeAddress)
	text := fmt.Sprintf("node: n%d\nzone: z%d\nservice: desk\nlisten:\n  entry: %s:%d\n  peer: %s:43002\n  control: %s:43003\n"+
		"  ready: %s:43004\n  metrics: %s:43005\nupstream: %s:%d\nstore: %s:43009\nbounds: [GracePeriodS=2, RetryBudgetRatio=0.2, BudgetSlack=50, "+
		"QuotaWindowS=5, QuotaOverage=0.25, QuotaSlack=20]\n",
		i, i%2, ip, entryPort, ip, ip, ip, ip, ip, serverPort, ip)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if n.log, err = os.Create(filepath.Join(s.t.ArtifactDir(), fmt.Sprintf("node-%d.log", i))); err != nil {
		s.t.Fatal(err)
	}
	s.store.Put("servers/"+id, fmt.Appendf(nil, `{"Service":"desk","Address":"%s:%d","Zone":"z%d","Slots":20,"State":"ready"}`, ip, serverPort, i%2))
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

// start starts the process, and starts it again whenever it ends.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.process = exec.Command(binary, "mesh", "--settings", n.settings)
	n.process.Stdout, n.process.Stderr = n.log, n.log
	if err := n.process.Start(); err != nil {
		n.soak.problem("process did not start: %v", err)
		return
	}
	n.ended = make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		_ = process.Wait() // the signal that ended it is ours
		close(ended)
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

// kill ends the process for good.
func (n *node) kill() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	if ended := n.signal(syscall.SIGKILL); ended != nil {
		<-ended
	}
}

// serveInstance is an instance that misbehaves now and then and counts its runs.
func (s *soak) serveInstance(listener net.Listener, id string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil || !s.answerAs(conn, r, id) {
					return
				}
			}
		}()
	}
}

func (s *soak) answerAs(conn net.Conn, r *http.Request, id string) bool {
	request := r.Header.Get("Request-Id")
	chance := rand.Float64()
	if r.Header.Get("Expected-Instance") != id {
		_, err := fmt.Fprint(conn, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if chance < 0.03 {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", request)
		return err == nil
	}
	tenant := r.Header.Get("Tenant")
	s.mu.Lock()
	s.runs[request]++
	if tenant == "metered" {
		s.metered = append(s.metered, time.Now())
	}
	s.mu.Unlock()
	if r.Header.Get("Credential") != "" || (tenant != "w" && tenant != "metered") || r.Header.Get("Caller-Service") != "desk" {
		s.problem("request %s came with header %v", request, r.Header)
	}
	time.Sleep(time.Duration(rand.N(20)) * time.Millisecond)
	body := "for " + request
	switch {
	case chance < 0.05: // the answer is lost
		return false
	case chance < 0.07: // the answer is cut
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\nContent-Length: %d\r\n\r\nfor", request, len(body))
		return false
	}
	const stray = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Signature: s\r\nContent-Length: 5\r\n\r\nstray"
	if chance < 0.09 { // an answer that belongs to nobody comes first
		_, _ = fmt.Fprint(conn, stray)
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\nContent-Length: %d\r\n\r\n%s", request, len(body), body)
	if chance > 0.98 { // and one follows
		_, _ = fmt.Fprint(conn, stray)
	}
	return err == nil
}

func (s *soak) problem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

// request sends one request and notes what the client saw.
func (s *soak) request(n *node, key string) (status int) {
	number := s.sent.Add(1)
	once := number%2 == 0
	path, id := "/safe/x", fmt.Sprintf("s%d-%d", s.seed, number)
	if once {
		path = "/once/x"
	}
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", n.ip, entryPort, path), strings.NewReader("body"))
	if err != nil {
		s.problem("request: %v", err)
		return 0
	}
	request.Host = "h"
	request.GetBody = nil // the transport must not send it again by itself
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "1500")
	request.Header.Set("Credential", key)
	response, err := s.client.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if response.StatusCode == http.StatusOK && (string(body) != "for "+id || response.Header.Get("Server-Signature") != "s") {
		s.problem("request %s got %q", id, body)
	}
	if key == "stolen" && response.StatusCode == http.StatusOK {
		s.problem("request %s with a key that nobody holds was served", id)
	}
	s.mu.Lock()
	s.answers = append(s.answers, answer{id: id, once: once, status: response.StatusCode})
	s.mu.Unlock()
	return response.StatusCode
}

// waitServed waits until every node serves.
func (s *soak) waitServed(limit time.Duration) {
	s.t.Helper()
	for _, n := range s.nodes {
		served := 0
		for deadline := time.Now().Add(limit); served < 3; time.Sleep(10 * time.Millisecond) {
			if s.request(n, goodKey) == http.StatusOK {
				served++
			}
			if time.Now().After(deadline) {
				s.t.Fatalf("seed %d: %s does not serve after %v", s.seed, n.ip, limit)
			}
		}
	}
}

// play sends requests while faults strike.
func (s *soak) play(length time.Duration) {
	stop := make(chan struct{})
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
				key := goodKey
				switch {
				case random.IntN(20) == 0:
					key = "stolen"
				case c < meteredClients:
					key = meteredKey
				}
				s.request(s.nodes[random.IntN(len(s.nodes))], key)
				if key == meteredKey {
					time.Sleep(meteredPause)
				}
			}
		})
	}
	version := 1
	for end := time.Now().Add(length); time.Now().Before(end); {
		s.strike(&version)
		time.Sleep(time.Duration(50+s.random.IntN(250)) * time.Millisecond)
	}
	for _, n := range s.nodes {
		n.toStore.SetHarm(None)
		n.toServer.SetHarm(None)
		n.signal(syscall.SIGCONT)
	}
	s.store.SetFaults(store.Faults{})
	s.waitServed(30 * time.Second)
	close(stop)
	clients.Wait()
}

// strike does one thing to one node, for a while. Faults overlap.
func (s *soak) strike(version *int) {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	harm := Harm(s.random.IntN(int(Refuse)) + 1)
	last := time.Duration(100+s.random.IntN(1500)) * time.Millisecond
	switch s.random.IntN(8) {
	case 0:
		n.toStore.SetHarm(harm)
		time.AfterFunc(last, func() { n.toStore.SetHarm(None) })
	case 1, 2:
		n.toServer.SetHarm(harm)
		time.AfterFunc(last, func() { n.toServer.SetHarm(None) })
	case 3:
		n.signal(syscall.SIGSTOP)
		time.AfterFunc(last, func() { n.signal(syscall.SIGCONT) })
	case 4:
		n.signal(syscall.SIGKILL)
	case 5:
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGTERM)
	case 6:
		*version++
		s.store.Put("op/config", configuration(*version))
		n.signal(syscall.SIGHUP)
	case 7:
		s.store.SetFaults(store.Faults{Status: http.StatusServiceUnavailable})
		s.store.DropHistory()
		time.AfterFunc(last, func() { s.store.SetFaults(store.Faults{}) })
	}
}

// mostInWindow returns the most runs of the workspace with a quota in any window.
func (s *soak) mostInWindow() int {
	slices.SortFunc(s.metered, time.Time.Compare)
	most, first := 0, 0
	for i, at := range s.metered {
		for at.Sub(s.metered[first]) > quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// judge checks the promises.
func (s *soak) judge() {
	s.t.Helper()
	time.Sleep(200 * time.Millisecond) // runs that are under way
	s.mu.Lock()
	defer s.mu.Unlock()
	served := 0
	for _, a := range s.answers {
		runs := s.runs[a.id]
		if a.once && runs > 1 {
			s.t.Errorf("seed %d: request %s may run once and ran %d times", s.seed, a.id, runs)
		}
		notRun := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		if a.once && notRun && runs > 0 {
			s.t.Errorf("seed %d: request %s was refused with %d and ran", s.seed, a.id, a.status)
		}
		if a.status == http.StatusOK {
			served++
		}
	}
	for id, runs := range s.runs {
		if number, _ := strconv.Atoi(id[strings.LastIndexByte(id, '-')+1:]); number%2 == 0 && runs > 1 {
			s.t.Errorf("seed %d: request %s may run once and ran %d times", s.seed, id, runs)
		}
	}
	if most := s.mostInWindow(); most > mostMetered {
		s.t.Errorf("seed %d: %d runs of the workspace with a quota in %v, want at most %d", s.seed, most, quotaWindow, mostMetered)
	}
	for _, problem := range s.problems {
		s.t.Errorf("seed %d: %s", s.seed, problem)
	}
	s.t.Logf("seed %d: %d requests sent, %d answered, %d served; at most %d of %d metered runs in a window",
		s.seed, s.sent.Load(), len(s.answers), served, s.mostInWindow(), mostMetered)
}
