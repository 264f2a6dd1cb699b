package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// outdatedLifetime is how long a list keeps the writes that were replaced. It exceeds
// the age of the backup from which the store is restored, some seconds, and the
// history that the store keeps.
const outdatedLifetime = 30 * time.Second

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
	// Created is the revision at which the entry was created, zero if not known.
	Created Revision
	// Digest is a hash of the entry and of the revision at which it was written,
	// zero if not known.
	Digest uint64
}

// Write identifies one write of the entry of an instance. A restored store contains
// earlier writes again; a later write at the same revision has another digest.
type Write struct {
	ID     member.InstanceID
	Digest uint64
}

// Write returns the write that the instance was listed with.
func (i *Instance) Write() Write { return Write{ID: i.ID, Digest: i.Digest} }

// Correction tells that a write of an entry is outdated: the entry was written again
// as Instance, or removed if Instance is nil.
type Correction struct {
	Write    Write
	Instance *Instance
}

// Change is one change of the list: an instance as written, or its removal.
type Change struct {
	ID member.InstanceID
	// Revision is that of the change, in the era of the list.
	Revision Revision
	// Instance is nil for a removal, or for an entry that is not a usable
	// instance.
	Instance *Instance
}

// Directory is the list of instances at one position of the store. It is immutable;
// With returns a changed copy.
//
// A list of a new era comes from a restored store: it lacks the latest changes. What
// the node has seen of them holds until the entries are written again. A write that
// was replaced or removed before stays so, and instances that the new list lacks stay
// until Expire drops them.
type Directory struct {
	position  Position
	instances map[member.InstanceID]Instance
	// pendingRemovals holds the instances that the store removed but that stay
	// in the list until Expire, with the time of the removal.
	pendingRemovals map[member.InstanceID]time.Time
	// outdated holds the writes that were replaced or removed within
	// outdatedLifetime, with the time at which this node received the change.
	outdated map[Write]time.Time
}

// NewDirectory returns a list as read at one position.
func NewDirectory(position Position, instances []Instance) *Directory {
	d := &Directory{position: position, instances: make(map[member.InstanceID]Instance, len(instances))}
	for _, instance := range instances {
		d.instances[instance.ID] = instance
	}
	return d
}

// Position returns the position of the store that the list shows.
func (d *Directory) Position() Position { return d.position }

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

// Usable returns the instances that may receive requests, in no particular order:
// those of services for which serves returns true, and only the last created one of
// several at the same address. The others have ended, but their entries have not
// expired yet. It handles a fleet whose machines all restart at once: until then, half
// of the list would be instances that are gone.
func (d *Directory) Usable(serves func(service string) bool) []Instance {
	newest := make(map[string]Instance, len(d.instances))
	for _, instance := range d.instances {
		if !serves(instance.Service) {
			continue
		}
		if other, taken := newest[instance.Address]; !taken || instance.replaces(&other) {
			newest[instance.Address] = instance
		}
	}
	return slices.Collect(maps.Values(newest))
}

// replaces reports whether the instance was started later than another one at the same
// address. The order of the store's writes counts: clocks of machines differ.
func (i *Instance) replaces(other *Instance) bool {
	if i.Created != other.Created {
		return i.Created > other.Created
	}
	if i.Boot != other.Boot {
		return i.Boot > other.Boot
	}
	return i.ID > other.ID
}

// HasPendingRemovals reports whether the list contains instances whose removal
// is pending.
func (d *Directory) HasPendingRemovals() bool { return len(d.pendingRemovals) > 0 }

// Corrections returns what a node that reads a restored store can't know: the writes
// that this list has seen replaced or removed within outdatedLifetime.
func (d *Directory) Corrections(now time.Time) []Correction {
	var corrections []Correction
	for write, at := range d.outdated {
		if now.Sub(at) > outdatedLifetime {
			continue
		}
		correction := Correction{Write: write}
		if current, listed := d.instances[write.ID]; listed {
			correction.Instance = &current
		}
		corrections = append(corrections, correction)
	}
	return corrections
}

// Corrected returns the list with the corrections of another node applied, or d if
// none applies.
func (d *Directory) Corrected(now time.Time, corrections []Correction) *Directory {
	next := d
	for _, c := range corrections {
		known, listed := d.instances[c.Write.ID]
		if !listed || known.Write() != c.Write {
			continue
		}
		if next == d {
			next = d.clone(now, d.position)
		}
		next.markOutdated(now, known)
		if c.Instance != nil {
			next.instances[known.ID] = *c.Instance
		} else {
			delete(next.instances, known.ID)
			delete(next.pendingRemovals, known.ID)
		}
	}
	return next
}

