package follow

import (
	"context"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
)

// failedReaderBackoff is how long a node is not chosen as reader after a poll of it
// failed.
const failedReaderBackoff = 3 * time.Second

// minPollInterval is the shortest time between two polls of the reader. It is far below
// the time in which configurations must be in force, and bounds what polls cost that
// return at once.
const minPollInterval = 20 * time.Millisecond

// readerSelector chooses the node that reads the store for the zone. The store
// charges for each call, so one node of a zone watches it and the others long-poll
// that node. It is used only by the goroutine that reads the store.
type readerSelector struct {
	zone member.Zone
	// ownAddress is the address of the instance beside this node.
	ownAddress string
	// failed holds when a poll of a node last failed.
	failed map[member.InstanceID]time.Time
}

// reader returns the instance whose node reads the store for the zone. It returns
// false if this node has to read the store itself: it is the reader, or there is
// no other candidate.
func (r *readerSelector) reader(now time.Time, instances []catalog.Instance) (catalog.Instance, bool) {
	byID := make(map[member.InstanceID]catalog.Instance)
	var ids []member.InstanceID
	for _, instance := range instances {
		if instance.Zone != r.zone || instance.Draining {
			continue
		}
		byID[instance.ID] = instance
		ids = append(ids, instance.ID)
	}
	first, ok := member.First(ids, func(id member.InstanceID) bool {
		at, failed := r.failed[id]
		return failed && now.Sub(at) < failedReaderBackoff
	})
	if !ok || byID[first].Address == r.ownAddress {
		return catalog.Instance{}, false
	}
	return byID[first], true
}

// pollReader long-polls the reader of the zone for a newer state. It returns false
// if this node should read the store itself now.
func (f *Follower) pollReader(ctx context.Context) bool {
	now := time.Now()
	reader, ok := f.readers.reader(now, f.State().Instances())
	if !ok {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, f.limits.pollTimeout())
	defer cancel()
	state := f.State()
	address := f.cfg.ControlAddress(reader)
	snapshot, err := f.cfg.Peer.Published(bounded, address, Query{
		Version: state.Version(), Position: state.Position(), Wait: f.limits.pollWait(),
	})
	if err != nil {
		if ctx.Err() == nil {
			f.cfg.Log.Info("poll of zone reader failed", "reader", reader.ID, "reason", err.Error())
			f.readers.failed[reader.ID] = now
		}
		return false
	}
	f.enqueue(ctx, func(now time.Time) { f.applySnapshot(now, snapshot, sourceReader, address) })
	// A reader responds at once for as long as it has a state that this node does not put
	// in force, such as one of an era that is not confirmed.
	sleep(ctx, time.Until(now.Add(minPollInterval)))
	return true
}

// Changed returns a channel that is closed with the next new state.
func (f *Follower) Changed() <-chan struct{} {
	f.changedMu.Lock()
	defer f.changedMu.Unlock()
	return f.changed
}

// notifyChanged notifies those that wait on Changed of a new state.
func (f *Follower) notifyChanged() {
	f.changedMu.Lock()
	defer f.changedMu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}
