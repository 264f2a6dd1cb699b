package mesh

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-logr/logr"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/drain"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/usage"
	"github.com/toucancove/toucancove/follow"
	"github.com/toucancove/toucancove/telemetry"
)

// Config configures a node.
type Config struct {
	// Node is the name of the process in the log, the status and calls to other
	// nodes.
	Node string
	Zone member.Zone
	// Service is the service of the own instance, the one beside the node.
	Service string
	// Upstream is the IP:port of the own instance.
	Upstream string
	Listen   Listen
	// Seeds are control addresses of nodes that can be queried before the list of
	// instances has been received.
	Seeds []string
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
	Headers    Headers
	Store      follow.Store
	// ApplyWithin is the time after the store has confirmed a configuration within
	// which it must be in force; 0 for follow.DefaultApplyWithin.
	ApplyWithin time.Duration
	// Quota is the tolerance within which the quotas of workspaces are enforced.
	Quota usage.Tolerance
	// Retries bounds the retries of the whole fleet.
	Retries RetryLimits
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	Log   logr.Logger
}

// Listen holds listener addresses as IP:port. All nodes of a fleet use the same
// ports for Peer and Control.
type Listen struct {
	// Entry accepts requests of clients and of the own instance.
	Entry string
	// Peer accepts requests from the entries of other nodes.
	Peer string
	// Control accepts RPCs of other nodes.
	Control string
	// Ready serves readiness checks.
	Ready string
	// Metrics serves counters, histograms and the status.
	Metrics string
}

// Node is a running node of the mesh.
type Node struct {
	cfg      Config
	log      logr.Logger
	metrics  *telemetry.Metrics
	follower *follow.Follower
	routes   *routes
	gates    *gates
	quota    *quota
	guard    *guard
	peers    *peers
	entry    *entry
	// quarantines holds the requests that crash instances.
	quarantines *quarantines
	// leaving is set when a planned stop begins, stopping holds its steps.
	leaving  atomic.Bool
	stopping stopSteps
	// conns are the connections of the entry and the guard.
	conns *callerConns
	group sync.WaitGroup
}

// New returns a node that is not started.
func New(cfg Config) (*Node, error) {
	peerAddress, err := netip.ParseAddrPort(cfg.Listen.Peer)
	if err != nil {
		return nil, eris.Wrap(err, "parse address of peer listener")
	}
	controlAddress, err := netip.ParseAddrPort(cfg.Listen.Control)
	if err != nil {
		return nil, eris.Wrap(err, "parse address of control listener")
	}
	n := &Node{cfg: cfg, log: cfg.Log, metrics: telemetry.NewMetrics(), conns: newCallerConns()}
	controlAddressOf := func(instance catalog.Instance) string {
		if instance.Address == cfg.Upstream {
			return ""
		}
		return nodeAddress(instance, controlAddress.Port())
	}
	clients := newControlClients(cfg.Log)
	n.follower = follow.New(follow.Config{
		Store: cfg.Store, Peer: clients, Zone: cfg.Zone, OwnAddress: cfg.Upstream, Seeds: cfg.Seeds, FirstStart: cfg.FirstStart,
		ControlAddress: controlAddressOf, ApplyWithin: cfg.ApplyWithin, OnChange: n.stateChanged,
		CountRefusedEra: n.metrics.Counter("follow.refused_era").Inc, Log: cfg.Log,
	})
	observeVersions := func(ip string, v versions) {
		address := net.JoinHostPort(ip, fmt.Sprint(controlAddress.Port()))
		n.follower.ObserveVersions(address, v.Version, v.Position)
	}
	report := newReporter(cfg.Headers, cfg.Log, n.metrics)
	calls := newCallTracker()
	n.quarantines = newQuarantines(cfg.Log, n.metrics)
	n.routes = newRoutes(cfg.Zone, cfg.Upstream, cfg.Retries)
	report.observeLatency = n.routes.observeLatency
	n.gates = newGates(n.routes)
	n.quota = newQuota(cfg.Node, cfg.Quota)
	n.quota.state, n.quota.clients, n.quota.controlAddress, n.quota.log = n.follower.State, clients, controlAddressOf, cfg.Log
	n.quota.quarantines = n.quarantines
	n.quarantines.report = (&markReporter{
		node: cfg.Node, service: cfg.Service, state: n.follower.State, clients: clients, controlAddress: controlAddressOf,
		collector: n.quota.collector, workers: pond.NewPool(reportWorkers),
	}).report
	n.peers = newPeers(cfg.Headers, peerAddress.Port(), observeVersions, n.quarantines)
	n.guard = newGuard(guardConfig{
		headers: cfg.Headers, address: cfg.Upstream, state: n.follower.State, stopping: &n.stopping,
		calls: calls, report: report, quarantines: n.quarantines, observeVersions: observeVersions,
	})
	n.guard.setRetryLimits(cfg.Retries)
	n.entry = &entry{cfg: entryConfig{
		headers: cfg.Headers, service: cfg.Service, nodeIP: net.IP(peerAddress.Addr().AsSlice()), state: n.follower.State,
		confirmedAge: n.follower.ConfirmedAge,
		leaving:      &n.leaving, stopping: &n.stopping, calls: calls, guard: n.guard, peers: n.peers, routes: n.routes, gates: n.gates,
		quota: n.quota, report: report, quarantines: n.quarantines,
	}}
	return n, nil
}

