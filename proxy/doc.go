// Package proxy is the HTTP data path of a node. It has two sides:
//
//   - An entry (Entry) receives a request from its caller, authenticates it by
//     its key, determines its class, deadline and quota, chooses an instance of
//     the service and forwards the request to the node of that instance. It
//     retries failed attempts.
//   - A guard (Guard) protects the one upstream of its node. It admits, queues
//     or refuses each request and runs the admitted ones at the upstream.
//
// A root request is one that no service has worked on yet. A call is a request
// that an upstream makes while it serves another one, through the loopback
// listener of its own node; a deeper call is a call seen from the guard of the
// upstream that makes it.
//
// A pass is a signed token that accompanies a forwarded request. It carries the
// workspace, class, time budget and delegated attempts, and replaces the
// caller's key, which does not leave the entry's node. The guard gives the
// upstream a pass too, by which its calls inherit these values.
//
// A refusal (Refusal) is a response of a node in place of the upstream's
// response. It states whether the request may have run (Run) and why it was
// refused (Reason). A ticket, issued by an entry, makes a request run at most
// once: it names the instance and boot id at which it is valid, and the guard
// of that instance keeps the outcome for repeats of the request.
//
// With each response a guard reports the ranks of classes that it admits (the
// hint header) and its state, queue delay and boot id (the node header).
// Entries use the hint to refuse early, and the rest to route.
//
// The decisions are made in the core packages (admission, once, pass, quota,
// retry, routing); this package supplies them with time, input and output, and
// with locks.
package proxy
