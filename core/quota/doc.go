// Package quota implements a distributed token bucket: it enforces the rate and
// burst of each workspace across all instances, without shared writes, leases
// or a leader election.
//
// # Tokens are intervals of minting time
//
// A few instances, the minters, generate the tokens of a workspace, together at
// its rate. A lot is an interval of one minter's time at a rate: it holds rate ×
// length tokens, counted in whole picotokens, so no amount is ever rounded up.
// A lot may be split and moved, but is never copied. A token can be spent once
// its minting time has passed, and for burst/rate afterwards (its lifetime).
// Whatever is spent in a window W was therefore minted in a window
// W + burst/rate, so at most rate·W + burst requests are admitted in it, whichever
// node held the tokens. On a single node this is the classic token bucket.
//
// # Roles
//
// Every Node has three roles for each workspace. Rendezvous hashing orders the
// instances of a workspace:
//
//   - minter (the first MaxMinters in the order): generates tokens, and hands
//     those of the next Horizon to any node that sends it a Pull;
//   - pooler (the first in the order that responds): collects the tokens of all
//     minters while the workspace is in use, and answers asks from them;
//   - entry (any node): receives requests and spends tokens for them, and asks
//     the pooler for tokens when it has too few.
//
// # Messages
//
// The messages have the names that they have on the wire. An entry sends an Ask
// and the pooler replies with an Answer; a pooler sends a Pull and the minter
// replies with a Stream; a node that shuts down sends Leaving. Only Answer and
// Stream carry tokens. The sender debits the tokens before it sends them, and
// quotes a Nonce that the receiver issued. The receiver redeems each nonce once,
// so that a duplicate is never credited, and it knows when it issued the nonce.
// It counts the time from which tokens can be spent from receipt, and their
// expiry from the issue of the nonce, so that network delay and pauses can only
// shorten the lifetime of a token.
//
// A pooler that is replaced hands all tokens that it holds to its successor and
// forwards the asks that still reach it; the successor answers the entry
// directly. A minter names the pooler that it handed its tokens to before, so
// that a node that becomes the pooler knows which one to take over from.
//
// A pooler holds the tokens of the next Horizon. It can therefore grant tokens
// that are going to be minted within the time that the entry can wait, and
// refuses at once if there are none. A request that has been refused does not
// wait any longer.
//
// # Membership changes
//
// A minter's share of the rate is the smallest that any list of instances in
// force during the last HoldOff gave it: a decrease applies at once; an increase
// waits for HoldOff, also that of an instance that joins. A restarted process
// mints nothing for Horizon, since its previous run may have handed out the
// tokens of that time.
//
// A Node does no I/O and is not safe for concurrent use. Its callers pass the
// time in; only differences between times are used.
package quota
