package usage

import (
	"slices"
	"time"
)

// departedFor is the time for which nodes whose instances left the list still count
// as part of the fleet. They may be up and out of touch, and mint for themselves; the
// list drops them all the same.
const departedFor = 10 * time.Second

// fleetSize is the number of nodes that may mint: the largest number of listed
// instances in the last departedFor.
type fleetSize struct {
	// lists holds the sizes of the current list and of those before it that still
	// count, from the largest to the current one.
	lists []listSize
}

// listSize is the size of a list that was replaced at replacedAt, zero for the current
// one.
type listSize struct {
	nodes      int
	replacedAt time.Time
}

// set sets the size of the current list.
func (f *fleetSize) set(now time.Time, nodes int) {
	if last := len(f.lists) - 1; last >= 0 {
		if f.lists[last].nodes == nodes {
			return
		}
		f.lists[last].replacedAt = now
	}
	f.lists = slices.DeleteFunc(f.lists, func(l listSize) bool { return l.nodes <= nodes })
	f.lists = append(f.lists, listSize{nodes: nodes})
}

// nodes returns the number of nodes at a time, at least one.
func (f *fleetSize) nodes(now time.Time) int {
	f.lists = slices.DeleteFunc(f.lists, func(l listSize) bool {
		return !l.replacedAt.IsZero() && now.Sub(l.replacedAt) >= departedFor
	})
	if len(f.lists) == 0 {
		return 1
	}
	return max(f.lists[0].nodes, 1)
}
