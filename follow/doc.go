// Package follow replicates what the platform publishes to a node: the
// configuration and the list of instances. The platform's metadata store is the
// source of truth; the copy is eventually consistent and stays in use while the
// store is unreachable.
//
// One goroutine follows the store by list and watch: it reads all keys once, then
// watches from the revision of that read, and reads all keys again when the store
// has compacted the changes in between. The store charges for each call, so in
// each availability zone one node, the reader, watches the store, and the others
// long-poll the reader. Every node chooses the reader from its own list, without
// an election. A node whose poll fails reads the store itself and chooses another
// reader for some seconds.
//
// A copy has an age: the time since the store last confirmed it, to this node or to
// the one that it polls. A reader refuses polls once its copy is too old, so that the
// nodes of its zone learn in time that it may have lost the store.
//
// Another goroutine queries peers while the store is unreachable (anti-entropy),
// or when a request on the data path shows that a peer has a newer version.
//
// Both pass their results to the goroutine that owns the state. It applies only
// higher versions and revisions, so the state is monotonic and updates are
// idempotent, and publishes each new state as an immutable value that is read
// without locks.
//
// An entry of the list that expires in the store during an outage does not mean
// that its instance is gone. Removals that may have this cause are held back for
// a grace period, in which live instances publish their entries again; Holding
// marks a list with such removals, as the wire message does.
package follow
