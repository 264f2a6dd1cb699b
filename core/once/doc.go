// Package once gives non-idempotent requests at-most-once execution by
// deduplicating them at a single node.
//
// A caller first obtains a Ticket from any node. A ticket is a signed,
// single-use token that serves as idempotency key. It names one instance and the
// boot id of the node beside it, and is signed with the fleet secret. Only that
// node may run the request, and only in that boot. Its Table keeps each used
// ticket until the ticket has expired:
//
//	Begin -> Run       first use: run the request, then call Finish
//	Begin -> Running   the first use is still running: wait, then call Begin again
//	Begin -> Done      the outcome of the first use, for every repeat
//	Begin -> NotRun    the request did not run and never will with this ticket
//	Begin -> Unknown   the node has restarted, or the outcome was lost
//
// A restarted node has a new boot id, so it returns Unknown and never runs a
// request that may have run in an earlier boot. A ticket for which NotRun was
// returned is never run later: NotRun is stored like any outcome, and when the
// table is full it raises a cutoff, and refuses unknown tickets that expire at
// or before it. So a caller that got NotRun may safely obtain a new ticket, even
// if a copy of the request with the old ticket arrives late.
//
// No type in this package is safe for concurrent use, except Signer.
package once
