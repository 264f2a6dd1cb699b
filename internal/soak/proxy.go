// Package soak runs real nodes as processes on loopback, injects faults from
// outside them and checks what callers and instances see. The tests of the
// package hold the soak; this file is the proxy that harms connections.
package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Harm is what a proxy does to the connections through it.
type Harm uint8

// Kinds of harm.
const (
	// None passes everything on.
	None Harm = iota
	// Delay holds each piece back for some milliseconds.
	Delay
	// Reset ends connections in their middle.
	Reset
	// Silence passes nothing on and closes nothing, in both directions.
	Silence
	// OneWay passes nothing on from the far side.
	OneWay
	// Refuse closes new connections at once.
	Refuse
)

// Proxy passes connections on to one address and harms them. It is safe for
// concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	harm  Harm
	conns map[net.Conn]struct{}
}

// NewProxy listens on an address and passes on to target.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Cut()
}

// SetHarm replaces the harm, for open connections too.
func (p *Proxy) SetHarm(h Harm) {
	p.mu.Lock()
	p.harm = h
	p.mu.Unlock()
	if h == Reset {
		p.Cut()
	}
}

// Cut resets all open connections.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *Proxy) current() Harm {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harm
}

func (p *Proxy) track(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = struct{}{}
}

func (p *Proxy) forget(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

func (p *Proxy) serve(near net.Conn) {
	p.track(near)
	defer p.forget(near)
	if p.current() == Refuse {
		return
	}
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.track(far)
	defer p.forget(far)
	done := make(chan struct{}, 2)
	go func() { p.pass(far, near, Silence); done <- struct{}{} }()
	go func() { p.pass(near, far, OneWay); done <- struct{}{} }()
	<-done
}

// pass copies from src to dst; it holds back everything under Silence and under
// the given harm.
func (p *Proxy) pass(dst io.Writer, src io.Reader, held Harm) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			return
		}
		for h := p.current(); h == Silence || h == held; h = p.current() {
			time.Sleep(20 * time.Millisecond)
		}
		if p.current() == Delay {
			time.Sleep(time.Duration(rand.N(60)) * time.Millisecond)
		}
		if _, err := dst.Write(buffer[:n]); err != nil {
			return
		}
	}
}
