package peer

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/internal/wellformed"
	"github.com/toucancove/toucancove/peer/peerpb"
)

const (
	// dialTimeout bounds the time to open a control connection.
	dialTimeout = time.Second
	// idleConnTimeout is how long an unused control connection is kept.
	idleConnTimeout = 90 * time.Second
	// maxIdleConnsPerPeer bounds the idle control connections to one peer.
	maxIdleConnsPerPeer = 2
)

// Clients holds a node's clients of its peers, which share connections. It is safe
// for concurrent use.
type Clients struct {
	auth      *Authenticator
	meter     *Meter
	transport *wellformed.Transport
	scheme    string

	mu      sync.Mutex
	clients map[clientKey]Client
}

// Client calls the services of one peer.
type Client struct {
	peerpb.Peer
	peerpb.Quota
}

type clientKey struct {
	instance member.InstanceID
	address  string
}

// NewClients returns clients that sign with auth and count traffic with meter. They
// use plain HTTP if tlsConfig is nil.
func NewClients(auth *Authenticator, tlsConfig *tls.Config, meter *Meter) *Clients {
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	return &Clients{
		auth:   auth,
		meter:  meter,
		scheme: scheme,
		transport: wellformed.NewTransport(&http.Transport{
			DialContext:         meter.DialContext(&net.Dialer{Timeout: dialTimeout}),
			TLSClientConfig:     tlsConfig,
			MaxIdleConnsPerHost: maxIdleConnsPerPeer,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		}, maxMessageBytes),
		clients: make(map[clientKey]Client),
	}
}

// For returns the client of the node beside an instance, at its control address.
// Its requests are signed for that instance.
func (c *Clients) For(instance member.InstanceID, address string) Client {
	key := clientKey{instance, address}
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[key]
	if !ok {
		signed := &http.Client{
			Transport: &signingTransport{auth: c.auth, audience: instance, next: c.transport, meter: c.meter},
		}
		base := c.scheme + "://" + address
		client = Client{
			Peer:  peerpb.NewPeerProtobufClient(base, signed),
			Quota: peerpb.NewQuotaProtobufClient(base, signed),
		}
		c.clients[key] = client
	}
	return client
}

// Close closes the idle connections.
func (c *Clients) Close() { c.transport.CloseIdleConnections() }
