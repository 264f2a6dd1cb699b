package usage

import (
	"math"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

const (
	// usedRatio is the part of the tolerated ratio by which the rate is raised:
	// a request is refused wrongly when tokens lie elsewhere for a moment.
	usedRatio = 0.6
	// depthPart is the part of what the raised rate leaves of a window's total
	// that may be admitted at once. The rest covers a change of the collector.
	depthPart = 0.6
	// underWay is the time in seconds whose requests no pool knows of when all
	// processes end together: they were admitted, and still arrive at instances
	// while the next pool begins. A way through the fleet and the wait of a root at
	// a guard (100 ms at most) take about this long.
	underWay = 0.1
	// leastFill is what a new pool has in requests, also where nothing above the
	// quota is tolerated: a slow workspace would wait long for its first request.
	leastFill = 2
)

// Tolerance is what may be admitted above the exact quota in any window.
type Tolerance struct {
	// Window is the length of the sliding windows.
	Window time.Duration
	// Ratio is the part of rate x window + burst that may come on top.
	Ratio float64
	// Requests may come on top besides.
	Requests float64
}

// rate returns the rate at which the fleet admits requests.
func (t Tolerance) rate(w *catalog.Workspace) float64 { return w.Rate * (1 + usedRatio*t.Ratio) }

// room returns the requests that fit into a window beside the rate.
func (t Tolerance) room(w *catalog.Workspace) float64 {
	window := t.Window.Seconds()
	return (1+t.Ratio)*(w.Rate*window+w.Burst) + t.Requests - t.rate(w)*window
}

// depth returns the requests that the fleet may admit at once: the burst at
// least, as far as the tolerance has room for it.
func (t Tolerance) depth(w *catalog.Workspace) float64 {
	room := t.room(w)
	return max(depthPart*room-t.underWay(w), min(w.Burst, room))
}

// firstFill returns the tokens that a new pool begins with: an earlier one may
// have spent all of the depth just before.
func (t Tolerance) firstFill(w *catalog.Workspace) float64 {
	return max(t.spare(w)/2, min(w.Burst, leastFill))
}

// spare returns the requests that fit into a window beside the rate and the depth.
func (t Tolerance) spare(w *catalog.Workspace) float64 {
	return max(min(t.room(w)-t.depth(w)-t.underWay(w), t.depth(w)), 0)
}

// underWay returns the requests that are on their way to instances at a moment.
func (t Tolerance) underWay(w *catalog.Workspace) float64 { return math.Floor(underWay * t.rate(w)) }

// credit returns the tokens that all nodes together may spend before they draw
// them. With the first fill of a new pool it takes no more than what the depth
// leaves.
func (t Tolerance) credit(w *catalog.Workspace) float64 { return t.spare(w) / 2 }
