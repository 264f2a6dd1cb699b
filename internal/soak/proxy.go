// Package soak runs real nodes as processes on loopback, injects faults from
// outside (signals, network, store, configuration) and checks what callers and
// instances observe. The soak itself is in the tests of the package; this file
// is the TCP proxy that injects network faults.
package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Fault is a network fault that a proxy injects into its connections.
type Fault uint8

// Network faults.
const (
	// None forwards all data.
	None Fault = iota
	// Delay delays each forwarded chunk by up to 60 ms.
	Delay
	// Reset resets the connections that are open when the fault is set.
	Reset
	// Blackhole forwards no data in either direction and closes no connection (a
	// network partition).
	Blackhole
	// BlackholeToClient forwards no data from the target to the client.
	BlackholeToClient
	// Refuse closes new connections immediately.
	Refuse
)

// Proxy forwards connections to one address and injects network faults. It is
// safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]struct{}
}

// NewProxy listens on an address and forwards connections to target.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// Close stops listening and resets all open connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.ResetAll()
}

// SetFault replaces the fault, also for open connections.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
	if f == Reset {
		p.ResetAll()
	}
}

// ResetAll resets all open connections.
func (p *Proxy) ResetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *Proxy) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) track(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = struct{}{}
}

func (p *Proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	p.track(client)
	defer p.untrack(client)
	if p.currentFault() == Refuse {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.track(server)
	defer p.untrack(server)
	done := make(chan struct{}, 2)
	go func() { p.forward(server, client, Blackhole); done <- struct{}{} }()
	go func() { p.forward(client, server, BlackholeToClient); done <- struct{}{} }()
	<-done
}

// forward copies from src to dst. It waits while the fault is Blackhole or
// blockedBy.
func (p *Proxy) forward(dst io.Writer, src io.Reader, blockedBy Fault) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			return
		}
		for f := p.currentFault(); f == Blackhole || f == blockedBy; f = p.currentFault() {
			time.Sleep(20 * time.Millisecond)
		}
		if p.currentFault() == Delay {
			time.Sleep(time.Duration(rand.N(60)) * time.Millisecond)
		}
		if _, err := dst.Write(buffer[:n]); err != nil {
			return
		}
	}
}