// stateChanged is called from the goroutine that owns the published state.
func (n *Node) stateChanged(state *follow.State) {
	now := time.Now()
	n.routes.stateChanged(now, state)
	n.gates.stateChanged(state)
	n.quota.stateChanged(now, state)
	n.guard.stateChanged(state)
}

// SetBounds replaces the limits of a running node, as in Config.
func (n *Node) SetBounds(quota usage.Tolerance, retries RetryLimits, applyWithin time.Duration) {
	n.follower.SetApplyWithin(applyWithin)
	n.quota.setTolerance(quota)
	n.routes.setLimits(retries)
	n.guard.setRetryLimits(retries)
}

// Ready reports whether the node accepts requests of clients.
func (n *Node) Ready() bool {
	state := n.follower.State()
	return !n.leaving.Load() && state.Catalog != nil && state.Directory != nil && n.follower.Joined() && n.quota.drawn.Load()
}

const (
	// drainPollInterval is the time between two steps of a planned stop.
	drainPollInterval = 20 * time.Millisecond
	// maintainInterval is the time between checks for expired idle connections and
	// for a suspension of the machine.
	maintainInterval = time.Second
)

// stopSteps are the steps of a planned stop, as the goroutines that serve requests see
// them.
type stopSteps struct {
	announced, refusesPeers, refusesLateCalls, refusesClients, refusesAll atomic.Bool
	// lastDeadline is the latest deadline of a request that ends before the process exits;
	// nil before the stop.
	lastDeadline atomic.Pointer[time.Time]
}

func (s *stopSteps) set(step drain.Step) {
	s.announced.Store(step.Announced)
	s.refusesPeers.Store(step.RefusesPeers)
	s.refusesLateCalls.Store(step.RefusesLateCalls)
	s.refusesClients.Store(step.RefusesClients)
	s.refusesAll.Store(step.RefusesAll)
}

// accepts is drain.Step.Accepts for a request with a deadline.
func (s *stopSteps) accepts(call bool, deadline time.Time) bool {
	step := drain.Step{
		RefusesPeers: s.refusesPeers.Load(), RefusesLateCalls: s.refusesLateCalls.Load(),
		RefusesClients: s.refusesClients.Load(), RefusesAll: s.refusesAll.Load(),
	}
	last := s.lastDeadline.Load()
	return step.Accepts(call, last == nil || !deadline.After(*last))
}

// Run serves until ctx is done, then performs a planned stop.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.listen()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.follower.Start(background)
	n.group.Go(func() { n.quota.run(background) })
	n.group.Go(func() { n.maintain(background) })
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() {
			if err := s.serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- eris.Wrapf(err, "serve %s", s.name)
			}
		}()
	}
	n.log.Info("node started", "service", n.cfg.Service, "zone", n.cfg.Zone, "entry", n.cfg.Listen.Entry, "upstream", n.cfg.Upstream)
	select {
	case <-ctx.Done():
		n.drain(servers)
	case err = <-failed:
	}
	for _, s := range servers {
		_ = s.listener.Close() // the process exits anyway
	}
	cancel()
	n.follower.Wait()
	n.group.Wait()
	n.log.Info("node stopped", "running", n.conns.inFlight.Load())
	return err
}

// drain performs a planned stop. It returns once no caller waits for a response, and no
// connection is left on which a request could arrive.
func (n *Node) drain(servers []server) {
	n.leaving.Store(true)
	started := time.Now()
	n.log.Info("node stopping", "running", n.conns.inFlight.Load())
	plan := drain.Drain{Grace: n.cfg.Grace}
	lastDeadline := started.Add(plan.LastDeadline())
	n.stopping.lastDeadline.Store(&lastDeadline)
	closed := false
	for {
		step := plan.Next(time.Since(started), int(n.conns.inFlight.Load()), n.conns.count())
		n.stopping.set(step)
		if step.RefusesAll && !closed {
			closed = true
			n.log.Info("node refuses all requests", "running", n.conns.inFlight.Load(), "connections", n.conns.count())
			closeCallerListeners(servers)
		}
		if step.RefusesAll {
			n.conns.closeUnused()
		}
		if step.Exit {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// closeCallerListeners closes the listeners of the entry and the guard.
func closeCallerListeners(servers []server) {
	for _, s := range servers {
		if s.name == entryServer || s.name == peerServer {
			_ = s.listener.Close() // no request has been read from what it still holds
		}
	}
}

// maintain closes expired idle connections and logs suspensions of the machine,
// until ctx ends.
func (n *Node) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	suspension, err := newSuspensionDetector()
	if err != nil {
		n.log.Info("can't detect suspensions of the machine", "reason", err.Error())
	}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.guard.pool.closeExpired(now)
			n.peers.closeExpired(now, n.follower.State())
			n.quarantines.expire(now)
			// If the clocks can't be read, the error was logged at the start.
			if d, err := suspension.sinceLast(); err == nil && d > 0 {
				n.log.Info("machine was suspended", "for", d.Round(time.Millisecond).String(), "running", n.conns.inFlight.Load())
			}
		}
	}
}

