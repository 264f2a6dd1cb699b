package catalog

import "cmp"

// Revision orders the changes of the store within one era.
type Revision uint64

// Era counts the restorations of the store from a backup. A restoration takes back
// the latest changes and gives their revisions out again. Zero means that the store
// publishes no era.
type Era uint64

// Position is a point in the history of the store. Positions of a later era follow
// all positions of the earlier ones, whatever their revisions.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare returns a negative number if p precedes other, zero if they are equal, and
// a positive number if p follows other.
func (p Position) Compare(other Position) int {
	if byEra := cmp.Compare(p.Era, other.Era); byEra != 0 {
		return byEra
	}
	return cmp.Compare(p.Revision, other.Revision)
}

// Follows reports whether p is later than other.
func (p Position) Follows(other Position) bool { return p.Compare(other) > 0 }
