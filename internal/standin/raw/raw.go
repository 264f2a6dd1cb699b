// Package raw is a stand-in for a server in trouble, whose responses a test writes byte by
// byte.
package raw

import (
	"net"
	"sync/atomic"
	"testing"
)

// maxRequest is the number of bytes that are read of a request.
const maxRequest = 16 << 10

// Serve starts a server on a loopback address, and returns its IP:port. respond responds to
// the first request on each connection, which is closed then. The server ends with the test.
func Serve(t testing.TB, respond func(conn net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close() //nolint:errcheck // the response has been written
				if _, err := conn.Read(make([]byte, maxRequest)); err == nil {
					respond(conn)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Server responds to each request with a text.
type Server struct {
	// Address is the IP:port of the listener.
	Address  string
	response atomic.Pointer[string]
}

// Start starts a server that ends with the test.
func Start(t testing.TB, response string) *Server {
	t.Helper()
	s := &Server{}
	s.SetResponse(response)
	s.Address = Serve(t, func(conn net.Conn) { _, _ = conn.Write([]byte(*s.response.Load())) })
	return s
}

// SetResponse replaces the response.
func (s *Server) SetResponse(response string) { s.response.Store(&response) }
