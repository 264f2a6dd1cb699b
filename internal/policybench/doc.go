// Package policybench measures admission policies in a small deterministic
// discrete-event simulation: a call chain of services with one instance each, in
// virtual time and with fixed seeds. It calls core/admission as the guard, the
// admission controller in front of an instance, and the entry, the node that
// sends the request, do, and compares it with simpler policies in the same
// scenarios.
//
// A root request is one from an external caller; a hop is one service of its call
// chain. The rank of a request is the priority of its class, 0 the highest.
//
// The package doesn't simulate a cluster: there is no routing, quota or
// membership, and the network is a constant delay.
package policybench
