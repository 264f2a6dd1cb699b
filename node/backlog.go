package node

import (
	"context"
	"net"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Offsets and flags of the TCP header, with which the input of a socket filter
// starts. The return value of a filter is the number of bytes to keep.
const (
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
	acceptSegment  = 0xffff
)

// dropSYN is a socket filter that drops segments with the SYN flag and accepts
// all others.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 0, Jf: 1, K: tcpFlagSYN},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: acceptSegment},
}

// listenTCP listens on an address without Multipath TCP, whose sockets don't
// support filters.
func listenTCP(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

// dropNewConnections makes the kernel drop new connections to a listener, while
// those already established can still be accepted. Closing a listener resets
// the connections that are not accepted yet, and so loses requests that they
// carry. The client retransmits its SYN and is refused once the listener is
// closed.
func dropNewConnections(listener net.Listener) error {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return eris.Errorf("listener %T has no socket", listener)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "get socket of listener")
	}
	program := &unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	if err == nil {
		err = setErr
	}
	return eris.Wrap(err, "attach socket filter")
}
