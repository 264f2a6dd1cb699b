package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// Relay forwards TCP connections to the node of a machine and can be cut: then nothing
// passes in either direction, and new connections get no answer from the other side.
type Relay struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	cut  func(from *Machine) bool
	from func(net.Conn) *Machine
}

func newRelay(address, target string, from func(net.Conn) *Machine) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, from: from}
	go r.accept()
	return r, nil
}

// setCut cuts the connections that come from certain machines. nil heals the cut.
func (r *Relay) setCut(cut func(from *Machine) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

func (r *Relay) isCut(from *Machine) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut != nil && r.cut(from)
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

func (r *Relay) forward(conn net.Conn) {
	defer conn.Close()
	from := r.from(conn)
	r.waitUncut(from)
	out, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		if c, ok := conn.(*net.TCPConn); ok {
			_ = c.SetLinger(0)
		}
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	go func() { r.copy(out, conn, from); done <- struct{}{} }()
	go func() { r.copy(conn, out, from); done <- struct{}{} }()
	<-done
}

func (r *Relay) waitUncut(from *Machine) {
	for r.isCut(from) {
		time.Sleep(5 * time.Millisecond)
	}
}

func (r *Relay) copy(to, from net.Conn, machine *Machine) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		r.waitUncut(machine)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// owner returns the machine whose node has opened a connection, nil if none has. All
// processes share one network, so the kernel's table of sockets tells.
func (w *World) owner(conn net.Conn) *Machine {
	remote, local := conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr)
	want := hexAddress(remote) + " " + hexAddress(local)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[1]+" "+fields[2] != want {
			continue
		}
		return w.holderOf("socket:[" + fields[9] + "]")
	}
	return nil
}

func hexAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

func (w *World) holderOf(socket string) *Machine {
	for _, m := range w.machines {
		if !m.cutOff || m.cmd == nil || m.cmd.Process == nil {
			continue // only the connections of machines that are cut off matter
		}
		dir := fmt.Sprintf("/proc/%d/fd", m.cmd.Process.Pid)
		entries, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		for _, e := range entries {
			if link, err := os.Readlink(dir + "/" + e.Name()); err == nil && link == socket {
				return m
			}
		}
	}
	return nil
}

// cutMachine cuts a machine off from all others, or heals the cut. The machine must have
// been marked by cutOff before its node started.
func (w *World) cutMachine(m *Machine, cut bool) {
	for _, other := range w.machines {
		for _, relay := range other.relays {
			switch {
			case !cut:
				relay.setCut(nil)
			case other == m:
				relay.setCut(func(from *Machine) bool { return from != m })
			default:
				relay.setCut(func(from *Machine) bool { return from == m })
			}
		}
	}
}
