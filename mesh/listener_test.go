package mesh

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"
)

// scarceListener has no descriptor for the first connections.
type scarceListener struct {
	net.Listener
	missing int
	accepts int
}

func (l *scarceListener) Accept() (net.Conn, error) {
	l.accepts++
	if l.accepts <= l.missing {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return nil, net.ErrClosed
}

// A node with thousands of connections has no descriptor left for a while.
func TestListenerOutlivesTheLackOfDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scarce := &scarceListener{missing: 300}
		_, err := patientListener{scarce, "peer", logr.Discard()}.Accept()
		if !errors.Is(err, net.ErrClosed) || scarce.accepts != 301 {
			t.Errorf("error %v after %d attempts, want to go on until the listener is closed", err, scarce.accepts)
		}
	})
}
