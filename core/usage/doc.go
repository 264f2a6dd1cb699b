// Package usage enforces the quota of each workspace across the fleet. It is a
// distributed token bucket with one central pool.
//
// The terms are those of the wire and of the operators' view. The collector is
// the elected leader: its Pool mints the tokens of all workspaces. Every node
// keeps a lot, a local stock of tokens, for each workspace that it serves
// (Limiter). A few times per second it sends a Draw for each lot, sized to its
// recent demand, and the collector replies with a Grant; a draw of a negative
// number returns surplus tokens. A request that finds the lot empty makes the
// node draw one more token at once and waits for the grant, a few milliseconds.
// Tokens held by nodes count against the depth of the pool, so the tokens minted
// in a window and the depth together bound what can be spent in it.
//
// The pool is soft state: nothing in it must survive the collector. While no
// collector responds, each node mints for itself, at its last known share of the
// fleet's demand; these shares sum to one. Each node chooses the collector by
// itself (Election), so there may be several at once, for a short time or as long
// as a network partition lasts. Each of them mints only for the part of the nodes
// that draw from it, holds that part of the depth, and starts with few tokens. A
// collector that steps down hands its pool over to the nodes.
//
// The design targets two load patterns. In one, workspaces send close to their
// rate, unevenly spread over the nodes: any static split would refuse requests
// within the quota. In the other, one workspace sends many times its rate, and
// its refusals must stay cheap: a node that received a Retry-After time does not
// draw again before it.
package usage
