package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
)

const (
	// watchWait is how long one watch waits for changes. A watch may stop
	// delivering without an error, so its wait and another read must fit into the
	// three seconds after which a node must be up to date again. It is not shorter
	// because the store charges for each call.
	watchWait = 2500 * time.Millisecond
	// readTimeout bounds one read of all keys.
	readTimeout = 3 * time.Second
	// watchBatchDelay is the pause before the next watch after changes of the list,
	// so that a batch of changes, as when a fleet starts, costs one call.
	watchBatchDelay = 100 * time.Millisecond
	// watchMargin is the time that a watch may take in addition to watchWait.
	watchMargin = time.Second
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
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
	// ControlAddress returns the control address of the node beside an
	// instance, empty for this node.
	ControlAddress func(catalog.Instance) string
	// OnChange is called after each new state, from the goroutine that owns the
	// state.
	OnChange func(*State)
	Log      logr.Logger
}

// observation is the version and revision that a peer sent on the data path.
type observation struct {
	// address is the control address of the peer.
	address  string
	version  catalog.Version
	revision catalog.Revision
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
	group    sync.WaitGroup

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
	f.state.Store(&State{})
	f.lost.Store(true)
	return f
}

// State returns the current state.
func (f *Follower) State() *State { return f.state.Load() }

// StoreLost reports whether the store is unreachable.
func (f *Follower) StoreLost() bool { return f.lost.Load() }

// ObserveVersions takes the version and revision that a peer sent on the data path.
// If they are newer than this node's, the peer is queried for them.
func (f *Follower) ObserveVersions(address string, version catalog.Version, revision catalog.Revision) {
	seen := observation{address: address, version: version, revision: revision}
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
	f.state.Store(next)
	f.cfg.OnChange(next)
	f.notifyChanged()
}

// keepRemoved reports whether removals may come from entries that expired while
// the store was unreachable.
func (f *Follower) keepRemoved(now time.Time) bool {
	return !f.reachableAt.IsZero() && now.Sub(f.reachableAt) < removalGracePeriod
}

// expire drops kept instances whose entries were not published again within the
// grace period. It drops none while the store is unreachable.
func (f *Follower) expire(now time.Time) {
	state := f.State()
	if state.Directory == nil || f.lost.Load() {
		return
	}
	expired := state.Directory.Expire(now.Add(-removalGracePeriod))
	if expired == state.Directory {
		return
	}
	f.cfg.Log.Info("expired instances removed", "instances", state.Directory.Len()-expired.Len())
	next := *state
	next.Directory, next.DirectoryChangedAt = expired, now
	f.publish(&next)
}

func (f *Follower) applySnapshot(now time.Time, s Snapshot, source string) {
	f.applyConfiguration(now, s.Configuration, source)
	before := f.State().Directory
	switch {
	case s.Revision <= f.State().Revision():
		return
	case s.Partial && before == nil:
		return // there is no list to apply the changes to
	case s.Partial:
		f.publish(f.State().withCheckedChanges(now, s.Revision, s.Changes, s.Holding))
	default:
		fresh := catalog.NewDirectory(s.Revision, s.Instances)
		f.publish(f.State().withList(now, fresh, s.Holding || (source == sourceStore && f.keepRemoved(now))))
	}
	if source == sourceReader && before != nil && before.Len() == f.State().Directory.Len() {
		return // the reader logs each change
	}
	f.cfg.Log.Info("list of instances read", "source", source, "revision", s.Revision,
		"instances", f.State().Directory.Len(), "partial", s.Partial)
}

func (f *Follower) applyChanges(now time.Time, c Changes) {
	f.applyConfiguration(now, c.Configuration, sourceStore)
	for _, change := range c.Instances {
		f.logChange(change)
	}
	f.publish(f.State().withChanges(now, c.Revision, c.Instances, f.keepRemoved(now)))
}

