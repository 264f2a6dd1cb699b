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
	// watchWait is how long one watch waits. A watch may die without a sign, so
	// its wait and another read must fit into the three seconds after which a
	// node must be up to date again; the store charges each call.
	watchWait = 2500 * time.Millisecond
	// readTimeout bounds one read of everything.
	readTimeout = 3 * time.Second
	// watchPause follows changes of the list, so that several at a time, as when
	// a fleet starts, cost one call.
	watchPause = 100 * time.Millisecond
	// watchMargin is how much longer than its wait a watch may take.
	watchMargin = time.Second
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
	// peerInterval is the time between questions to peers while the store is
	// out of reach.
	peerInterval = 250 * time.Millisecond
	// peerTimeout bounds one question to a peer.
	peerTimeout = 500 * time.Millisecond
	// seenDelay is how long a newer version on the data path is left to the own
	// watch before a peer is asked.
	seenDelay = 150 * time.Millisecond
	// expireInterval is the time between looks for lapsed entries.
	expireInterval = 200 * time.Millisecond
	// inboxLength is the number of findings that may wait for the owner.
	inboxLength = 64
)

// Config configures a Follower.
type Config struct {
	Store Store
	Peer  Peer
	// Zone is that of the node, Own the address of the instance beside it.
	Zone member.Zone
	Own  string
	// Seeds are control addresses of nodes that may be asked before any
	// instance is known.
	Seeds []string
	// ControlAddress returns the control address of the node beside an
	// instance, empty for the own one.
	ControlAddress func(catalog.Instance) string
	// OnChange is called after each new state, from the owner's goroutine.
	OnChange func(*State)
	Log      logr.Logger
}

// sighting is what a peer showed on the data path.
type sighting struct {
	address  string
	version  catalog.Version
	revision catalog.Revision
}

// Follower keeps a copy of the published values up to date.
type Follower struct {
	cfg   Config
	state atomic.Pointer[State]
	inbox chan func(now time.Time)
	newer chan sighting
	relay relay
	group sync.WaitGroup

	// lost is set while the store is out of reach; lostAt and regainedAt
	// belong to the owner.
	lost       atomic.Bool
	lostAt     time.Time
	regainedAt time.Time

	changedMu sync.Mutex
	changed   chan struct{}
}

// New returns a follower that knows nothing.
func New(cfg Config) *Follower {
	f := &Follower{
		cfg:     cfg,
		inbox:   make(chan func(now time.Time), inboxLength),
		newer:   make(chan sighting, 1),
		changed: make(chan struct{}),
		relay:   relay{zone: cfg.Zone, own: cfg.Own, failed: make(map[member.InstanceID]time.Time)},
	}
	f.state.Store(&State{})
	f.lost.Store(true)
	return f
}

// State returns what is known now.
func (f *Follower) State() *State { return f.state.Load() }

// StoreLost reports whether the store is out of reach.
func (f *Follower) StoreLost() bool { return f.lost.Load() }

// Seen takes the version and revision that a peer showed on the data path and
// has the peer asked if they are newer.
func (f *Follower) Seen(address string, version catalog.Version, revision catalog.Revision) {
	seen := sighting{address: address, version: version, revision: revision}
	if !f.behind(seen) {
		return
	}
	select {
	case f.newer <- seen:
	default: // a question is due already
	}
}

// Start runs the follower until ctx ends; Wait returns after that.
func (f *Follower) Start(ctx context.Context) {
	f.group.Go(func() { f.own(ctx) })
	f.group.Go(func() { f.readStore(ctx) })
	f.group.Go(func() { f.askPeers(ctx) })
}

// Wait returns when all goroutines have ended.
func (f *Follower) Wait() { f.group.Wait() }

// own applies findings; it is the only writer of the state.
func (f *Follower) own(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case apply := <-f.inbox:
			apply(time.Now())
		case now := <-ticker.C:
			f.expire(now)
		}
	}
}

func (f *Follower) tell(ctx context.Context, apply func(now time.Time)) {
	select {
	case f.inbox <- apply:
	case <-ctx.Done():
	}
}

// publish puts a state in force and tells of it.
func (f *Follower) publish(next *State) {
	if next == f.State() {
		return
	}
	f.state.Store(next)
	f.cfg.OnChange(next)
	f.wake()
}

