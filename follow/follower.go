package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
)

const (
	// peerInterval is the time between queries to peers while the store is
	// unreachable.
	peerInterval = 250 * time.Millisecond
	// peerTimeout bounds one query to a peer.
	peerTimeout = 500 * time.Millisecond
	// observedVersionDelay is the time for this node's watch to deliver a newer
	// version that the data path showed, before the peer is queried for it.
	observedVersionDelay = 150 * time.Millisecond
	// expireInterval is the time between checks for instances whose grace period
	// has passed.
	expireInterval = 200 * time.Millisecond
	// updateQueueLength is the capacity of the queue of updates for the goroutine
	// that owns the state.
	updateQueueLength = 64
)

// Config configures a Follower.
type Config struct {
	Store Store
	Peer  Peer
	// Zone is the availability zone of the node, OwnAddress the address of the
	// instance beside it.
	Zone       member.Zone
	OwnAddress string
	// Seeds are control addresses of nodes that can be queried before the list
	// of instances has been received.
	Seeds []string
	// FirstStart is set if the whole fleet starts for the first time, so that no
	// peer can have newer state.
	FirstStart bool
	// ControlAddress returns the control address of the node beside an
	// instance, empty for this node.
	ControlAddress func(catalog.Instance) string
	// ApplyWithin is the time after the store has confirmed a configuration within
	// which it must be in force on a node that reaches the store, whatever happens to
	// the reader of its zone; 0 for DefaultApplyWithin.
	ApplyWithin time.Duration
	// OnChange is called after each new state, from the goroutine that owns the
	// state.
	OnChange func(*State)
	// CountRefusedEra is called for each list that was refused because of its era.
	// It must be safe for concurrent use.
	CountRefusedEra func(count int64)
	Log             logr.Logger
}

// observation is the version and position that a peer sent on the data path.
type observation struct {
	// address is the control address of the peer.
	address  string
	version  catalog.Version
	position catalog.Position
}

// Follower keeps a copy of the published state up to date.
type Follower struct {
	cfg   Config
	state atomic.Pointer[State]
	// updates holds updates for the goroutine that owns the state.
	updates chan func(now time.Time)
	// observed holds at most one newer version whose peer is still to be queried.
	observed chan observation
	readers  readerSelector
	limits   limits
	// confirmed is advanced after a response that confirms the copy is applied.
	confirmed confirmation
	group     sync.WaitGroup
	// joined is set once join has ended.
	joined atomic.Bool

	// storeEras is used only by the goroutine that reads the store.
	storeEras catalog.StoreEras
	// eraClaims and confirmedEra, the highest era in an applied response of the
	// store, are used only by the goroutine that owns the state.
	eraClaims    catalog.EraClaims
	confirmedEra catalog.Era

	// lost is set while the store is unreachable. lostAt and reachableAt are when
	// that last began and ended; only the goroutine that owns the state uses them.
	lost        atomic.Bool
	lostAt      time.Time
	reachableAt time.Time

	changedMu sync.Mutex
	// changed is closed and replaced with each new state.
	changed chan struct{}
}

// New returns a follower with an empty state.
func New(cfg Config) *Follower {
	f := &Follower{
		cfg:      cfg,
		updates:  make(chan func(now time.Time), updateQueueLength),
		observed: make(chan observation, 1),
		changed:  make(chan struct{}),
		readers:  readerSelector{zone: cfg.Zone, ownAddress: cfg.OwnAddress, failed: make(map[member.InstanceID]time.Time)},
	}
	f.limits.set(cfg.ApplyWithin)
	f.state.Store(&State{})
	f.lost.Store(true)
	return f
}

// State returns the current state.
func (f *Follower) State() *State { return f.state.Load() }

// SetApplyWithin replaces ApplyWithin of the configuration.
func (f *Follower) SetApplyWithin(d time.Duration) { f.limits.set(d) }

// FreshFor returns how long the copy is recent enough to be passed on to nodes that
// poll this one, zero if it is not. A watch whose connection has gone silent delivers
// no error for some time, so that the copy may be outdated before the store counts as
// lost.
func (f *Follower) FreshFor(now time.Time) time.Duration {
	age, ok := f.ConfirmedAge(now)
	if !ok || f.lost.Load() {
		return 0
	}
	return max(f.limits.maxAge()-age, 0)
}

// ObserveVersions takes the version and position that a peer sent on the data path.
// If they are newer than this node's, the peer is queried for them.
func (f *Follower) ObserveVersions(address string, version catalog.Version, position catalog.Position) {
	seen := observation{address: address, version: version, position: position}
	if !f.behind(seen) {
		return
	}
	select {
	case f.observed <- seen:
	default: // a query is already pending
	}
}

// Start starts the goroutines of the follower, which run until ctx ends.
func (f *Follower) Start(ctx context.Context) {
	f.group.Go(func() { f.applyUpdates(ctx) })
	f.group.Go(func() { f.readStore(ctx) })
	f.group.Go(func() { f.queryPeers(ctx) })
	f.group.Go(func() { f.join(ctx) })
}

// Wait waits until all goroutines have ended.
func (f *Follower) Wait() { f.group.Wait() }

// applyUpdates applies queued updates and expires kept instances. It is the only
// writer of the state.
func (f *Follower) applyUpdates(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case apply := <-f.updates:
			apply(time.Now())
		case now := <-ticker.C:
			f.expire(now)
		}
	}
}

// enqueue queues an update for the goroutine that owns the state.
func (f *Follower) enqueue(ctx context.Context, apply func(now time.Time)) {
	select {
	case f.updates <- apply:
	case <-ctx.Done():
	}
}

// publish puts a state in force and notifies OnChange and Changed of it.
func (f *Follower) publish(next *State) {
	if next == f.State() {
		return
	}
	next.eraConfirmed = f.confirmedEra >= next.Position().Era
	next.setInstances()
	f.state.Store(next)
	f.cfg.OnChange(next)
	f.notifyChanged()
}