// logChange logs a change of the list. For a removal, it logs the instance as it
// was listed before.
func (f *Follower) logChange(change catalog.Change) {
	instance := change.Instance
	if directory := f.State().Directory; instance == nil && directory != nil {
		if listed, ok := directory.Instance(change.ID); ok {
			instance = &listed
		}
	}
	if instance == nil {
		instance = &catalog.Instance{}
	}
	f.cfg.Log.Info("list of instances changed", "id", change.ID, "revision", change.Revision,
		"listed", change.Instance != nil, "draining", instance.Draining, "service", instance.Service,
		"address", instance.Address, "zone", instance.Zone)
}

func (f *Follower) applyConfiguration(now time.Time, raw []byte, source string) {
	if len(raw) == 0 {
		return
	}
	next, err := f.State().withConfiguration(now, raw, f.cfg.Store.Decode)
	switch {
	case errors.Is(err, errNotNewer):
		return
	case err != nil:
		f.cfg.Log.Info("configuration rejected", "source", source, "inForce", f.State().Version(), "reason", err.Error())
		return
	}
	f.publish(next)
	f.cfg.Log.Info("configuration in force", "source", source, "version", next.Version(),
		"routes", len(next.Catalog.Routes()), "workspaces", len(next.Catalog.Workspaces()))
}

// Sources of updates, as logged.
const (
	sourceStore  = "store"
	sourceReader = "reader"
	sourcePeer   = "peer"
)

// readStore reads all keys, then watches from that revision, until ctx ends. While
// another node of the zone reads the store, it polls that node instead.
func (f *Follower) readStore(ctx context.Context) {
	var revision catalog.Revision
	backoff := firstBackoff
	for ctx.Err() == nil {
		if f.pollReader(ctx) {
			f.markStoreReachable(ctx)
			revision = f.State().Revision()
			continue
		}
		next, err := f.readOnce(ctx, revision)
		if err == nil {
			revision, backoff = next, firstBackoff
			continue
		}
		if errors.Is(err, ErrCompacted) {
			f.cfg.Log.Info("store has compacted the revision; reading all keys", "after", revision)
			revision = 0
			continue
		}
		f.markStoreLost(ctx, err)
		if !sleep(ctx, backoff/2+rand.N(backoff)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// readOnce reads all keys if revision is 0, else waits for the changes after it.
// It returns the revision to continue from.
func (f *Follower) readOnce(ctx context.Context, revision catalog.Revision) (catalog.Revision, error) {
	if revision == 0 {
		bounded, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		snapshot, err := f.cfg.Store.Read(bounded)
		if err != nil {
			return 0, err
		}
		f.markStoreReachable(ctx)
		f.enqueue(ctx, func(now time.Time) { f.applySnapshot(now, snapshot, sourceStore) })
		return snapshot.Revision, nil
	}
	bounded, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	changes, err := f.cfg.Store.Watch(bounded, revision, watchWait)
	if err != nil {
		return 0, err
	}
	f.markStoreReachable(ctx)
	f.enqueue(ctx, func(now time.Time) { f.applyChanges(now, changes) })
	if len(changes.Instances) > 0 {
		sleep(ctx, watchBatchDelay)
	}
	return max(revision, changes.Revision), nil
}

// markStoreLost records and logs that the store is unreachable, if that is new.
func (f *Follower) markStoreLost(ctx context.Context, err error) {
	if ctx.Err() != nil || f.lost.Swap(true) {
		return
	}
	f.enqueue(ctx, func(now time.Time) {
		f.lostAt = now
		f.cfg.Log.Info("store lost", "reason", err.Error(), "version", f.State().Version(), "revision", f.State().Revision())
	})
}

// markStoreReachable records and logs that the store, or a node that reaches it,
// responds again, if that is new.
func (f *Follower) markStoreReachable(ctx context.Context) {
	if !f.lost.Swap(false) {
		return
	}
	f.enqueue(ctx, func(now time.Time) {
		if f.lostAt.IsZero() {
			f.cfg.Log.Info("store reached")
			return
		}
		f.reachableAt = now
		f.cfg.Log.Info("store reached", "after", now.Sub(f.lostAt).String())
	})
}

// sleep waits for a duration. It returns false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
