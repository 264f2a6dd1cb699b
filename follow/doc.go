// Package follow keeps a node's copy of what the platform publishes: the
// configuration and the list of instances.
//
// One goroutine reads the store: everything once, then a watch from the revision
// of that read, and everything again when the store has dropped the history in
// between. Another asks peers while the store can't be reached, or when an answer
// on the data path shows that a peer knows something newer. Both hand what they
// found to the goroutine that owns the state; it lets versions and revisions only
// rise and publishes each new state for readers without locks.
package follow
