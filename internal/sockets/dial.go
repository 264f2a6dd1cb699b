package sockets

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAlive detects an unresponsive peer of an idle connection: the connection
// ends within three seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Dialer returns a dialer that opens connections within a timeout. A connection
// ends when sent data is not acknowledged within unacknowledged
// (TCP_USER_TIMEOUT) or, while idle, by keepalive probes.
func Dialer(timeout, unacknowledged time.Duration) *net.Dialer {
	control := func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: control}
}
