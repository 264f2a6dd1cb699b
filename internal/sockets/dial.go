package sockets

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAlive finds connections that went silent while nothing is sent: they end
// within three seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Dialer returns a dialer that opens connections within a timeout. They end when
// they go silent: sent data must be acknowledged within unacknowledged.
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
