package mesh

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/go-logr/logr"
)

const (
	// acceptRetryDelay is the time between attempts to accept while the process
	// has no free file descriptor. Requests in flight free some within
	// milliseconds.
	acceptRetryDelay = 10 * time.Millisecond
	// acceptLogInterval is the minimum time between log lines about it.
	acceptLogInterval = time.Second
)

// retryingListener waits for a free file descriptor instead of returning an error,
// which would stop the server: a node that is flooded with connections must continue
// to serve those that it has.
type retryingListener struct {
	net.Listener
	name string
	log  logr.Logger
}

// Accept implements net.Listener.
func (l retryingListener) Accept() (net.Conn, error) {
	var loggedAt time.Time
	for {
		conn, err := l.Listener.Accept()
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
			return conn, err
		}
		if now := time.Now(); now.Sub(loggedAt) >= acceptLogInterval {
			loggedAt = now
			l.log.Info("no file descriptor left to accept a connection", "listener", l.name, "reason", err.Error())
		}
		time.Sleep(acceptRetryDelay)
	}
}
