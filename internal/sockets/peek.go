// Package sockets holds what all links between processes need of their TCP
// connections: a check whether a pooled connection can be reused, and options
// that close connections to an unresponsive peer.
package sockets

import (
	"net"
	"syscall"
)

// IsIdle reports whether a connection is open and has nothing to read. It is
// false after the peer closed it or sent bytes without a request. Connections
// that are not sockets count as idle.
func IsIdle(conn net.Conn) bool {
	state, ok := peek(conn)
	return !ok || state == peekEmpty
}

// IsClosed reports whether the peer has closed the connection. It is false for
// connections that are not sockets.
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

// peek reads the state of the receive buffer without consuming data. ok is false
// for connections that are not sockets.
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
