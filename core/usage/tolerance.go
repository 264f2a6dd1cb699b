package usage

import (
	"math"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

const (
	// rateRatio is the fraction of the tolerated ratio by which the rate is
	// raised. At the exact rate, requests within the quota would be refused while
	// tokens are held by other nodes.
	rateRatio = 0.6
	// depthFraction is the fraction of a window's total, less the tokens of the
	// raised rate, that may be admitted at once. The rest covers a change of
	// the collector.
	depthFraction = 0.6
	// transit is the time in seconds for which admitted requests may be in
	// flight. If all processes end together, no new pool accounts for these
	// requests, which still arrive at instances while the new pool starts. The
	// transit through the fleet and the wait of a root request at a guard (100
	// ms at most) take about this long.
	transit = 0.1
	// minInitialFill is the least number of requests that a new pool can admit
	// at once, also if nothing above the quota is tolerated. Without it, the
	// first request of a workspace with a low rate would wait for a long time.
	minInitialFill = 2
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

// rate returns the rate at which the fleet admits requests, in requests per
// second.
func (t Tolerance) rate(w *catalog.Workspace) float64 { return w.Rate * (1 + rateRatio*t.Ratio) }

// headroom returns the number of requests that may be admitted in a window in
// addition to those at the rate.
func (t Tolerance) headroom(w *catalog.Workspace) float64 {
	window := t.Window.Seconds()
	return (1+t.Ratio)*(w.Rate*window+w.Burst) + t.Requests - t.rate(w)*window
}

// depth returns the number of requests that the fleet may admit at once: at least
// the burst, as far as the tolerance allows it.
func (t Tolerance) depth(w *catalog.Workspace) float64 {
	headroom := t.headroom(w)
	return max(depthFraction*headroom-t.inFlight(w), min(w.Burst, headroom))
}

// initialFill returns the number of tokens that a new pool starts with. It does
// not start full, since an earlier pool may have spent all of the depth just
// before.
func (t Tolerance) initialFill(w *catalog.Workspace) float64 {
	return max(t.reserve(w)/2, min(w.Burst, minInitialFill))
}

// reserve returns the number of requests that may be admitted in a window in
// addition to those at the rate and the depth.
func (t Tolerance) reserve(w *catalog.Workspace) float64 {
	return max(min(t.headroom(w)-t.depth(w)-t.inFlight(w), t.depth(w)), 0)
}

// inFlight returns the number of admitted requests that are in flight to instances
// at the same time.
func (t Tolerance) inFlight(w *catalog.Workspace) float64 { return math.Floor(transit * t.rate(w)) }

// credit returns the number of tokens that all nodes together may spend before
// they draw them: half of reserve. The initial fill of a new pool uses the
// other half.
func (t Tolerance) credit(w *catalog.Workspace) float64 { return t.reserve(w) / 2 }
