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

	"github.com/go-logr/logr"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/usage"
	"github.com/toucancove/toucancove/follow"
	"github.com/toucancove/toucancove/telemetry"
)

// Config configures a node.
type Config struct {
	// Node names the process in logs and reports.
	Node string
	Zone member.Zone
	// Service is that of the instance beside the node.
	Service string
	// Upstream is the IP:port of that instance.
	Upstream string
	Listen   Listen
	// Seeds are control addresses of other nodes.
	Seeds   []string
	Headers Headers
	Store   follow.Store
	Quota   usage.Tolerance
	Retries RetryLimits
	// Grace is the time between the request to stop and the kill.
	Grace time.Duration
	Log   logr.Logger
}

// Listen holds listener addresses as IP:port. All nodes of a fleet use the same
// ports for Peer and Control.
type Listen struct {
	// Entry takes requests of clients and of the own instance.
	Entry string
	// Peer takes requests of other nodes.
	Peer string
	// Control takes control calls of other nodes.
	Control string
	// Ready answers whether the node serves.
	Ready string
	// Metrics serves counters and histograms.
	Metrics string
}

// Node is one running process.
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
	// leaving is set once a planned stop has begun, announced once the guard
	// tells entries to turn away, guardClosed once it takes no more of their
	// requests, and closed once the entry takes no more of clients.
	leaving, announced, guardClosed, closed atomic.Bool
	active                                  atomic.Int64
	group                                   sync.WaitGroup
}

// New wires a node. Nothing is started yet.
func New(cfg Config) (*Node, error) {
	peerAddress, err := netip.ParseAddrPort(cfg.Listen.Peer)
	if err != nil {
		return nil, eris.Wrap(err, "peer listener")
	}
	controlAddress, err := netip.ParseAddrPort(cfg.Listen.Control)
	if err != nil {
		return nil, eris.Wrap(err, "control listener")
	}
	n := &Node{cfg: cfg, log: cfg.Log, metrics: telemetry.NewMetrics()}
	controlOf := func(instance catalog.Instance) string {
		if instance.Address == cfg.Upstream {
			return ""
		}
		return nodeAddress(instance, controlAddress.Port())
	}
	clients := newControlClients()
	n.follower = follow.New(follow.Config{
		Store: cfg.Store, Peer: clients, Zone: cfg.Zone, OwnAddress: cfg.Upstream, Seeds: cfg.Seeds, ControlAddress: controlOf, OnChange: n.stateChanged, Log: cfg.Log,
	})
	seen := func(ip string, k known) {
		address := net.JoinHostPort(ip, fmt.Sprint(controlAddress.Port()))
		n.follower.ObserveVersions(address, k.Version, k.Revision)
	}
	report := newReporter(cfg.Headers, cfg.Log, n.metrics)
	lineage := newLineage()
	n.routes = newRoutes(cfg.Zone, cfg.Upstream, cfg.Retries)
	report.learn = n.routes.learn
	n.gates = newGates(n.routes)
	n.quota = newQuota(cfg.Node, cfg.Quota)
	n.quota.state, n.quota.clients, n.quota.controlAddress, n.quota.log = n.follower.State, clients, controlOf, cfg.Log
	n.peers = newPeers(cfg.Headers, peerAddress.Port(), seen)
	n.guard = newGuard(guardConfig{
		headers: cfg.Headers, address: cfg.Upstream, state: n.follower.State, leaving: &n.announced, closed: &n.guardClosed,
		lineage: lineage, report: report, seen: seen,
	})
	n.entry = &entry{cfg: entryConfig{
		headers: cfg.Headers, service: cfg.Service, nodeIP: net.IP(peerAddress.Addr().AsSlice()), state: n.follower.State,
		leaving: &n.leaving, closed: &n.closed, lineage: lineage, guard: n.guard, peers: n.peers, routes: n.routes, gates: n.gates,
		quota: n.quota, report: report,
	}}
	return n, nil
}

// stateChanged runs on the goroutine that owns the published state.
func (n *Node) stateChanged(state *follow.State) {
	now := time.Now()
	n.routes.stateChanged(now, state)
	n.gates.stateChanged(state)
	n.quota.stateChanged(now, state)
	n.guard.stateChanged(state)
}

// SetBounds replaces the limits of quotas and retries while the node runs.
func (n *Node) SetBounds(quota usage.Tolerance, retries RetryLimits) {
	n.quota.setTolerance(quota)
	n.routes.setLimits(retries)
}

// Ready reports whether the node serves.
func (n *Node) Ready() bool {
	state := n.follower.State()
	return !n.leaving.Load() && state.Catalog != nil && state.Directory != nil
}

const (
	// leaveNotice is how long the node takes requests after it said that it is
	// not ready: clients turn away after two questions, one a second.
	leaveNotice = 2500 * time.Millisecond
	// announceBefore is how long before that its guard tells the entries of
	// other nodes to turn away. They hear it with the next answer, and the
	// instance is of use until then.
	announceBefore = 400 * time.Millisecond
	// acceptShare is the part of the grace period for which a stopping node
	// takes requests of clients: what it takes must be able to end.
	acceptShare = 0.5
	// stopShare is the part of the grace period after which the node ends even
	// if requests still run.
	stopShare = 0.93
	// drainCheck is the time between looks for running requests in a stop.
	drainCheck = 20 * time.Millisecond
	// maintainInterval is the time between looks for expired idle connections, and
	// for a suspension of the machine.
	maintainInterval = time.Second
)

