package mesh

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/go-logr/logr"
)

const (
	// acceptPause is the time between attempts to accept while the process has
	// no free descriptor. Requests under way free some within milliseconds.
	acceptPause = 10 * time.Millisecond
	// acceptLogInterval bounds the log lines about it.
	acceptLogInterval = time.Second
)

// patientListener waits for a free descriptor instead of failing: a node that is
// flooded with connections must go on serving those that it has.
type patientListener struct {
	net.Listener
	name string
	log  logr.Logger
}

// Accept implements net.Listener.
func (l patientListener) Accept() (net.Conn, error) {
	var loggedAt time.Time
	for {
		conn, err := l.Listener.Accept()
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
			return conn, err
		}
		if now := time.Now(); now.Sub(loggedAt) >= acceptLogInterval {
			loggedAt = now
			l.log.Info("no descriptor left for a connection", "listener", l.name, "reason", err.Error())
		}
		time.Sleep(acceptPause)
	}
}
