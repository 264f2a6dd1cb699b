// Package node runs one toucancove process beside an upstream instance: it
// connects the listeners, the control state and the core packages, and shuts
// them down in order.
//
// # Data plane
//
// The public listener accepts requests of callers, the loopback listener the
// calls of the node's own upstream. Both are handled by the entry of package
// proxy, which routes a request to an instance. The peer listener accepts
// requests of other nodes' entries. They are handled by the guard, which performs
// admission control for the upstream.
//
// # Control plane
//
// One goroutine owns the configuration and publishes it as an immutable view;
// the goroutines that serve requests only read the view. The same goroutine
// drives the relay protocol of package core/relay, which distributes published
// values by gossip. A second goroutine owns the state of the fleet-wide rate
// limits of package core/quota. Both receive their input as commands on a
// channel, so that the core packages need no locks.
//
// # Planned stop
//
// On a planned stop the node announces that it is leaving and continues to
// serve for the notice period. It then closes the public and the peer listener
// without resetting connections, and completes the requests in flight. The
// loopback listener remains open until the end.
package node
