//go:build review

package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Offsets of the ports of a machine. Ports are the same on all machines.
const (
	portOutbound = iota
	portInbound
	portControl
	portReady
	portMetrics
	portServer
	portCount
)

// bounds are those of the site chikushi-bdx.
var bounds = []string{
	"SeedLagS=3", "ReuseAfterS=2", "StabilityWindowS=3", "AckTimeoutS=4", "CatchUpS=4", "DrainTimeoutS=2", "GracePeriodS=6",
	"LossSlackS=0.2", "ConfigApplyS=2", "RollbackSlackS=0.25", "MaxSkewS=5", "StrictRevoke=false", "RevokeS=5",
	"RetryBudgetRatio=0.2", "RetryWindowS=10", "BudgetSlack=50", "QuotaWindowS=5", "QuotaOverage=0.25", "QuotaSlack=20", "RecoveryS=15",
}

const (
	drainTimeout    = 2 * time.Second
	stabilityWindow = 3 * time.Second
	memoryMB        = 284
)

// machine is a server with the node beside it.
type machine struct {
	name, ip string
	server   *server
	node     *exec.Cmd
	outbound string
	ready    string
}

// fleet is a small deployment on loopback.
type fleet struct {
	dir      string
	prefix   string
	port     int
	store    *store
	machines []*machine
	started  time.Time
	onArrive func(s *server, r *run)

	mu  sync.Mutex
	out *os.File
}

func randomHex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func randomInt(n int) int {
	v, _ := rand.Int(rand.Reader, big.NewInt(int64(n)))
	return int(v.Int64())
}

// newFleet opens the record and starts the store.
func newFleet(recordPath string) (*fleet, error) {
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, out: out, store: newStore(), started: time.Now()}
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d", 20+randomInt(200), 1+randomInt(250))
		f.port = 18000 + 10*randomInt(1300)
		var config net.ListenConfig
		listener, err := config.Listen(context.Background(), "tcp", f.storeAddress())
		if err != nil {
			continue
		}
		go func() { _ = http.Serve(listener, f.store) }()
		return f, nil
	}
	return nil, fmt.Errorf("no free port")
}

func (f *fleet) storeAddress() string { return fmt.Sprintf("%s.250:%d", f.prefix, f.port) }
func (f *fleet) clientIP() string     { return f.prefix + ".251" }

// record writes a line with the time since the start.
func (f *fleet) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.out, "%8.3f "+format+"\n", append([]any{time.Since(f.started).Seconds()}, args...)...)
}

func (f *fleet) since(t time.Time) float64 { return t.Sub(f.started).Seconds() }

func (f *fleet) arrived(s *server, r *run) {
	if f.onArrive != nil {
		f.onArrive(s, r)
	}
}

// addMachine adds a machine with a server that is not started yet.
func (f *fleet) addMachine(service, zone string, slots int, serve func(context.Context, *server, *run) (int, []byte, bool)) *machine {
	ip := fmt.Sprintf("%s.%d", f.prefix, len(f.machines)+1)
	at := func(offset int) string { return fmt.Sprintf("%s:%d", ip, f.port+offset) }
	m := &machine{
		name: fmt.Sprintf("sidecar-%s-%d", zone, len(f.machines)+1), ip: ip, outbound: at(portOutbound), ready: at(portReady),
		server: &server{fleet: f, service: service, address: at(portServer), zone: zone, slots: slots, serve: serve, wrote: make(chan struct{}, 1)},
	}
	f.machines = append(f.machines, m)
	return m
}

// start starts all servers, then all nodes, and waits until every node is ready.
func (f *fleet) start(ctx context.Context) error {
	for _, m := range f.machines {
		if err := m.server.start(); err != nil {
			return err
		}
		go m.server.heartbeats(ctx)
	}
	for _, m := range f.machines {
		if err := f.startNode(m); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(25 * time.Second)
	for _, m := range f.machines {
		for !f.isReady(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("node of %s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record("all %d nodes are ready", len(f.machines))
	return nil
}

func (f *fleet) isReady(m *machine) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startNode starts the node of a machine with the command of the deploy file and a file as
// its template gives it.
func (f *fleet) startNode(m *machine) error {
	seeds := []string{}
	for _, seed := range f.machines[:min(3, len(f.machines))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", seed.ip, f.port+portControl))
	}
	at := func(offset int) string { return fmt.Sprintf("%s:%d", m.ip, f.port+offset) }
	quote := func(v any) string {
		text, _ := json.Marshal(v)
		return string(text)
	}
	settings := strings.Join([]string{
		"node: " + quote(m.name), "zone: " + quote(m.server.zone), "service: " + quote(m.server.service), "listen:",
		"  entry: " + quote(m.outbound), "  peer: " + quote(at(portInbound)), "  control: " + quote(at(portControl)),
		"  ready: " + quote(m.ready), "  metrics: " + quote(at(portMetrics)),
		"upstream: " + quote(m.server.address), "store: " + quote(f.storeAddress()), "seeds: " + quote(seeds),
		fmt.Sprintf("firstStart: %v", m.node == nil), "bounds: " + quote(bounds), fmt.Sprintf("memoryMB: %d", memoryMB), "",
	}, "\n")
	path := filepath.Join(f.dir, m.name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.node = exec.Command("target/toucancove", "mesh")
	m.node.Env = append(os.Environ(), "TOUCANCOVE_CONFIG="+path)
	m.node.Stdout, m.node.Stderr = log, log
	m.node.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nodes don't outlive this program
	return m.node.Start()
}

// stop ends the processes that the fleet started.
func (f *fleet) stop() {
	for _, m := range f.machines {
		if m.node != nil && m.node.Process != nil {
			_ = m.node.Process.Kill()
			_ = m.node.Wait()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
	_ = f.out.Close()
}

// publish writes a configuration.
func (f *fleet) publish(version string, resources ...map[string]any) {
	limits := map[string]any{
		"TypeUrl": "Limits", "Metadata": map[string]any{},
		"Spec": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
	}
	value, _ := json.Marshal(map[string]any{"Version": version, "Resources": append(resources, limits)})
	f.store.put("op/config", value)
}

func resource(kind, name string, spec map[string]any) map[string]any {
	return map[string]any{"TypeUrl": kind, "Metadata": map[string]any{"Name": name}, "Spec": spec}
}

func service(name string) map[string]any {
	return resource("Services", name, map[string]any{"HealthPath": "/healthz", "MaxConnections": 1000, "Protocol": "h1", "Tls": false})
}
