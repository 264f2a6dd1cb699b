package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

const (
	// readTimeout bounds one read of all keys.
	readTimeout = 3 * time.Second
	// watchBatchDelay is the pause before the next watch after changes of the list,
	// so that a batch of changes, as when a fleet starts, costs one call.
	watchBatchDelay = 100 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
)

// readStore reads all keys, then watches from that revision, until ctx ends. While
// another node of the zone reads the store, it polls that node instead.
func (f *Follower) readStore(ctx context.Context) {
	var position catalog.Position
	backoff := firstBackoff
	for ctx.Err() == nil {
		if f.pollReader(ctx) {
			f.markStoreReachable(ctx)
			position = f.State().Position()
			continue
		}
		next, err := f.readOnce(ctx, position)
		if err == nil {
			position, backoff = next, firstBackoff
			continue
		}
		if errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored) {
			f.cfg.Log.Info("reading all keys of the store", "reason", err.Error(), "era", position.Era, "after", position.Revision)
			position = catalog.Position{}
			continue
		}
		f.markStoreLost(ctx, err)
		if !sleep(ctx, backoff/2+rand.N(backoff)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// readOnce reads all keys if after is zero, else waits for the changes after it.
// It returns the position to continue from.
func (f *Follower) readOnce(ctx context.Context, after catalog.Position) (catalog.Position, error) {
	if after.Revision == 0 {
		return f.readAll(ctx)
	}
	bounded, cancel := context.WithTimeout(ctx, f.limits.maxAge())
	defer cancel()
	changes, err := f.cfg.Store.Watch(bounded, after, f.limits.watchWait())
	if err != nil {
		return catalog.Position{}, err
	}
	if err := f.checkStoreEra(changes.Position); err != nil {
		return catalog.Position{}, err
	}
	if changes.Position.Era != after.Era {
		return catalog.Position{}, ErrRestored
	}
	f.markStoreReachable(ctx)
	changes.ConfirmedAt = time.Now()
	f.enqueue(ctx, func(now time.Time) { f.applyChanges(now, changes) })
	if len(changes.Instances) > 0 {
		sleep(ctx, watchBatchDelay)
	}
	after.Revision = max(after.Revision, changes.Position.Revision)
	return after, nil
}

func (f *Follower) readAll(ctx context.Context) (catalog.Position, error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := time.Now()
	snapshot, err := f.cfg.Store.Read(bounded)
	if err != nil {
		return catalog.Position{}, err
	}
	if err := f.checkStoreEra(snapshot.Position); err != nil {
		return catalog.Position{}, err
	}
	f.markStoreReachable(ctx)
	snapshot.ConfirmedAt = started // its pages are read one after the other
	f.enqueue(ctx, func(now time.Time) { f.applySnapshot(now, snapshot, sourceStore, "") })
	return snapshot.Position, nil
}

// checkStoreEra returns an error if a response of the store names an earlier era than
// one before it.
func (f *Follower) checkStoreEra(position catalog.Position) error {
	if err := f.storeEras.Observe(position.Era); err != nil {
		f.refuseEra(position, sourceStore, "", err)
		return err
	}
	return nil
}

// markStoreLost records and logs that the store is unreachable, if that is new.
func (f *Follower) markStoreLost(ctx context.Context, err error) {
	if ctx.Err() != nil || f.lost.Swap(true) {
		return
	}
	f.enqueue(ctx, func(now time.Time) {
		f.lostAt = now
		position := f.State().Position()
		f.cfg.Log.Info("store lost", "reason", err.Error(), "version", f.State().Version(), "era", position.Era, "revision", position.Revision)
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