// Run serves until ctx is done, then stops gracefully.
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
		n.drain()
	case err = <-failed:
	}
	for _, s := range servers {
		_ = s.listener.Close() // the process ends
	}
	cancel()
	n.follower.Wait()
	n.group.Wait()
	n.log.Info("node stopped", "running", n.active.Load())
	return err
}

// drain lets callers turn away and running requests end.
func (n *Node) drain() {
	n.leaving.Store(true)
	started := time.Now()
	n.log.Info("node stopping", "running", n.active.Load())
	for _, step := range []struct {
		after time.Duration
		flag  *atomic.Bool
	}{
		{leaveNotice - announceBefore, &n.announced},
		{leaveNotice, &n.guardClosed},
		{time.Duration(acceptShare * float64(n.cfg.Grace)), &n.closed},
	} {
		timer := time.AfterFunc(step.after, func() { step.flag.Store(true) })
		defer timer.Stop()
	}
	limit := time.Duration(stopShare * float64(n.cfg.Grace))
	for {
		passed := time.Since(started)
		if passed >= limit || (passed >= min(leaveNotice, limit) && n.active.Load() == 0) {
			return
		}
		time.Sleep(drainCheck)
	}
}

// maintain closes connections that were idle for too long, and reports that the
// machine stood still, until ctx ends.
func (n *Node) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	stood, err := newSuspension()
	if err != nil {
		n.log.Info("suspensions of the machine are not seen", "reason", err.Error())
	}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.guard.link.closeExpired(now)
			n.peers.closeExpired(now, n.follower.State())
			// An error shows at the start too, and is logged there.
			if d, err := stood.since(); err == nil && d > 0 {
				n.log.Info("machine stood still", "for", d.Round(time.Millisecond).String(), "running", n.active.Load())
			}
		}
	}
}

// server is a listener with what serves it.
type server struct {
	name     string
	listener net.Listener
	serve    func() error
}

// serverLimits bound what one caller can occupy.
type serverLimits struct {
	headerBytes  int
	bodyBytes    int
	connections  int
	readTimeout  time.Duration
	writeTimeout time.Duration
	idleTimeout  time.Duration
}

// defaultLimits hold where operators publish none.
func defaultLimits() serverLimits {
	return serverLimits{
		headerBytes:  17 << 10, // 16 KiB, the published limit as a rule, and the first line
		bodyBytes:    64 << 20,
		connections:  3000, // of the 3,900 sockets of a process
		readTimeout:  20 * time.Second,
		writeTimeout: 20 * time.Second,
		idleTimeout:  60 * time.Second,
	}
}

// published returns the limits that operators publish for callers.
func (n *Node) published() catalog.Limits {
	if c := n.follower.State().Catalog; c != nil {
		return c.Limits()
	}
	return catalog.Limits{}
}

// ownLimits are those between nodes: none are published.
func ownLimits() catalog.Limits { return catalog.Limits{} }

// counted counts running requests.
func (n *Node) counted(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		n.active.Add(1)
		defer n.active.Add(-1)
		next(ctx)
	}
}

func (n *Node) listen() ([]server, error) {
	log := &serverLog{n.log}
	entryServer := newDataServer(n.counted(n.entry.handle), defaultLimits(), log)
	guardServer := newDataServer(n.counted(n.guard.handle), defaultLimits(), log)
	ready := newDataServer(n.handleReady, defaultLimits(), log)
	metricsServer := newDataServer(n.handleMetrics, defaultLimits(), log)
	control := newControlServer(&controlService{follower: n.follower, quota: n.quota, leaving: &n.leaving})
	listeners := []struct {
		name, address string
		serve         func(net.Listener) error
	}{
		{"entry", n.cfg.Listen.Entry, func(l net.Listener) error { return entryServer.Serve(callerListener{l, n.published}) }},
		{"peer", n.cfg.Listen.Peer, func(l net.Listener) error { return guardServer.Serve(callerListener{l, ownLimits}) }},
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
		patient := patientListener{listener, l.name, n.log}
		servers = append(servers, server{l.name, patient, func() error { return l.serve(patient) }})
	}
	return servers, nil
}

func (n *Node) handleReady(ctx *fasthttp.RequestCtx) {
	if !n.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// handleMetrics serves counters and histograms, and the status at its path.
func (n *Node) handleMetrics(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == statusPath {
		n.handleStatus(ctx)
		return
	}
	ctx.SetContentType("text/plain")
	metrics.WriteOnce(n.metrics.Registry(), ctx)
}

// serverLog turns messages of the server library into log lines.
type serverLog struct{ log logr.Logger }

// Printf implements fasthttp.Logger. The arguments may quote requests and are
// left out, since those may hold a key.
func (l *serverLog) Printf(format string, _ ...any) {
	l.log.V(1).Info("server event", "message", format)
}
