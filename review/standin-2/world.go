package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// World is a small deployment on loopback addresses: a store, machines with a server and
// a node each, and clients.
type World struct {
	root, temp string
	trouble    bool
	record     *Record
	store      *Store
	machines   []*Machine
	ports      ports
	// base is the loopback network of this run: 127.a.b.0, with b+1 for nodes behind relays.
	a, b    int
	bounds  []string
	revised int
}

type ports struct{ entry, peer, control, ready, metrics, server, store int }

// Machine is a node with the server beside it.
type Machine struct {
	world   *World
	name    string
	zone    string
	service string
	ip      string // where its server listens, and where others reach its node
	nodeIP  string // where its node listens; differs from ip behind relays
	server  *Server
	relays  []*Relay
	cmd     *exec.Cmd
	first   bool
	// cutOff marks a machine that cutMachine cuts off.
	cutOff bool
}

// siteBounds are those of the small deployments.
var siteBounds = []string{
	"SeedLagS=3", "ReuseAfterS=2", "StabilityWindowS=3", "AckTimeoutS=4", "CatchUpS=4", "DrainTimeoutS=2",
	"GracePeriodS=6", "LossSlackS=0.2", "ConfigApplyS=2", "RollbackSlackS=0.25", "MaxSkewS=5", "StrictRevoke=false",
	"RevokeS=5", "RetryBudgetRatio=0.2", "RetryWindowS=10", "BudgetSlack=50", "QuotaWindowS=5", "QuotaOverage=0.25",
	"QuotaSlack=20", "RecoveryS=15",
}

func newWorld(root, dir string) (*World, error) {
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &World{
		root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0", record: record,
		a: 10 + pid/100%200, b: 2 * (pid % 100), bounds: siteBounds,
	}
	free := func() int {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0
		}
		defer l.Close()
		return l.Addr().(*net.TCPAddr).Port
	}
	w.ports = ports{free(), free(), free(), free(), free(), free(), free()}
	if w.store, err = newStore(fmt.Sprintf("127.%d.%d.200:%d", w.a, w.b, w.ports.store)); err != nil {
		return nil, err
	}
	return w, nil
}

// add adds a machine with a server. With relays, other nodes reach its node through
// relays that can be cut.
func (w *World) add(zone, service string, relays bool) (*Machine, error) {
	n := len(w.machines) + 1
	m := &Machine{
		world: w, name: fmt.Sprintf("sidecar-%s-%d", zone, n), zone: zone, service: service,
		ip: fmt.Sprintf("127.%d.%d.%d", w.a, w.b, n), first: true,
	}
	m.nodeIP = m.ip
	if relays {
		m.nodeIP = fmt.Sprintf("127.%d.%d.%d", w.a, w.b+1, n)
		for _, port := range []int{w.ports.peer, w.ports.control} {
			relay, err := newRelay(fmt.Sprintf("%s:%d", m.ip, port), fmt.Sprintf("%s:%d", m.nodeIP, port), w.owner)
			if err != nil {
				return nil, err
			}
			m.relays = append(m.relays, relay)
		}
	}
	w.machines = append(w.machines, m)
	return m, nil
}

func (m *Machine) entry() string { return fmt.Sprintf("%s:%d", m.nodeIP, m.world.ports.entry) }
func (m *Machine) serve() string { return fmt.Sprintf("%s:%d", m.ip, m.world.ports.server) }
func (m *Machine) status() string {
	return fmt.Sprintf("http://%s:%d/status", m.nodeIP, m.world.ports.metrics)
}

func quote(v any) string {
	text, _ := json.Marshal(v)
	return string(text)
}

// settings fills in deploy/settings.yaml.tmpl.
func (m *Machine) settings() string {
	w := m.world
	at := func(port int) string { return quote(fmt.Sprintf("%s:%d", m.nodeIP, port)) }
	var bounds []string
	for _, b := range w.bounds {
		bounds = append(bounds, quote(b))
	}
	return strings.Join([]string{
		"node: " + quote(m.name), "zone: " + quote(m.zone), "service: " + quote(m.service), "listen:",
		"  entry: " + at(w.ports.entry), "  peer: " + at(w.ports.peer), "  control: " + at(w.ports.control),
		"  ready: " + at(w.ports.ready), "  metrics: " + at(w.ports.metrics),
		"upstream: " + quote(m.serve()),
		"store: " + quote(fmt.Sprintf("127.%d.%d.200:%d", w.a, w.b, w.ports.store)),
		"seeds: []", "firstStart: " + quote(m.first), "bounds: [" + strings.Join(bounds, ",") + "]", "memoryMB: 284", "",
	}, "\n")
}

// start starts the node's process.
func (m *Machine) start() error {
	path := filepath.Join(m.world.temp, m.name+".yaml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.world.temp, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command("target/toucancove", "mesh")
	m.cmd.Dir, m.cmd.Env = m.world.root, append(os.Environ(), "TOUCANCOVE_CONFIG="+path)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.first = false
	return m.cmd.Start()
}

func (m *Machine) signal(s syscall.Signal) { _ = m.cmd.Process.Signal(s) }

// kill ends the node's process and waits for it.
func (m *Machine) kill() {
	if m.cmd != nil {
		m.signal(syscall.SIGKILL)
		_ = m.cmd.Wait()
	}
}

func (m *Machine) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", m.nodeIP, m.world.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts all nodes and waits until they are ready.
func (w *World) startAll() error {
	for _, m := range w.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, m := range w.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes of the run.
func (w *World) close() {
	for _, m := range w.machines {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.temp)
	} else {
		fmt.Println("logs in", w.temp)
	}
}

// configure publishes the next configuration.
func (w *World) configure(resources ...map[string]any) time.Time {
	w.revised++
	value, _ := json.Marshal(map[string]any{"Version": fmt.Sprintf("r%d", 6+w.revised), "Resources": resources})
	return w.store.Put("op/config", value)
}

func resource(kind, name string, spec map[string]any) map[string]any {
	return map[string]any{"TypeUrl": kind, "Metadata": map[string]any{"Name": name}, "Spec": spec}
}

func service(name string) map[string]any {
	return resource("Services", name, map[string]any{"HealthPath": "/healthz", "MaxConnections": 1000, "Protocol": "h1", "Tls": false})
}

func limits() map[string]any {
	return resource("Limits", "", map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15})
}

func route(name, prefix, kind, service string, timeout float64, public bool) map[string]any {
	return resource("Routes", name, map[string]any{
		"Host": "review.example", "Prefix": prefix, "Kind": kind, "TimeoutS": timeout, "TargetLatencyS": timeout,
		"Priority": 0, "Service": service, "MaxAttempts": 2, "Public": public,
	})
}

// ranked sets the priority of a route; 0 is the highest.
func ranked(route map[string]any, priority int) map[string]any {
	route["Spec"].(map[string]any)["Priority"] = priority
	return route
}

func tenant(name, key string, rate, burst float64) map[string]any {
	return resource("Tenants", name, map[string]any{"ApiKeys": []string{key}, "Priority": 1, "RatePerS": rate, "Burst": burst})
}
