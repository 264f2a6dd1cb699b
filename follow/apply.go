package follow

import (
	"errors"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

// Sources of updates, as logged.
const (
	sourceStore  = "store"
	sourceReader = "reader"
	sourcePeer   = "peer"
)

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
	expired := state.Directory.Expire(now, now.Add(-removalGracePeriod))
	if expired == state.Directory {
		return
	}
	f.cfg.Log.Info("expired instances removed", "instances", state.Directory.Len()-expired.Len())
	next := *state
	next.Directory, next.DirectoryChangedAt = expired, now
	f.publish(&next)
}

// applySnapshot applies what the store or a peer sent; peer is the address of a peer.
func (f *Follower) applySnapshot(now time.Time, s Snapshot, source, peer string) {
	f.applyConfiguration(now, s.Configuration, source)
	if source == sourceStore {
		f.confirmedEra = max(f.confirmedEra, s.Position.Era)
	}
	before := f.State()
	switch {
	case !s.Position.Follows(before.Position()):
		if s.Position.Era < before.Position().Era && s.Position.Revision > 0 {
			f.refuseEra(s.Position, source, peer, catalog.ErrStaleEra)
		}
	case source == sourceStore:
		f.applyList(now, s, f.keepRemoved(now))
	default:
		if err := f.checkPeerEra(before, s, peer); err != nil {
			f.refuseEra(s.Position, source, peer, err)
			return
		}
		f.applyList(now, s, s.Holding)
	}
	f.applyCorrections(now, s.Corrections)
	f.confirmed.advance(s.ConfirmedAt)
	after := f.State()
	if after.Directory == before.Directory ||
		(source == sourceReader && before.Directory != nil && before.Directory.Len() == after.Directory.Len()) {
		return // nothing is new, or the reader logs each change
	}
	f.cfg.Log.Info("list of instances read", "source", source, "era", after.Position().Era, "revision", after.Position().Revision,
		"instances", after.Directory.Len(), "partial", s.Partial)
}

// checkPeerEra decides whether the era of a peer's list is accepted. A node without a
// list accepts any.
func (f *Follower) checkPeerEra(state *State, s Snapshot, peer string) error {
	if state.Directory == nil {
		return nil
	}
	return f.eraClaims.Check(state.Position().Era, s.Position.Era, peer, s.EraConfirmed)
}

func (f *Follower) refuseEra(position catalog.Position, source, peer string, err error) {
	f.cfg.CountRefusedEra(1)
	f.cfg.Log.Info("list of instances refused", "source", source, "peer", peer, "era", position.Era, "revision", position.Revision,
		"eraInForce", f.State().Position().Era, "reason", err.Error())
}

func (f *Follower) applyList(now time.Time, s Snapshot, keepRemoved bool) {
	state := f.State()
	if !s.Partial {
		f.publish(state.withList(now, catalog.NewDirectory(s.Position, s.Instances), keepRemoved))
		return
	}
	if state.Directory != nil { // else there is no list to apply the changes to
		f.publish(state.withCheckedChanges(now, s.Position, s.Changes, keepRemoved))
	}
}

func (f *Follower) applyCorrections(now time.Time, corrections []catalog.Correction) {
	state := f.State()
	if state.Directory == nil {
		return
	}
	corrected := state.Directory.Corrected(now, corrections)
	if corrected == state.Directory {
		return
	}
	next := *state
	next.Directory, next.DirectoryChangedAt = corrected, now
	f.cfg.Log.Info("list of instances corrected", "era", state.Position().Era, "revision", state.Position().Revision,
		"before", state.Directory.Len(), "instances", corrected.Len())
	f.publish(&next)
}

func (f *Follower) applyChanges(now time.Time, c Changes) {
	f.applyConfiguration(now, c.Configuration, sourceStore)
	for _, change := range c.Instances {
		f.logChange(change, c.Position.Era)
	}
	f.publish(f.State().withChanges(now, c.Position, c.Instances, f.keepRemoved(now)))
	f.confirmed.advance(c.ConfirmedAt)
}

// logChange logs a change of the list. For a removal, it logs the instance as it
// was listed before.
func (f *Follower) logChange(change catalog.Change, era catalog.Era) {
	instance := change.Instance
	if directory := f.State().Directory; instance == nil && directory != nil {
		if listed, ok := directory.Instance(change.ID); ok {
			instance = &listed
		}
	}
	if instance == nil {
		instance = &catalog.Instance{}
	}
	f.cfg.Log.Info("list of instances changed", "id", change.ID, "era", era, "revision", change.Revision,
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
