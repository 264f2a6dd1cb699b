// Package quota enforces the rate and burst of each workspace over all
// instances together, without shared writes, leases or an election.
//
// # Tokens are intervals of minting time
//
// A few instances mint the tokens of a workspace, together at its rate. A lot
// is an interval of one minter's time at a rate: it holds rate × length
// tokens, in whole picotokens, so nothing is ever rounded up. Lots may be
// split and moved freely; they are never copied. Minted time can be spent once
// it has passed, and for burst/rate afterwards (its life). Whatever is spent in
// a window W was therefore minted in a window W + burst/rate, so at most
// rate·W + burst requests are admitted in it, whoever held the tokens. On one
// node this is the classic token bucket.
//
// # Roles
//
// Every Node has three roles for each workspace. The order of instances is by
// rendezvous hashing:
//
//   - minter (the first MaxMinters): hands the next Horizon of its minting to
//     whoever pulls;
//   - pooler (the first that answers): pulls from the minters while the
//     workspace is in use, and answers asks;
//   - entry (any): spends tokens for requests, and asks the pooler when it is
//     short.
//
// # Messages
//
// An entry sends Ask and the pooler replies with Answer; the pooler sends Pull
// and the minter replies with Stream; a node that stops sends Leaving. Tokens
// travel only in Answer and Stream, are debited before they are sent, and
// quote a Nonce that the receiver issued. The receiver redeems each nonce
// once, so a duplicate is never credited, and knows when it issued it. It
// counts spendable time from receipt and expiry from the issue of the nonce,
// so that transit and pauses can only shorten the life of a token.
//
// A pooler that is taken over from hands all it holds to its successor, and
// passes asks on that still reach it; the successor answers the entry. Minters
// name the pooler that they handed their minting to before, so that a node that
// becomes the pooler knows whom to take over from.
//
// A pooler holds the next Horizon of minting, so it promises tokens that are
// minted within the wait that the entry allows, and refuses at once when there
// are none. No request is held once it has been refused.
//
// # Who mints
//
// The share of a minter is the smallest that any list of instances in force
// during the last HoldOff gave it: cuts apply at once, raises and joiners wait.
// A restarted process mints nothing for Horizon, since its previous run may
// have handed that out.
//
// A Node does no I/O and is not safe for concurrent use. Its callers pass the
// time in; only differences of it are used.
package quota
