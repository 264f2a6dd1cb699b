// Package mesh is the data plane of a service mesh: it forwards requests between
// the instances of many services.
//
// A node is a sidecar proxy that runs beside each instance. It has two roles. As
// entry it accepts requests of clients and of its own instance, matches their route
// and workspace, decides on admission, and selects an instance (client-side load
// balancing). As guard it accepts requests from the entries of other nodes, and
// queues or refuses them so that its own instance never runs more than its slots.
//
//	client or instance -> entry -> guard beside the selected instance -> instance
//
// A request is retried only if it provably did not run, unless its route is
// idempotent. Each response of a guard carries a hint: the pressure of the most
// loaded service of the call chain, from which entries decide which new requests to
// shed, and the version and revision of the guard's published state, so that newer
// state spreads with the traffic.
//
// Terms that are also those of the wire, the log and the status page: a gate is the
// admission control for one route, service and rank (package shed), a rank is the
// urgency of a request, a call is a request that the own instance makes while it
// runs another request, the collector is the node that mints quota tokens for the
// fleet, and a draw is a request for such tokens (package usage).
package mesh
