package catalog

import (
	"maps"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// Revision orders the changes of the store.
type Revision uint64

// Instance is one listed instance of a service.
type Instance struct {
	ID      member.InstanceID
	Service string
	// Address is the IP:port of the instance itself.
	Address string
	Zone    member.Zone
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Boot identifies one start of the instance; zero if not published.
	Boot member.BootID
	// Draining instances take no new requests.
	Draining bool
}

// Change is one change of the list: an instance as written, or its removal.
type Change struct {
	ID       member.InstanceID
	Revision Revision
	// Instance is nil for a removal, or for an entry that is not a usable
	// instance.
	Instance *Instance
}

// Directory is the list of instances at one revision of the store. It is
// immutable; With returns a changed copy.
type Directory struct {
	revision  Revision
	instances map[member.InstanceID]Instance
	// pendingRemovals holds the instances that the store removed but that stay
	// in the list until Expire, with the time of the removal.
	pendingRemovals map[member.InstanceID]time.Time
}

// NewDirectory returns a list as read at one revision.
func NewDirectory(revision Revision, instances []Instance) *Directory {
	d := &Directory{revision: revision, instances: make(map[member.InstanceID]Instance, len(instances))}
	for _, instance := range instances {
		d.instances[instance.ID] = instance
	}
	return d
}

// Revision returns the revision of the store that the list shows.
func (d *Directory) Revision() Revision { return d.revision }

// Len returns the number of instances.
func (d *Directory) Len() int { return len(d.instances) }

// Instance returns the instance with the id, and false if it is not listed.
func (d *Directory) Instance(id member.InstanceID) (Instance, bool) {
	instance, ok := d.instances[id]
	return instance, ok
}

// Instances returns the instances in no particular order.
func (d *Directory) Instances() []Instance {
	list := make([]Instance, 0, len(d.instances))
	for _, instance := range d.instances {
		list = append(list, instance)
	}
	return list
}

// Listed returns the instances without those whose removal is pending.
func (d *Directory) Listed() []Instance {
	list := make([]Instance, 0, len(d.instances))
	for id, instance := range d.instances {
		if _, pending := d.pendingRemovals[id]; !pending {
			list = append(list, instance)
		}
	}
	return list
}

// HasPendingRemovals reports whether the list contains instances whose removal
// is pending.
func (d *Directory) HasPendingRemovals() bool { return len(d.pendingRemovals) > 0 }

// With returns the list after changes, which bring it to the given revision.
// Changes that the list already contains are ignored. With keepRemoved set,
// removed instances stay until Expire drops them: their entries may have
// expired only because the store was unreachable. Draining instances are
// removed at once.
func (d *Directory) With(now time.Time, revision Revision, changes []Change, keepRemoved bool) *Directory {
	if len(changes) == 0 {
		return &Directory{revision: max(revision, d.revision), instances: d.instances, pendingRemovals: d.pendingRemovals}
	}
	next := &Directory{
		revision: max(revision, d.revision), instances: maps.Clone(d.instances), pendingRemovals: maps.Clone(d.pendingRemovals),
	}
	for _, change := range changes {
		if change.Revision > d.revision {
			next.apply(now, change, keepRemoved)
		}
	}
	return next
}

func (d *Directory) apply(now time.Time, change Change, keepRemoved bool) {
	delete(d.pendingRemovals, change.ID)
	if change.Instance != nil {
		d.instances[change.ID] = *change.Instance
		return
	}
	known, listed := d.instances[change.ID]
	if keepRemoved && listed && !known.Draining {
		if d.pendingRemovals == nil {
			d.pendingRemovals = make(map[member.InstanceID]time.Time)
		}
		d.pendingRemovals[change.ID] = now
		return
	}
	delete(d.instances, change.ID)
}

// Replaced returns a newly read list, or d if that is newer. With keepRemoved
// set, instances that are missing from it stay until Expire drops them, except
// draining ones.
func (d *Directory) Replaced(now time.Time, fresh *Directory, keepRemoved bool) *Directory {
	if fresh.revision < d.revision {
		return d
	}
	if !keepRemoved {
		return fresh
	}
	next := &Directory{revision: fresh.revision, instances: maps.Clone(fresh.instances)}
	for id, known := range d.instances {
		if _, listed := fresh.instances[id]; listed || known.Draining {
			continue
		}
		next.instances[id] = known
		if next.pendingRemovals == nil {
			next.pendingRemovals = make(map[member.InstanceID]time.Time)
		}
		next.pendingRemovals[id] = now
	}
	return next
}

// Expire returns the list without the instances whose entries were removed
// before the cutoff and were not written again since.
func (d *Directory) Expire(cutoff time.Time) *Directory {
	expired := false
	for _, removed := range d.pendingRemovals {
		expired = expired || removed.Before(cutoff)
	}
	if !expired {
		return d
	}
	next := &Directory{revision: d.revision, instances: maps.Clone(d.instances), pendingRemovals: maps.Clone(d.pendingRemovals)}
	for id, removed := range d.pendingRemovals {
		if removed.Before(cutoff) {
			delete(next.instances, id)
			delete(next.pendingRemovals, id)
		}
	}
	return next
}
