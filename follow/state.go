package follow

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

const (
	// lapseGrace is how long instances whose entries vanished around an outage
	// of the store are kept. Live instances are back in the list within about
	// two seconds of its return; one that left without notice must get no new
	// requests two seconds after it did.
	lapseGrace = 1700 * time.Millisecond
	// maxChanges is the number of changes of the list that are kept for nodes that
	// wait at this one. One that lacks more gets the whole list; a node that asks
	// each second lacks fewer, short of a restart of a large fleet.
	maxChanges = 256
	// massRemoval is the part of the instances of a service whose removal at
	// once suggests that their entries lapsed during an outage that was not
	// noticed here.
	massRemoval = 0.5
)

// State is what a node knows of the published values.
type State struct {
	// Catalog is nil until a configuration is known.
	Catalog *catalog.Catalog
	// Directory is nil until the list has been read.
	Directory *catalog.Directory
	// CatalogAt and DirectoryAt are when each last changed here.
	CatalogAt, DirectoryAt time.Time

	raw []byte
	// changes are those of the list after the revision changesFrom, in order.
	changes     []catalog.Change
	changesFrom catalog.Revision
}

// Configuration returns the configuration as published.
func (s *State) Configuration() []byte { return s.raw }

// Version returns the version of the configuration, 0 if none is known.
func (s *State) Version() catalog.Version {
	if s.Catalog == nil {
		return 0
	}
	return s.Catalog.Version()
}

// Revision returns the revision of the list, 0 if it has not been read.
func (s *State) Revision() catalog.Revision {
	if s.Directory == nil {
		return 0
	}
	return s.Directory.Revision()
}

// errOlder says that a configuration is not newer than the one in force.
var errOlder = errors.New("configuration is not newer than the one in force")

// withConfiguration returns the state with a newer configuration in force.
func (s *State) withConfiguration(now time.Time, raw []byte, decode func([]byte) (catalog.Definition, error)) (*State, error) {
	definition, err := decode(raw)
	if err != nil {
		return nil, err
	}
	if definition.Version <= s.Version() {
		return nil, errOlder
	}
	parsed, err := catalog.New(definition)
	if err != nil {
		return nil, err
	}
	next := *s
	next.Catalog, next.CatalogAt, next.raw = parsed, now, raw
	return &next, nil
}

// withList returns the state with the list as read anew.
func (s *State) withList(now time.Time, fresh *catalog.Directory, keepRemoved bool) *State {
	next := *s
	next.DirectoryAt = now
	next.changes, next.changesFrom = nil, fresh.Revision()
	if s.Directory == nil {
		next.Directory = fresh
		return &next
	}
	next.Directory = s.Directory.Replaced(now, fresh, keepRemoved)
	return &next
}

// withChanges returns the state with changes of the list.
func (s *State) withChanges(now time.Time, revision catalog.Revision, changes []catalog.Change, keepRemoved bool) *State {
	if s.Directory == nil {
		return s
	}
	return s.withBelieved(now, revision, changes, keepRemoved || s.removesMany(changes))
}

// withBelieved returns the state with changes of the list of which another node,
// or withChanges, has judged whether removals are believed.
func (s *State) withBelieved(now time.Time, revision catalog.Revision, changes []catalog.Change, keepRemoved bool) *State {
	next := *s
	next.Directory = s.Directory.With(now, revision, changes, keepRemoved)
	next.keepChanges(s.Revision(), changes)
	if len(changes) > 0 {
		next.DirectoryAt = now
	}
	return &next
}

// keepChanges keeps those changes that are newer than a revision.
func (s *State) keepChanges(after catalog.Revision, changes []catalog.Change) {
	kept := slices.Clone(s.changes)
	for _, change := range changes {
		if change.Revision > after {
			kept = append(kept, change)
		}
	}
	slices.SortStableFunc(kept, func(a, b catalog.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	if over := len(kept) - maxChanges; over > 0 {
		s.changesFrom = kept[over-1].Revision
		kept = kept[over:]
	}
	s.changes = kept
}

// ChangesSince returns the changes of the list after a revision. It returns false
// if they are not all kept.
func (s *State) ChangesSince(revision catalog.Revision) ([]catalog.Change, bool) {
	if s.Directory == nil || revision == 0 || revision < s.changesFrom {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(s.changes, revision+1, func(c catalog.Change, r catalog.Revision) int {
		return cmp.Compare(c.Revision, r)
	})
	return s.changes[first:], true
}

// removesMany reports whether the changes remove a large part of the instances
// of a service that did not announce it.
func (s *State) removesMany(changes []catalog.Change) bool {
	removed := make(map[string]int)
	listed := make(map[string]int)
	byID := make(map[string]catalog.Instance)
	for _, instance := range s.Directory.Instances() {
		listed[instance.Service]++
		byID[string(instance.ID)] = instance
	}
	for _, change := range changes {
		known, ok := byID[string(change.ID)]
		if change.Instance == nil && ok && !known.Draining {
			removed[known.Service]++
		}
	}
	for service, count := range removed {
		if count > 1 && float64(count) >= massRemoval*float64(listed[service]) {
			return true
		}
	}
	return false
}
