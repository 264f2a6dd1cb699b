// Package policybench measures admission policies in a small deterministic
// discrete-event simulation: a call chain of services with one instance each, in
// virtual time and with fixed seeds. It calls core/admission as the guard, the
// admission controller in front of an instance, and the entry, the node that
// sends the request, do, and compares it with simpler policies in the same
// scenarios.
//
// It doesn't simulate a cluster: there is no routing, quota or membership, and
// the network is a constant delay.
package policybench
