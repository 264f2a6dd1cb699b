// Package mesh is the path of requests through the nodes of a mesh of services.
//
// A node runs beside each instance. As entry it takes requests of clients and of
// its own instance, finds their route and workspace, decides whether they are
// admitted and chooses an instance. As guard it takes requests from the entries
// of other nodes and decides which of them run on its own instance, and when.
//
//	client or instance -> entry -> guard beside the chosen instance -> instance
//
// Nothing is repeated without proof that it did not run, unless the route says
// that its requests may run more than once. Each answer of a guard carries hints
// (see hint): the pressure of the most loaded service of the chain, and the
// version and revision that the guard knows.
package mesh
