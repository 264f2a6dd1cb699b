// Package routing is the load balancer of an entry node: it selects the
// instance of a service that receives the next attempt of a request.
//
// A Table belongs to one entry node and one service. The caller supplies the
// list of instances (Update), selects one for each attempt (Pick) and reports
// how the attempt ended (Finish). There is no other input on load: load
// endpoints and lists lag, so they are never compared with what the entry has
// observed itself.
//
// Rules, in the order in which they apply:
//
//   - Leaving and draining instances receive no new requests.
//   - Outlier detection: instances with failed connects, lost responses or an
//     outlying failure rate are ejected, at most the share Policy.MaxEjected of
//     the table. They return after a successful probe.
//   - Suspect instances (in backoff after failures, or unresponsive with
//     requests in flight) rank below all other instances.
//   - Zone-aware routing: the own zone is preferred until its queue delay
//     exceeds that of the other zone plus the measured network cost of reaching
//     it.
//   - Power of two choices: of two random instances the one with the lower cost
//     wins. The cost is the number of requests in flight times the latency, plus
//     the reported queue delay. Both estimates decay towards the table's typical
//     value as they age.
//   - Slow start: a new instance accepts only a growing share of the picks that
//     select it.
//
// A Table is not safe for concurrent use; the caller holds a lock.
package routing
