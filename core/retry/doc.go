// Package retry decides whether a failed attempt is retried, and bounds the
// number of attempts that one root request may cause in its whole call graph.
//
// The attempts of a root request are divided among its calls and never
// duplicated. A root request starts with a number of attempts (AttemptBudget).
// Each attempt uses one and delegates a part of the rest to the receiving node
// in the pass, the signed token that accompanies the request. The node beside
// the upstream records that part in its Ledger under the request id and hop
// depth, and the calls that the upstream makes are charged to it. What a
// finished attempt did not use is returned to the caller with the response. If
// the response is lost, the attempts delegated with the request are lost too.
//
// The first call of each kind (service, method, path) that a delivery makes is
// part of the call graph and is free. Each repeat of it is a retry, also when
// the upstream itself repeats it. So a call graph without retries needs one
// attempt at any depth and fan-out, and the number of retries in the whole graph
// is at most the root's attempts minus one. Along one path of calls, each
// upstream runs the request at most as often as the root had attempts.
//
// In addition, a retry budget per destination (Budget) limits retries to a small
// share of recent successes, so that retries can't amplify an overload.
//
// No type in this package is safe for concurrent use.
package retry
