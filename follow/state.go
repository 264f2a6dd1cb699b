package follow

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

const (
	// removalGracePeriod is how long an instance is kept after its entry was removed
	// around an outage of the store. Live instances publish their entries again
	// within about two seconds after the store is back. An instance that stopped
	// without notice must get no new requests two seconds later.
	removalGracePeriod = 1700 * time.Millisecond
	// maxKeptChanges is the number of changes of the list that are kept for nodes
	// that poll this one. A node that lacks more gets the whole list. A node that
	// polls each second lacks fewer, except while a large fleet restarts.
	maxKeptChanges = 256
	// massRemovalRatio is the fraction of the instances of a service whose removal in
	// one batch suggests that their entries expired during an outage of the store
	// that this node did not notice.
	massRemovalRatio = 0.5
)

// State is a node's copy of the published state. It is immutable.
type State struct {
	// Catalog is the configuration in force, nil until one has been received.
	Catalog *catalog.Catalog
	// Directory is the list of instances, nil until it has been received.
	Directory *catalog.Directory
	// CatalogChangedAt and DirectoryChangedAt are when each last changed on this node.
	CatalogChangedAt, DirectoryChangedAt time.Time

	// raw is the configuration in force as published, undecoded.
	raw []byte
	// instances are the instances of Directory that may receive requests.
	instances []catalog.Instance
	// changes are the changes of the list after compactedRevision, in order
	// of revision. All are of the era of the list.
	changes           []catalog.Change
	compactedRevision catalog.Revision
	// eraConfirmed is set if this node read the era of the list from the store.
	eraConfirmed bool
}

// Configuration returns the configuration in force as published, undecoded.
func (s *State) Configuration() []byte { return s.raw }

// Version returns the version of the configuration in force, 0 if there is none.
func (s *State) Version() catalog.Version {
	if s.Catalog == nil {
		return 0
	}
	return s.Catalog.Version()
}

// Instances returns the listed instances of the services of the configuration, without
// those whose address another instance has taken over. The slice must not be changed.
func (s *State) Instances() []catalog.Instance { return s.instances }

// setInstances derives the usable instances from the list and the configuration.
func (s *State) setInstances() {
	if s.Directory == nil {
		return
	}
	s.instances = s.Directory.Usable(func(service string) bool { return s.Catalog == nil || s.Catalog.Service(service) != nil })
}

// Position returns the position of the list, zero if it has not been received.
func (s *State) Position() catalog.Position {
	if s.Directory == nil {
		return catalog.Position{}
	}
	return s.Directory.Position()
}

// EraConfirmed reports whether this node read the era of the list from the store.
func (s *State) EraConfirmed() bool { return s.eraConfirmed }

// errNotNewer means that a configuration is not newer than the one in force.
var errNotNewer = errors.New("configuration is not newer than the one in force")

// withConfiguration returns the state with a newer configuration in force. It
// fails with errNotNewer if the configuration is not newer.
func (s *State) withConfiguration(now time.Time, raw []byte, decode func([]byte) (catalog.Definition, error)) (*State, error) {
	definition, err := decode(raw)
	if err != nil {
		return nil, err
	}
	if definition.Version <= s.Version() {
		return nil, errNotNewer
	}
	parsed, err := catalog.New(definition)
	if err != nil {
		return nil, err
	}
	next := *s
	next.Catalog, next.CatalogChangedAt, next.raw = parsed, now, raw
	return &next, nil
}

// withList returns the state with the whole list replaced. With keepRemoved set,
// instances that are missing from the new list are kept until they expire.
func (s *State) withList(now time.Time, fresh *catalog.Directory, keepRemoved bool) *State {
	next := *s
	next.DirectoryChangedAt = now
	next.changes, next.compactedRevision = nil, fresh.Position().Revision
	if s.Directory == nil {
		next.Directory = fresh
		return &next
	}
	next.Directory = s.Directory.Replaced(now, fresh, keepRemoved)
	return &next
}

// withChanges returns the state with changes of the list applied. Removed
// instances are kept until they expire if keepRemoved is set, or if the changes
// look like entries that expired during an outage.
func (s *State) withChanges(now time.Time, position catalog.Position, changes []catalog.Change, keepRemoved bool) *State {
	if s.Directory == nil {
		return s
	}
	return s.withCheckedChanges(now, position, changes, keepRemoved || s.isMassRemoval(changes))
}

// withCheckedChanges returns the state with changes of the list applied, where
// keepRemoved alone decides whether removed instances are kept: the node that
// read the store, or withChanges, has made that decision.
//
// Changes of another era than that of the list are ignored.
func (s *State) withCheckedChanges(now time.Time, position catalog.Position, changes []catalog.Change, keepRemoved bool) *State {
	if position.Era != s.Position().Era {
		return s
	}
	next := *s
	next.Directory = s.Directory.With(now, position, changes, keepRemoved)
	next.appendChanges(s.Position().Revision, changes)
	if len(changes) > 0 {
		next.DirectoryChangedAt = now
	}
	return &next
}

// appendChanges adds the changes that are newer than a revision to those kept for
// other nodes, and drops the oldest beyond maxKeptChanges.
func (s *State) appendChanges(after catalog.Revision, changes []catalog.Change) {
	kept := slices.Clone(s.changes)
	for _, change := range changes {
		if change.Revision > after {
			kept = append(kept, change)
		}
	}
	slices.SortStableFunc(kept, func(a, b catalog.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	if over := len(kept) - maxKeptChanges; over > 0 {
		s.compactedRevision = kept[over-1].Revision
		kept = kept[over:]
	}
	s.changes = kept
}

// ChangesSince returns the changes of the list after a position. It returns false
// if not all of them are kept, or if the position is of another era.
func (s *State) ChangesSince(position catalog.Position) ([]catalog.Change, bool) {
	if s.Directory == nil || position.Revision == 0 || position.Era != s.Position().Era || position.Revision < s.compactedRevision {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(s.changes, position.Revision+1, func(c catalog.Change, r catalog.Revision) int {
		return cmp.Compare(c.Revision, r)
	})
	return s.changes[first:], true
}

// isMassRemoval reports whether the changes remove at least the fraction
// massRemovalRatio, and more than one, of the instances of a service, not counting
// instances that announced it by draining.
func (s *State) isMassRemoval(changes []catalog.Change) bool {
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
		if count > 1 && float64(count) >= massRemovalRatio*float64(listed[service]) {
			return true
		}
	}
	return false
}
