package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are those of the settings on the page about how the system is run.
const bounds = `"SeedLagS=3","ReuseAfterS=2","StabilityWindowS=3","AckTimeoutS=4","CatchUpS=4","DrainTimeoutS=2",` +
	`"GracePeriodS=6","LossSlackS=0.2","ConfigApplyS=2","RollbackSlackS=0.25","MaxSkewS=5","StrictRevoke=false",` +
	`"RevokeS=5","RetryBudgetRatio=0.2","RetryWindowS=10","BudgetSlack=50","QuotaWindowS=5","QuotaOverage=0.25",` +
	`"QuotaSlack=20","RecoveryS=15"`

// Ports are the ports of a node, the same on all machines.
type Ports struct{ Outbound, Inbound, Control, Ready, Metrics, App, Store int }

// freePorts returns ports that are free on all the addresses.
func freePorts(ips []string) (Ports, error) {
	for range 200 {
		base := 20000 + rand.IntN(10000)
		if portsFree(ips, base, 7) {
			return Ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6}, nil
		}
	}
	return Ports{}, errors.New("no free ports")
}

func portsFree(ips []string, base, count int) bool {
	for _, ip := range ips {
		for p := base; p < base+count; p++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// started holds the processes that were started, so that an interrupted case ends them.
var started struct {
	sync.Mutex
	processes []*os.Process
}

// killStarted ends all processes that were started.
func killStarted() {
	started.Lock()
	defer started.Unlock()
	for _, process := range started.processes {
		_ = process.Kill()
	}
}

// Node is a process of the project beside a server.
type Node struct {
	Name, IP, Zone, Service string
	ports                   Ports
	store                   string
	seeds                   []string
	dir                     string
	record                  *Record
	command                 *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// Outbound returns the address for clients.
func (n *Node) Outbound() string { return fmt.Sprintf("%s:%d", n.IP, n.ports.Outbound) }

// Start starts the process with the command of the deploy file.
func (n *Node) Start(first bool) error {
	path := filepath.Join(n.dir, n.Name+".yaml")
	address := func(port int) string { return fmt.Sprintf("%q", fmt.Sprintf("%s:%d", n.IP, port)) }
	settings := strings.Join([]string{
		fmt.Sprintf("node: %q", n.Name), fmt.Sprintf("zone: %q", n.Zone), fmt.Sprintf("service: %q", n.Service),
		"listen:",
		"  entry: " + address(n.ports.Outbound), "  peer: " + address(n.ports.Inbound), "  control: " + address(n.ports.Control),
		"  ready: " + address(n.ports.Ready), "  metrics: " + address(n.ports.Metrics),
		"upstream: " + address(n.ports.App), fmt.Sprintf("store: %q", n.store),
		`seeds: ["` + strings.Join(n.seeds, `","`) + `"]`, fmt.Sprintf("firstStart: %t", first),
		"bounds: [" + bounds + "]", "memoryMB: 284", "",
	}, "\n")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command("target/toucancove", "mesh")
	n.command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "TOUCANCOVE_CONFIG=" + path,
	}
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return err
	}
	started.Lock()
	started.processes = append(started.processes, n.command.Process)
	started.Unlock()
	n.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		err := command.Wait()
		_ = log.Close()
		n.record.Addf("node %s: process ended (%v)", n.Name, err)
		close(ended)
	}(n.command, n.ended)
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(signal syscall.Signal) {
	n.record.Addf("node %s: %v", n.Name, signal)
	_ = n.command.Process.Signal(signal)
}

// Kill ends the process, if it runs.
func (n *Node) Kill() {
	if n.command == nil || n.command.Process == nil {
		return
	}
	_ = n.command.Process.Kill()
	<-n.ended
}

// Ready reports whether the node says that it is ready.
func (n *Node) Ready() bool {
	client := NewClient("127.0.0.1", fmt.Sprintf("%s:%d", n.IP, n.ports.Ready))
	defer client.Close()
	return client.Do(Request{Method: "GET", Host: "ready", Path: "/readyz", Deadline: time.Second}).Status == 200
}
