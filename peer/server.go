package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/peer/peerpb"
	"github.com/toucancove/toucancove/peer/relaypb"
)

const (
	// readTimeout bounds the time to receive the header and the whole of a control
	// message.
	readTimeout = 10 * time.Second
	// serverIdleTimeout is how long an unused control connection is kept. It is
	// longer than the clients' idleConnTimeout.
	serverIdleTimeout = 2 * time.Minute
)

// State provides a node's own status.
type State interface {
	// Hello returns the reply to a peer's Hello.
	Hello() *peerpb.HelloResponse
}

// Server serves the control protocol of one node.
type Server struct {
	State State
}

// Hello implements peerpb.Peer.
func (s *Server) Hello(context.Context, *peerpb.HelloRequest) (*peerpb.HelloResponse, error) {
	return s.State.Hello(), nil
}

// Services are the control services that a node serves.
type Services struct {
	Peer  peerpb.Peer
	Quota peerpb.Quota
	Relay Relay
}

// NewHTTPServer returns the HTTP server of the control listener. It refuses
// messages that auth can't verify for the instance self.
func NewHTTPServer(self member.InstanceID, auth *Authenticator, services Services) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(peerpb.PeerPathPrefix, peerpb.NewPeerServer(services.Peer))
	mux.Handle(peerpb.QuotaPathPrefix, peerpb.NewQuotaServer(services.Quota))
	mux.Handle(relaypb.RelayPathPrefix, relaypb.NewRelayServer(&relayServer{services.Relay}))
	return &http.Server{
		Handler:           auth.Middleware(self, mux),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       serverIdleTimeout,
	}
}
