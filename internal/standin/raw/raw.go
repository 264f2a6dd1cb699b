// Package raw is a stand-in for a server in trouble whose responses are texts of a test.
package raw

import (
	"net"
	"sync/atomic"
	"testing"
)

// maxRequest is the number of bytes that are read of a request.
const maxRequest = 16 << 10

// Server responds to one request on each connection with a text, and closes it.
type Server struct {
	// Address is the IP:port of the listener.
	Address  string
	response atomic.Pointer[string]
}

// Start starts a server on a loopback address, which ends with the test.
func Start(t testing.TB, response string) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &Server{Address: listener.Addr().String()}
	s.SetResponse(response)
	go s.serve(listener)
	return s
}

// SetResponse replaces the response.
func (s *Server) SetResponse(response string) { s.response.Store(&response) }

func (s *Server) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close() //nolint:errcheck // the test is over
			if _, err := conn.Read(make([]byte, maxRequest)); err == nil {
				_, _ = conn.Write([]byte(*s.response.Load()))
			}
		}()
	}
}