// keepRemoved reports whether removals may come from entries that lapsed while
// the store was out of reach.
func (f *Follower) keepRemoved(now time.Time) bool {
	return !f.regainedAt.IsZero() && now.Sub(f.regainedAt) < lapseGrace
}

func (f *Follower) expire(now time.Time) {
	state := f.State()
	if state.Directory == nil || f.lost.Load() {
		return
	}
	expired := state.Directory.Expire(now.Add(-lapseGrace))
	if expired == state.Directory {
		return
	}
	f.cfg.Log.Info("dropped instances whose entries did not come back", "instances", state.Directory.Len()-expired.Len())
	next := *state
	next.Directory, next.DirectoryAt = expired, now
	f.publish(&next)
}

func (f *Follower) applySnapshot(now time.Time, s Snapshot, source string) {
	f.applyConfiguration(now, s.Configuration, source)
	before := f.State().Directory
	switch {
	case s.Revision <= f.State().Revision():
		return
	case s.Partial && before == nil:
		return // the changes of a list that is not known
	case s.Partial:
		f.publish(f.State().withBelieved(now, s.Revision, s.Changes, s.Holding))
	default:
		fresh := catalog.NewDirectory(s.Revision, s.Instances)
		f.publish(f.State().withList(now, fresh, s.Holding || (source == sourceStore && f.keepRemoved(now))))
	}
	if source == sourceReader && before != nil && before.Len() == f.State().Directory.Len() {
		return // the reader logs single changes
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

// logChange logs a change of the list; that of a removal shows what was listed.
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
	case errors.Is(err, errOlder):
		return
	case err != nil:
		f.cfg.Log.Info("configuration rejected", "source", source, "inForce", f.State().Version(), "reason", err.Error())
		return
	}
	f.publish(next)
	f.cfg.Log.Info("configuration in force", "source", source, "version", next.Version(),
		"routes", len(next.Catalog.Routes()), "workspaces", len(next.Catalog.Workspaces()))
}

// Sources of findings.
const (
	sourceStore  = "store"
	sourceReader = "reader"
	sourcePeer   = "peer"
)

// readStore reads everything and watches from there, for ever.
func (f *Follower) readStore(ctx context.Context) {
	var revision catalog.Revision
	backoff := firstBackoff
	for ctx.Err() == nil {
		if f.readRelay(ctx) {
			f.regained(ctx)
			revision = f.State().Revision()
			continue
		}
		next, err := f.readOnce(ctx, revision)
		if err == nil {
			revision, backoff = next, firstBackoff
			continue
		}
		if errors.Is(err, ErrHistoryLost) {
			f.cfg.Log.Info("store dropped the history, reading everything", "after", revision)
			revision = 0
			continue
		}
		f.lostStore(ctx, err)
		if !sleep(ctx, backoff/2+rand.N(backoff)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// readOnce reads everything if revision is 0, else what changed after it.
func (f *Follower) readOnce(ctx context.Context, revision catalog.Revision) (catalog.Revision, error) {
	if revision == 0 {
		bounded, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		snapshot, err := f.cfg.Store.Read(bounded)
		if err != nil {
			return 0, err
		}
		f.regained(ctx)
		f.tell(ctx, func(now time.Time) { f.applySnapshot(now, snapshot, sourceStore) })
		return snapshot.Revision, nil
	}
	bounded, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	changes, err := f.cfg.Store.Watch(bounded, revision, watchWait)
	if err != nil {
		return 0, err
	}
	f.regained(ctx)
	f.tell(ctx, func(now time.Time) { f.applyChanges(now, changes) })
	if len(changes.Instances) > 0 {
		sleep(ctx, watchPause)
	}
	return max(revision, changes.Revision), nil
}

func (f *Follower) lostStore(ctx context.Context, err error) {
	if ctx.Err() != nil || f.lost.Swap(true) {
		return
	}
	f.tell(ctx, func(now time.Time) {
		f.lostAt = now
		f.cfg.Log.Info("store lost", "reason", err.Error(), "version", f.State().Version(), "revision", f.State().Revision())
	})
}

func (f *Follower) regained(ctx context.Context) {
	if !f.lost.Swap(false) {
		return
	}
	f.tell(ctx, func(now time.Time) {
		if f.lostAt.IsZero() {
			f.cfg.Log.Info("store reached")
			return
		}
		f.regainedAt = now
		f.cfg.Log.Info("store reached", "after", now.Sub(f.lostAt).String())
	})
}

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
