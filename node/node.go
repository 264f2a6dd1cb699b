package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/once"
	"github.com/toucancove/toucancove/core/pass"
	"github.com/toucancove/toucancove/peer"
	"github.com/toucancove/toucancove/peer/peerpb"
	"github.com/toucancove/toucancove/proxy"
	"github.com/toucancove/toucancove/settings"
	"github.com/toucancove/toucancove/telemetry"
	"github.com/toucancove/toucancove/valuestore"
)

// Node is one running process.
type Node struct {
	settings settings.Settings
	log      logr.Logger
	boot     member.BootID
	started  time.Time

	metrics       *telemetry.Metrics
	active        *proxy.ActiveCalls
	control       *control
	relayer       *relayer
	peers         *proxy.Peers
	guard         *proxy.Guard
	admitter      *proxy.AdaptiveAdmitter
	router        *proxy.TableRouter
	attempts      *proxy.AttemptLedger
	downstream    *proxy.DeeperLedger
	earlyRefusals *proxy.EarlyRefusals
	tickets       *once.Signer
	public        *fasthttp.Server
	loopback      *fasthttp.Server
	peer          *fasthttp.Server

	quota          *quotaControl
	controlPeers   *peer.Clients
	controlMeter   *peer.Meter
	controlServer  *http.Server
	operatorServer *http.Server

	certificates *certificates
	health       *health
	decisions    *proxy.Decisions

	// dataListeners are the public and the peer listener without TLS. They drop
	// new connections during a planned stop.
	dataListeners []net.Listener

	leaving atomic.Bool
	group   sync.WaitGroup
}

// New returns a node with the given settings. It starts no goroutine and opens
// no listener.
func New(s settings.Settings, log logr.Logger) (*Node, error) {
	signer, err := pass.NewSigner(secretBytes(s.Secrets)...)
	if err != nil {
		return nil, eris.Wrap(err, "fleet secrets")
	}
	tickets, err := once.NewSigner(secretBytes(s.Secrets)...)
	if err != nil {
		return nil, eris.Wrap(err, "fleet secrets")
	}
	reader, err := valuestore.NewClient(s.Platform.Address)
	if err != nil {
		return nil, eris.Wrap(err, "platform client")
	}
	certificates, err := newCertificates(s.TLS)
	if err != nil {
		return nil, eris.Wrap(err, "certificates")
	}
	n := &Node{
		settings:      s,
		log:           log,
		boot:          member.BootID(rand.Uint64()),
		metrics:       telemetry.NewMetrics(),
		active:        proxy.NewActiveCalls(),
		certificates:  certificates,
		peers:         proxy.NewPeers(signer, certificates.clientConfig()),
		decisions:     &proxy.Decisions{},
		router:        proxy.NewTableRouter(s.Zone),
		attempts:      proxy.NewAttemptLedger(),
		downstream:    proxy.NewDeeperLedger(),
		earlyRefusals: proxy.NewEarlyRefusals(),
		tickets:       tickets,
	}
	n.health = newHealth(s.Upstream, log, nil)
	auth := peer.NewAuthenticator(secretBytes(s.Secrets)...)
	n.controlMeter = &peer.Meter{}
	n.controlPeers = peer.NewClients(auth, certificates.clientConfig(), n.controlMeter)
	n.quota, err = newQuotaControl(s, n.boot, n.dialQuota, log)
	if err != nil {
		return nil, eris.Wrap(err, "quota")
	}
	n.control = newControl(log, n.active, n.configurationChanged)
	n.admitter = proxy.NewAdaptiveAdmitter(s.Upstream.Connections)
	n.guard = n.newGuard(signer)
	n.newServers(signer, auth, reader)
	return n, nil
}

func secretBytes(secrets []settings.Secret) [][]byte {
	raw := make([][]byte, len(secrets))
	for i, secret := range secrets {
		raw[i] = secret
	}
	return raw
}

