package proxy

import (
	"context"
	"crypto/tls"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/core/pass"
)

// maxConnsPerPeer is the largest number of connections from one entry to one
// guard.
const maxConnsPerPeer = 512

// Peers forwards calls to the guards of other nodes. It is safe for concurrent
// use.
type Peers struct {
	signer *pass.Signer
	tls    *tls.Config

	mu sync.RWMutex
	// clients is keyed by the address of the peer.
	clients map[string]*Client
}

// NewPeers returns a Peers that signs passes with signer. tlsConfig is nil for
// connections without TLS.
func NewPeers(signer *pass.Signer, tlsConfig *tls.Config) *Peers {
	return &Peers{signer: signer, tls: tlsConfig, clients: make(map[string]*Client)}
}

func (p *Peers) client(address string) *Client {
	p.mu.RLock()
	client := p.clients[address]
	p.mu.RUnlock()
	if client != nil {
		return client
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if client = p.clients[address]; client == nil {
		client = NewClient(ClientConfig{Address: address, MaxConns: maxConnsPerPeer, TLS: p.tls})
		p.clients[address] = client
	}
	return client
}

// Retain closes the clients of instances that are no longer listed.
func (p *Peers) Retain(instances []config.Instance) {
	listed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		listed[instance.Peer] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, client := range p.clients {
		if !listed[address] {
			client.Close()
			delete(p.clients, address)
		}
	}
}

// send signs a pass for a call and sends it to the guard of an instance. Errors
// are *Refusal.
func (p *Peers) send(ctx context.Context, instance config.Instance, c *call) (*Response, Evidence, error) {
	token, err := p.signer.Sign(c.claims)
	if err != nil {
		return nil, Evidence{Err: context.Canceled, Unused: unusedRetries(c.claims.Attempts)}, notRun(fasthttp.StatusInternalServerError, ReasonInternal, err.Error())
	}
	c.request.Header.Set(HeaderPass, token)
	if c.ticket != "" {
		c.request.Header.Set(HeaderTicket, c.ticket)
	}
	c.request.Header.SetHost(instance.Peer)
	c.body.attach(c.request)
	exchange, err := p.client(instance.Peer).Do(ctx, c.request, c.deadline)
	if err != nil {
		refusal := exchangeRefusal(ctx, err, c.deadline)
		if refusal.Reason == ReasonUpstreamFailed {
			refusal.Reason = ReasonInstanceFailed
		}
		evidence := Evidence{Err: exchangeError(ctx, err, c)}
		if refusal.Run == RunNo {
			evidence.Unused = unusedRetries(c.claims.Attempts)
		}
		return nil, evidence, refusal
	}
	evidence := readEvidence(exchange.Head)
	body := &responseBody{exchange: exchange, done: func(int64, error) {}}
	if refusal := readRefusal(exchange.Head); refusal != nil {
		evidence.Refusal = refusal
		drain(body)
		return nil, evidence, refusal
	}
	return &Response{Head: exchange.Head, Body: body}, evidence, nil
}

// drain reads the short body of a refusal to its end, so that the connection
// can be reused, and closes it.
func drain(body *responseBody) {
	var buf [4096]byte
	for {
		if _, err := body.Read(buf[:]); err != nil {
			break
		}
	}
	_ = body.Close()
}
