// Package usage holds each workspace to its quota over the whole fleet.
//
// One node, the collector, mints the tokens of all workspaces (Pool). Every node
// keeps a small lot of tokens for each workspace that it serves (Limiter) and
// draws a new one a few times a second, sized to its recent demand; it gives back
// what is too much. A request that finds the lot empty lets the node ask at once
// for another token and waits for the answer, a few milliseconds. Tokens that
// nodes hold count against the depth of the pool, so what can be spent in a
// window is bounded by what is minted in it and the depth.
//
// The collector keeps nothing that must outlive it. While none answers, each node
// mints for itself at its last share of the demand of the fleet; those shares add
// up to one. Nodes choose the collector each for itself (Election), so there may
// be several for a while, or for long where parts of the fleet are not in touch:
// each mints only for the part of the nodes that draw from it, and begins low.
//
// The load patterns it answers are a fleet whose workspaces send as much as they
// may, spread unevenly over the nodes, which any fixed split refuses wrongly, and
// one workspace that sends many times its rate, whose refusals must stay cheap:
// a node that was told when the next token comes asks no sooner.
package usage