func (n *Node) newGuard(signer *pass.Signer) *proxy.Guard {
	return proxy.NewGuard(proxy.GuardConfig{
		Instance: n.settings.Instance,
		Boot:     n.boot,
		Service:  n.settings.Service,
		Signer:   signer,
		View:     n.control.View,
		Admitter: n.admitter,
		Upstream: proxy.NewClient(proxy.ClientConfig{
			Address:  n.settings.Upstream.Address,
			MaxConns: n.settings.Upstream.Connections,
		}),
		Ledger:       n.attempts,
		Deeper:       n.downstream,
		Tickets:      proxy.NewTicketTable(n.settings.Instance, n.boot, n.tickets),
		Active:       n.active,
		Drain:        n.health.drainState,
		Decisions:    n.decisions,
		MaxBodyBytes: n.settings.Limits.BodyBytes,
		Timeouts:     n.timeouts(),
		Log:          n.log,
	})
}

func (n *Node) newEntry(signer *pass.Signer, loopback bool) *proxy.Entry {
	return proxy.NewEntry(proxy.EntryConfig{
		Instance:     n.settings.Instance,
		Loopback:     loopback,
		Signer:       signer,
		View:         n.control.View,
		Quota:        n.quota,
		Router:       n.router,
		Ledger:       n.attempts,
		Deeper:       n.downstream,
		Early:        n.earlyRefusals,
		Tickets:      n.tickets,
		FetchBoot:    n.fetchBootID,
		Peers:        n.peers,
		Guard:        n.guard,
		Active:       n.active,
		Metrics:      n.metrics,
		Decisions:    n.decisions,
		MaxBodyBytes: n.settings.Limits.BodyBytes,
		Timeouts:     n.timeouts(),
		Log:          n.log,
	})
}

func (n *Node) timeouts() proxy.Timeouts {
	return proxy.Timeouts{Read: n.settings.Limits.ReadTimeout, Write: n.settings.Limits.WriteTimeout}
}

func (n *Node) newServers(signer *pass.Signer, auth *peer.Authenticator, reader *valuestore.Client) {
	n.public = n.newServer("public", n.newEntry(signer, false).Handle)
	n.loopback = n.newServer("loopback", n.newEntry(signer, true).Handle)
	n.peer = n.newServer("peer", n.guard.Handle)
	n.relayer = newRelayer(n.settings, n.log, n.boot, n.control, reader, n.controlPeers, n.leaving.Load)
	n.controlServer = peer.NewHTTPServer(n.settings.Instance, auth, peer.Services{
		Peer: &peer.Server{State: n}, Relay: n.relayer, Quota: n.quota,
	})
	n.operatorServer = n.newOperatorServer()
}

// dialQuota returns the client of the quota service of an instance.
func (n *Node) dialQuota(instance config.Instance) peerpb.Quota {
	return n.controlPeers.For(instance.ID, instance.Control)
}

// fetchBootID returns the boot id of the node of an instance.
func (n *Node) fetchBootID(ctx context.Context, instance config.Instance) (member.BootID, error) {
	if instance.ID == n.settings.Instance {
		return n.boot, nil
	}
	hello, err := n.hello(ctx, instance)
	if err != nil {
		return 0, err
	}
	return member.BootID(hello.BootId), nil
}

// hello asks the node of an instance for its identity, boot id and readiness.
func (n *Node) hello(ctx context.Context, instance config.Instance) (*peerpb.HelloResponse, error) {
	client := n.controlPeers.For(instance.ID, instance.Control)
	reply, err := client.Hello(ctx, &peerpb.HelloRequest{Instance: string(n.settings.Instance)})
	if err != nil {
		return nil, eris.Wrap(err, "exchange hello with peer")
	}
	return reply, nil
}

// Hello implements peer.State.
func (n *Node) Hello() *peerpb.HelloResponse {
	return &peerpb.HelloResponse{
		Instance: string(n.settings.Instance),
		BootId:   uint64(n.boot),
		Leaving:  n.leaving.Load(),
		Ready:    n.Ready(),
	}
}

