package mesh

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/go-logr/logr"

	"github.com/toucancove/toucancove/peer/meshpb"
)

// A collector whose process has ended mints no more tokens. Other nodes distinguish
// this from a slow collector by the refused connection.
func TestDrawFromStoppedProcessIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	_, err = newControlClients(logr.Discard()).client(address).DrawTokens(context.Background(), &meshpb.DrawRequest{Node: "x"})
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v, want ECONNREFUSED", err)
	}
}
