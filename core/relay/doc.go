// Package relay distributes published values among the nodes of a fleet by
// gossip, so that only a few nodes read the platform and no node goes back to
// an older revision.
//
// The protocol:
//
//   - The relays of a value are the first Relays nodes of each zone in its
//     rendezvous order (highest random weight). They watch the value at the
//     platform by long polling.
//   - A node that reads a newer revision announces it to all nodes of its own
//     zone and to the first node of each other zone, which announces it to its
//     own zone. A small body is part of the announcement. A large one is
//     fetched along a tree of the zone's nodes, so that no node serves it more
//     than a few times.
//   - Once in each exchange interval (anti-entropy), a node sends a random peer
//     the hash of the revisions it knows. If the hashes differ, the peer
//     replies with its revisions; the node fetches what is newer at the peer
//     and announces to it what is newer here. This repairs lost announcements
//     and brings new revisions to zones that can't reach the platform.
//   - A node without contact with any peer of its zone is isolated and reads the
//     platform itself. Independently of that, every node audits a random value
//     at long intervals: it reads it from the platform even if other nodes are
//     its relays.
//   - Failed reads are retried with full jitter and exponential backoff. The
//     first interval is the time in which all watches of the fleet can start
//     at readsPerSecond, about a third of the platform's call rate limit.
//   - A restarted node asks peers for the revisions that they know and is not
//     ready before it holds them, so that a stale platform can't bring an
//     older revision back. The wait is bounded if no ready peer answers.
//
// Keys are sorted before other values in every batch, since they carry
// withdrawals.
//
// State does no I/O: the caller delivers messages and the time, and carries
// out the returned Effects. A value that doesn't parse is refused as a whole;
// the last accepted one stays in force and is the one reported to peers.
package relay