// clone returns a copy at a position, without expired outdated writes.
func (d *Directory) clone(now time.Time, position Position) *Directory {
	next := &Directory{
		position: position, instances: maps.Clone(d.instances),
		pendingRemovals: maps.Clone(d.pendingRemovals), outdated: maps.Clone(d.outdated),
	}
	maps.DeleteFunc(next.outdated, func(_ Write, at time.Time) bool { return now.Sub(at) > outdatedLifetime })
	return next
}

func (d *Directory) markOutdated(now time.Time, instance Instance) {
	if d.outdated == nil {
		d.outdated = make(map[Write]time.Time)
	}
	d.outdated[instance.Write()] = now
}

func (d *Directory) markPending(id member.InstanceID, at time.Time) {
	if d.pendingRemovals == nil {
		d.pendingRemovals = make(map[member.InstanceID]time.Time)
	}
	d.pendingRemovals[id] = at
}

// With returns the list after changes, which bring it to the given position.
// Changes that the list already contains are ignored, and so are all changes of
// another era than that of the list. With keepRemoved set, removed instances stay
// until Expire drops them: their entries may have expired only because the store was
// unreachable. Draining instances are removed at once.
func (d *Directory) With(now time.Time, position Position, changes []Change, keepRemoved bool) *Directory {
	if position.Era != d.position.Era {
		return d
	}
	position.Revision = max(position.Revision, d.position.Revision)
	if len(changes) == 0 {
		next := *d
		next.position = position
		return &next
	}
	next := d.clone(now, position)
	for _, change := range changes {
		if change.Revision > d.position.Revision {
			next.apply(now, change, keepRemoved)
		}
	}
	return next
}

func (d *Directory) apply(now time.Time, change Change, keepRemoved bool) {
	known, listed := d.instances[change.ID]
	if listed && (change.Instance == nil || change.Instance.Write() != known.Write()) {
		d.markOutdated(now, known)
	}
	delete(d.pendingRemovals, change.ID)
	if change.Instance != nil {
		d.instances[change.ID] = *change.Instance
		return
	}
	if keepRemoved && listed && !known.Draining {
		d.markPending(change.ID, now)
		return
	}
	delete(d.instances, change.ID)
}

// Replaced returns a newly read list, or d if that is newer. With keepRemoved
// set, and in any case if the list is of a new era, instances that are missing from it
// stay until Expire drops them, except draining ones.
func (d *Directory) Replaced(now time.Time, fresh *Directory, keepRemoved bool) *Directory {
	if d.position.Follows(fresh.position) {
		return d
	}
	next := fresh.clone(now, fresh.position)
	next.outdated = d.clone(now, d.position).outdated
	restored := fresh.position.Era > d.position.Era
	for id, known := range d.instances {
		current, listed := fresh.instances[id]
		if listed && current.Write() == known.Write() {
			if pendingAt, pending := d.pendingRemovals[id]; pending && restored {
				next.markPending(id, pendingAt)
			}
			continue
		}
		if listed && restored && d.isOutdated(current) {
			continue // restoreKnown keeps the later write
		}
		next.markOutdated(now, known)
		if !listed && (keepRemoved || restored) && !known.Draining {
			next.instances[id] = known
			next.markPending(id, d.pendingSince(id, now))
		}
	}
	if restored {
		next.restoreKnown(d)
	}
	return next
}

// pendingSince returns since when the removal of an instance is pending, or now if it
// isn't.
func (d *Directory) pendingSince(id member.InstanceID, now time.Time) time.Time {
	if at, pending := d.pendingRemovals[id]; pending {
		return at
	}
	return now
}

// isOutdated reports whether the write of an entry was replaced or removed before.
// Entries without a digest come from nodes that don't send it.
func (d *Directory) isOutdated(instance Instance) bool {
	_, outdated := d.outdated[instance.Write()]
	return outdated && instance.Digest != 0
}

// restoreKnown replaces the entries of a list of a new era whose writes were outdated
// before the store was restored by what the earlier list had in their place.
func (d *Directory) restoreKnown(before *Directory) {
	for id, entry := range maps.Clone(d.instances) {
		if !before.isOutdated(entry) {
			continue
		}
		known, listed := before.instances[id]
		if !listed {
			delete(d.instances, id)
			continue
		}
		d.instances[id] = known
		if at, pending := before.pendingRemovals[id]; pending {
			d.markPending(id, at)
		}
	}
}

// Expire returns the list without the instances whose entries were removed
// before the cutoff and were not written again since.
func (d *Directory) Expire(now, cutoff time.Time) *Directory {
	expired := false
	for _, removed := range d.pendingRemovals {
		expired = expired || removed.Before(cutoff)
	}
	if !expired {
		return d
	}
	next := d.clone(now, d.position)
	for id, removed := range d.pendingRemovals {
		if removed.Before(cutoff) {
			delete(next.instances, id)
			delete(next.pendingRemovals, id)
		}
	}
	return next
}
