// Package admission decides which requests run on one upstream instance.
//
// A guard is the proxy beside an upstream instance; all requests to the
// instance pass through it, and it holds the Controller. An entry is the proxy
// that receives a request from its caller, chooses an instance and forwards the
// request to the guard of the instance. A root request is one that no service
// has worked on yet; a call is a request that an upstream makes while it serves
// another one. A deeper service is one further along the call chain.
//
// The caller offers each request to a Controller, which answers at once: run
// it, keep it queued, or refuse it with a reason and the time after which a
// retry is worthwhile. The caller reports the end of each run with Done, the
// loss of a caller with Cancel, and the passing of time with Tick. These calls
// append effects: queued requests that now start, and queued requests that are
// now refused. A refused request has not run.
//
// The number of requests that run together is bounded by an adaptive
// concurrency limit, derived from the latencies that the guard measures (see
// limiter). Queued requests are ordered by class rank, then by the recent
// service of their workspace, then by deadline. A request that can't finish
// before its deadline is refused before it runs.
//
// A Hint summarizes the state for the entries. EarlyRefusal, used by entries,
// refuses ranks that the guard doesn't admit at present, so that these requests
// use neither quota nor a network round trip.
//
// The package does no input or output and reads no clock. No type is safe for
// concurrent use.
package admission
