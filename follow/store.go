package follow

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/toucancove/toucancove/core/catalog"
)

// Errors of a store.
var (
	// ErrCompacted means that the store no longer keeps the changes since a
	// revision: all keys must be read again.
	ErrCompacted = eris.New("store has compacted the requested revision")
	// ErrThrottled means that the store refused a call because of its rate limit.
	ErrThrottled = eris.New("store rate limit exceeded")
	// ErrUnavailable means that the store could not be reached or is down.
	ErrUnavailable = eris.New("store is unavailable")
	// ErrMalformed means that a response of the store can't be decoded.
	ErrMalformed = eris.New("malformed response from store")
	// ErrRestored means that the store was restored from a backup since a position:
	// all keys must be read again.
	ErrRestored = eris.New("store was restored after the requested position")
)

// Snapshot is the published state, as the store or a peer returns it.
type Snapshot struct {
	// Position is the position from which a watch continues.
	Position catalog.Position
	// Configuration is the newest published one, undecoded; empty if there is
	// none, or none newer than the version that a peer was asked about.
	Configuration []byte
	// Instances is the whole list, unless Partial is set.
	Instances []catalog.Instance
	// Partial is set by a peer if Changes holds what changed since the revision
	// in the query, in place of Instances.
	Partial bool
	Changes []catalog.Change
	// Holding is set by a peer that holds back removals whose entries may have
	// expired during an outage, see catalog.Directory.
	Holding bool
	// EraConfirmed is set by a peer that read the era of its list from the store.
	EraConfirmed bool
	// Corrections are set by a peer for a node that joins.
	Corrections []catalog.Correction
	// ConfirmedAt is when the store confirmed that nothing newer was published, by the
	// clock of this node; zero if a peer does not know it.
	ConfirmedAt time.Time
}

// Changes are what has been published since a position.
type Changes struct {
	Position      catalog.Position
	Configuration []byte
	Instances     []catalog.Change
	// ConfirmedAt is when the response was received.
	ConfirmedAt time.Time
}

// Store is a client of the store that holds the published state. Its errors wrap
// those of this package or that of the context.
type Store interface {
	// Read returns the configuration and the whole list of instances.
	Read(ctx context.Context) (Snapshot, error)
	// Watch returns the changes after a position, and waits up to wait for the
	// first one.
	Watch(ctx context.Context, after catalog.Position, wait time.Duration) (Changes, error)
	// Decode decodes a published configuration.
	Decode(configuration []byte) (catalog.Definition, error)
}

// Peer calls other nodes for the published state that they have.
type Peer interface {
	// Published returns what the node at an address has that is newer than the
	// version and position in query. Fields are empty where it has nothing newer.
	// A node that is asked to wait returns an error once its own copy is too old.
	Published(ctx context.Context, address string, query Query) (Snapshot, error)
}

// Query is a query for published state that is newer than that of the caller.
type Query struct {
	// Version and Position are those that the caller has, zero if none.
	Version  catalog.Version
	Position catalog.Position
	// Wait is how long the peer may wait for a newer state; with 0 it replies at
	// once.
	Wait time.Duration
	// Joining is set by a node that has just started and asks for corrections of
	// its list.
	Joining bool
}
