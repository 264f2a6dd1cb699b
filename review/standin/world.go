package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// errNothingRan means that no request was served, so that the case shows nothing.
var errNothingRan = errors.New("no request was served")

// Machine is a server with the node beside it.
type Machine struct {
	Server *Server
	Node   *Node
}

// MachineSpec describes a machine of a world.
type MachineSpec struct {
	Service, Zone string
	Slots         int
	Work          time.Duration
	BodySize      int
}

// World is a small deployment on loopback addresses.
type World struct {
	Record   *Record
	Store    *Store
	Machines []*Machine
	dir      string
	lastID   atomic.Uint64
}

const (
	hostName  = "calls.example"
	clientKey = "6wsjnbanfqasnmgkcuyj"
	tenant    = "pulo780"
)

// NewWorld starts the store, the servers and the nodes, and waits until all nodes are
// ready.
func NewWorld(record *Record, specs []MachineSpec, config map[string]any) (*World, error) {
	w := &World{Record: record}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w.dir = dir
	ips := []string{"127.0.0.1"}
	for i := range specs {
		ips = append(ips, fmt.Sprintf("127.77.0.%d", 10+i))
	}
	ports, err := freePorts(ips)
	if err != nil {
		return w, err
	}
	if w.Store, err = NewStore(fmt.Sprintf("127.0.0.1:%d", ports.Store)); err != nil {
		return w, err
	}
	var seeds []string
	for _, ip := range ips[1:min(len(ips), 4)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, ports.Control))
	}
	entries := map[string]any{"op/config": config}
	for i, spec := range specs {
		ip := ips[i+1]
		server := &Server{
			ID: fmt.Sprintf("i-%d%s", i, spec.Service), Service: spec.Service, Zone: spec.Zone,
			Address: fmt.Sprintf("%s:%d", ip, ports.App), Slots: spec.Slots, Work: spec.Work, BodySize: spec.BodySize,
		}
		node := &Node{
			Name: fmt.Sprintf("sidecar-%d", i), IP: ip, Zone: spec.Zone, Service: spec.Service,
			ports: ports, store: w.Store.Address, seeds: seeds, dir: dir, record: record,
		}
		w.Machines = append(w.Machines, &Machine{Server: server, Node: node})
		if err := server.Start(record); err != nil {
			return w, err
		}
		entries["servers/"+server.ID] = server.Entry("ready")
	}
	w.Store.Put(entries)
	for _, m := range w.Machines {
		if err := m.Node.Start(true); err != nil {
			return w, err
		}
	}
	return w, w.waitReady(10 * time.Second)
}

func (w *World) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, m := range w.Machines {
		for !m.Node.Ready() {
			if time.Now().After(deadline) {
				return errors.New("nodes are not ready in time")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes and servers.
func (w *World) Close() {
	var group sync.WaitGroup
	for _, m := range w.Machines {
		group.Go(m.Node.Kill)
		m.Server.Close()
	}
	group.Wait()
	if w.Store != nil {
		w.Store.Close()
	}
	if w.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// NextID returns a new Request-Id.
func (w *World) NextID() string { return fmt.Sprintf("q%06d", w.lastID.Add(1)) }

// RunsByID returns the runs of each request.
func (w *World) RunsByID() map[string][]Run {
	runs := make(map[string][]Run)
	for _, m := range w.Machines {
		for _, run := range m.Server.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	return runs
}

// route returns a route of a configuration.
func route(name, prefix, kind, service string, timeoutS float64, attempts int) map[string]any {
	return map[string]any{"TypeUrl": "Routes", "Metadata": map[string]any{"Name": name}, "Spec": map[string]any{
		"Host": hostName, "Prefix": prefix, "Kind": kind, "TimeoutS": timeoutS, "TargetLatencyS": timeoutS / 2,
		"Priority": 0, "Service": service, "MaxAttempts": attempts, "Public": false,
	}}
}

// configuration returns a configuration with the routes, the services and one tenant
// without a usage cap.
func configuration(version string, routes []map[string]any, services ...string) map[string]any {
	resources := routes
	for _, name := range services {
		resources = append(resources, map[string]any{
			"TypeUrl": "Services", "Metadata": map[string]any{"Name": name},
			"Spec": map[string]any{"HealthPath": "/healthz", "MaxConnections": 664, "Protocol": "h1", "Tls": false},
		})
	}
	resources = append(resources,
		map[string]any{
			"TypeUrl": "Tenants", "Metadata": map[string]any{"Name": tenant},
			"Spec": map[string]any{"ApiKeys": []string{clientKey}, "Priority": 1, "RatePerS": 0, "Burst": 0},
		},
		map[string]any{
			"TypeUrl": "Limits", "Metadata": map[string]any{},
			"Spec": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		})
	return map[string]any{"Version": version, "Resources": resources}
}
