package node

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// idleCheckInterval is the time between checks for requests in flight.
const idleCheckInterval = 20 * time.Millisecond

// backlogDrainTime is how long established connections in the backlog can be
// accepted before the listener closes.
const backlogDrainTime = 250 * time.Millisecond

// stop announces that the node is leaving, waits for the notice period so that
// peers stop sending requests, closes the listeners and completes the requests
// in flight. The loopback listener is closed last, since requests in flight can
// make calls through it. stop ends at once when force is cancelled.
func (n *Node) stop(force context.Context) {
	n.leaving.Store(true)
	n.health.setDraining(drainStop, true)
	n.quota.leave()
	n.log.Info("leaving announced", "notice", n.settings.Shutdown.Notice)
	sleep(force, n.settings.Shutdown.Notice)
	ctx, cancel := context.WithTimeout(force, n.settings.Shutdown.Timeout)
	defer cancel()
	n.dropNewConnections()
	sleep(force, backlogDrainTime)
	var group sync.WaitGroup
	for _, server := range []*fasthttp.Server{n.public, n.peer} {
		group.Go(func() { n.shutdown(ctx, server) })
	}
	group.Wait()
	n.waitIdle(ctx)
	n.shutdown(ctx, n.loopback)
	n.stopControl(ctx)
	_ = n.operatorServer.Shutdown(ctx)
}

// stopControl shuts down the control listener. Calls of peers end within
// relayCallTimeout; connections that peers opened and never used would delay
// Shutdown for longer.
func (n *Node) stopControl(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, relayCallTimeout)
	defer cancel()
	if err := n.controlServer.Shutdown(ctx); err != nil {
		_ = n.controlServer.Close()
	}
}

// dropNewConnections makes the public and the peer listener drop new
// connections.
func (n *Node) dropNewConnections() {
	for _, listener := range n.dataListeners {
		if err := dropNewConnections(listener); err != nil {
			n.log.Info("listener may reset new connections", "listener", listener.Addr().String(), "error", err.Error())
		}
	}
}

func (n *Node) shutdown(ctx context.Context, server *fasthttp.Server) {
	if err := server.ShutdownWithContext(ctx); err != nil {
		n.log.Info("listener did not shut down in time", "listener", server.Name, "error", err.Error())
	}
}

// waitIdle waits until no request is in flight or ctx ends.
func (n *Node) waitIdle(ctx context.Context) {
	for n.active.Len() > 0 && ctx.Err() == nil {
		sleep(ctx, idleCheckInterval)
	}
}
