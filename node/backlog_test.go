package node

import (
	"errors"
	"net"
	"testing"
	"time"
)

func TestDropNewConnectionsKeepsEstablished(t *testing.T) {
	listener, err := listenTCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opened, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	if err := dropNewConnections(listener); err != nil {
		t.Fatal(err)
	}
	const dialWait = 50 * time.Millisecond
	if _, err := net.DialTimeout("tcp", listener.Addr().String(), dialWait); !isTimeout(err) {
		t.Errorf("new connection: %v; want a timeout", err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if _, err := opened.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if n, err := accepted.Read(make([]byte, 1)); n != 1 {
		t.Errorf("read %d bytes, %v; want the byte sent on the established connection", n, err)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
