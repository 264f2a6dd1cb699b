package follow

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/toucancove/toucancove/core/catalog"
)

// Errors of a store.
var (
	// ErrHistoryLost means that the changes since a revision are not kept any
	// more: everything must be read again.
	ErrHistoryLost = eris.New("store dropped the history")
	// ErrThrottled means that the store refused the call rate.
	ErrThrottled = eris.New("store refused the call rate")
	// ErrUnavailable means that the store could not be reached or is down.
	ErrUnavailable = eris.New("store is unavailable")
	// ErrMalformed means that an answer of the store can't be read.
	ErrMalformed = eris.New("malformed answer of the store")
)

// Snapshot is everything that is published.
type Snapshot struct {
	// Revision is where a watch goes on.
	Revision catalog.Revision
	// Configuration is the newest one as published, empty if there is none.
	Configuration []byte
	Instances     []catalog.Instance
	// Partial is set if Changes holds what changed since the known revision, in
	// place of Instances.
	Partial bool
	Changes []catalog.Change
	// Holding is set if the peer that answers does not believe all removals
	// yet, see catalog.Directory.
	Holding bool
}

// Changes are what has been published since a revision.
type Changes struct {
	Revision      catalog.Revision
	Configuration []byte
	Instances     []catalog.Change
}

// Store reads what is published. Errors wrap those of this package or that of
// the context.
type Store interface {
	// Read returns everything.
	Read(ctx context.Context) (Snapshot, error)
	// Watch waits up to wait for changes after a revision.
	Watch(ctx context.Context, after catalog.Revision, wait time.Duration) (Changes, error)
	// Decode reads a configuration as published.
	Decode(configuration []byte) (catalog.Definition, error)
}

// Peer is another node that can be asked for what it has read.
type Peer interface {
	// Published returns what the peer knows beyond what is known. Its fields
	// are empty where the peer knows nothing newer. A peer that is asked to
	// wait and has lost the store itself answers with an error.
	Published(ctx context.Context, address string, known Known) (Snapshot, error)
}

// Known is what a node has read.
type Known struct {
	Version  catalog.Version
	Revision catalog.Revision
	// Wait is how long the peer may wait for something newer.
	Wait time.Duration
}
