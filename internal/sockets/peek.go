// Package sockets holds what all links between processes need of their TCP
// connections: a look at what has arrived, and an end for those that go silent.
package sockets

import (
	"net"
	"syscall"
)

// IsIdle reports whether a connection is open and has nothing to read: it is
// false after the other side closed it or sent bytes that nobody asked for.
func IsIdle(conn net.Conn) bool {
	state, ok := peek(conn)
	return !ok || state == peekEmpty
}

// IsClosed reports whether the other side has closed the connection.
func IsClosed(conn net.Conn) bool {
	state, ok := peek(conn)
	return ok && state == peekClosed
}

type peekState uint8

const (
	peekEmpty peekState = iota
	peekData
	peekClosed
)

// peek looks at the receive buffer without consuming it. It is not ok for
// connections that are not sockets.
func peek(conn net.Conn) (state peekState, ok bool) {
	if wrapped, isWrapped := conn.(interface{ NetConn() net.Conn }); isWrapped {
		conn = wrapped.NetConn()
	}
	socket, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return peekEmpty, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return peekClosed, true
	}
	if err := raw.Control(func(fd uintptr) { state = peekDescriptor(int(fd)) }); err != nil {
		return peekClosed, true
	}
	return state, true
}

func peekDescriptor(fd int) peekState {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return peekEmpty
	case err != nil || n == 0:
		return peekClosed
	default:
		return peekData
	}
}