// Names of the servers whose listeners are closed first in a planned stop.
const (
	entryServer = "entry"
	peerServer  = "peer"
)

// server is a listener and the function that serves it.
type server struct {
	name     string
	listener net.Listener
	serve    func() error
}

// serverLimits bound the resources that one caller can occupy.
type serverLimits struct {
	headerBytes  int
	bodyBytes    int
	connections  int
	readTimeout  time.Duration
	writeTimeout time.Duration
	idleTimeout  time.Duration
}

// defaultLimits returns the limits that apply where operators publish none.
func defaultLimits() serverLimits {
	return serverLimits{
		headerBytes:  17 << 10, // the usual published limit of 16 KiB and the request line
		bodyBytes:    64 << 20,
		connections:  3000, // of the 3,900 sockets of a process
		readTimeout:  20 * time.Second,
		writeTimeout: 20 * time.Second,
		idleTimeout:  60 * time.Second,
	}
}

// publishedLimits returns the limits that operators publish for callers.
func (n *Node) publishedLimits() catalog.Limits {
	if c := n.follower.State().Catalog; c != nil {
		return c.Limits()
	}
	return catalog.Limits{}
}

// noLimits is used between nodes, for which no limits are published.
func noLimits() catalog.Limits { return catalog.Limits{} }

// newCallerServer returns the server of a listener whose connections are tracked.
func (n *Node) newCallerServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	server := newDataServer(handler, defaultLimits(), &serverLog{n.log})
	server.ConnState = n.conns.stateChanged
	return server
}

func (n *Node) listen() ([]server, error) {
	log := &serverLog{n.log}
	entry, guard := n.newCallerServer(n.entry.handle), n.newCallerServer(n.guard.handle)
	guard.ErrorHandler = handleGuardReadError
	ready := newDataServer(n.handleReady, defaultLimits(), log)
	metricsServer := newDataServer(n.handleMetrics, defaultLimits(), log)
	control := newControlServer(&controlService{follower: n.follower, quota: n.quota, quarantines: n.quarantines, leaving: &n.leaving})
	listeners := []struct {
		name, address string
		serve         func(net.Listener) error
	}{
		{entryServer, n.cfg.Listen.Entry, func(l net.Listener) error {
			return entry.Serve(callerListener{l, n.conns, n.publishedLimits})
		}},
		{peerServer, n.cfg.Listen.Peer, func(l net.Listener) error { return guard.Serve(callerListener{l, n.conns, noLimits}) }},
		{"ready", n.cfg.Listen.Ready, ready.Serve},
		{"metrics", n.cfg.Listen.Metrics, metricsServer.Serve},
		{"control", n.cfg.Listen.Control, control.Serve},
	}
	var servers []server
	for _, l := range listeners {
		var config net.ListenConfig
		config.SetMultipathTCP(false)
		listener, err := config.Listen(context.Background(), "tcp", l.address)
		if err != nil {
			return nil, eris.Wrapf(err, "listen on %s for %s", l.address, l.name)
		}
		retrying := retryingListener{listener, l.name, n.log}
		servers = append(servers, server{l.name, retrying, func() error { return l.serve(retrying) }})
	}
	return servers, nil
}

func (n *Node) handleReady(ctx *fasthttp.RequestCtx) {
	if !n.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// handleMetrics serves counters and histograms, and the status at statusPath.
func (n *Node) handleMetrics(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == statusPath {
		n.handleStatus(ctx)
		return
	}
	ctx.SetContentType("text/plain")
	metrics.WriteOnce(n.metrics.Registry(), ctx)
}

// serverLog writes messages of the HTTP server library to the log.
type serverLog struct{ log logr.Logger }

// Printf implements fasthttp.Logger. It omits the arguments: they may quote requests,
// which may contain a key.
func (l *serverLog) Printf(format string, _ ...any) {
	l.log.V(1).Info("server event", "message", format)
}
