package usage

import (
	"math"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

const (
	// usedRatio is the fraction of the tolerated ratio by which the rate is
	// raised. At the exact rate, requests within the quota would be refused while
	// tokens are held by other nodes.
	usedRatio = 0.6
	// depthPart is the fraction of a window's total, less the tokens of the raised
	// rate, that may be admitted at once. The rest covers a change of the
	// collector.
	depthPart = 0.6
	// underWay is the time in seconds for which admitted requests may be in
	// flight. If all processes end together, no new pool accounts for these
	// requests, which still arrive at instances while the new pool starts. The
	// transit through the fleet and the wait of a root request at a guard (100 ms at
	// most) take about this long.
	underWay = 0.1
	// leastFill is the least number of requests that a new pool can admit at once,
	// also if nothing above the quota is tolerated. Without it, the first request
	// of a workspace with a low rate would wait for a long time.
	leastFill = 2
)

// Tolerance bounds what may be admitted above the exact quota in any window.
type Tolerance struct {
	// Window is the length of the sliding windows.
	Window time.Duration
	// Ratio is the fraction of rate x window + burst that may be admitted in
	// addition to it.
	Ratio float64
	// Requests is a number of requests that may be admitted in addition to both.
	Requests float64
}

// rate returns the rate at which the fleet admits requests, in requests per second.
func (t Tolerance) rate(w *catalog.Workspace) float64 { return w.Rate * (1 + usedRatio*t.Ratio) }

// room returns the number of requests that may be admitted in a window in addition
// to those at the rate.
func (t Tolerance) room(w *catalog.Workspace) float64 {
	window := t.Window.Seconds()
	return (1+t.Ratio)*(w.Rate*window+w.Burst) + t.Requests - t.rate(w)*window
}

// depth returns the number of requests that the fleet may admit at once: at least
// the burst, as far as the tolerance allows it.
func (t Tolerance) depth(w *catalog.Workspace) float64 {
	room := t.room(w)
	return max(depthPart*room-t.underWay(w), min(w.Burst, room))
}

// firstFill returns the number of tokens that a new pool starts with. It does not
// start full, since an earlier pool may have spent all of the depth just before.
func (t Tolerance) firstFill(w *catalog.Workspace) float64 {
	return max(t.spare(w)/2, min(w.Burst, leastFill))
}

// spare returns the number of requests that may be admitted in a window in
// addition to those at the rate and the depth.
func (t Tolerance) spare(w *catalog.Workspace) float64 {
	return max(min(t.room(w)-t.depth(w)-t.underWay(w), t.depth(w)), 0)
}

// underWay returns the number of requests that are in flight to instances at a
// time.
func (t Tolerance) underWay(w *catalog.Workspace) float64 { return math.Floor(underWay * t.rate(w)) }

// credit returns the number of tokens that all nodes together may spend before
// they draw them: half of spare. The first fill of a new pool uses the other half.
func (t Tolerance) credit(w *catalog.Workspace) float64 { return t.spare(w) / 2 }