// configurationChanged passes a new view on to the components. It runs on the
// control goroutine.
func (n *Node) configurationChanged(view *config.View) {
	instances := view.AllInstances()
	n.peers.Retain(instances)
	n.earlyRefusals.Retain(instances)
	n.router.Update(view)
	n.relayer.viewChanged()
	n.quota.configure(view)
	n.health.setDraining(drainListed, listedAsLeaving(instances, n.settings.Instance))
}

func listedAsLeaving(instances []config.Instance, self member.InstanceID) bool {
	for _, instance := range instances {
		if instance.ID == self {
			return instance.State == config.Leaving
		}
	}
	return false
}

// Ready reports whether the node holds the configuration that it needs to serve
// requests, tokens can have been minted, and the node is not leaving.
func (n *Node) Ready() bool {
	view := n.control.View()
	if n.leaving.Load() || !n.relayer.ready.Load() || view.Fleet() == nil || !n.quota.ready() {
		return false
	}
	_, ok := view.Service(n.settings.Service)
	return ok && view.Revision(config.KeysName(0)) > 0
}

// Run serves until ctx is done, then performs a planned stop. The cancellation of
// force ends the stop at once.
func (n *Node) Run(ctx, force context.Context) error {
	n.started = time.Now()
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	n.dataListeners = []net.Listener{listeners.public, listeners.peer}
	listeners.control = n.controlMeter.Listener(listeners.control)
	n.certificates.wrapListeners(listeners)
	controlCtx, cancelControl := context.WithCancel(context.WithoutCancel(ctx))
	n.startControl(controlCtx)
	failed := n.serve(listeners)
	n.log.Info("node started", "service", n.settings.Service, "zone", n.settings.Zone, "public", n.settings.Listen.Public)
	select {
	case <-ctx.Done():
		err = nil
	case err = <-failed:
	}
	n.stop(force)
	cancelControl()
	n.group.Wait() // the control goroutine starts the relayer's reads
	n.relayer.wait()
	n.log.Info("node stopped")
	return err
}

func (n *Node) startControl(ctx context.Context) {
	n.relayer.start(ctx)
	n.group.Go(func() { n.control.run(ctx, n.relayer.tick) })
	n.group.Go(func() { n.health.run(ctx) })
	n.group.Go(func() { n.pollRestarts(ctx) })
	n.group.Go(func() { n.quota.run(ctx) })
}

// listeners are the open sockets of a node.
type listeners struct {
	public, loopback, peer, control, operator net.Listener
}

func (n *Node) listen() (*listeners, error) {
	opened := &listeners{}
	addresses := []struct {
		address string
		target  *net.Listener
	}{
		{n.settings.Listen.Public, &opened.public},
		{n.settings.Listen.Loopback, &opened.loopback},
		{n.settings.Listen.Peer, &opened.peer},
		{n.settings.Listen.Control, &opened.control},
		{n.settings.Listen.Operator, &opened.operator},
	}
	for _, a := range addresses {
		listener, err := listenTCP(a.address)
		if err != nil {
			opened.close()
			return nil, eris.Wrapf(err, "listen on %s", a.address)
		}
		*a.target = listener
	}
	return opened, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.public, l.loopback, l.peer, l.control, l.operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// serve starts all servers. The channel receives the error of each server that
// fails.
func (n *Node) serve(l *listeners) <-chan error {
	failed := make(chan error, 5)
	start := func(name string, serve func() error) {
		n.group.Go(func() {
			if err := serve(); err != nil && !eris.Is(err, http.ErrServerClosed) {
				failed <- eris.Wrapf(err, "serve %s listener", name)
			}
		})
	}
	start("public", func() error { return n.public.Serve(l.public) })
	start("loopback", func() error { return n.loopback.Serve(l.loopback) })
	start("peer", func() error { return n.peer.Serve(l.peer) })
	start("control", func() error { return n.controlServer.Serve(l.control) })
	start("operator", func() error { return n.operatorServer.Serve(l.operator) })
	return failed
}
