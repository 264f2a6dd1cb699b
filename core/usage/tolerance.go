package usage

import (
	"time"

	"github.com/toucancove/toucancove/core/catalog"
)

const (
	// usedRatio is the part of the tolerated ratio by which the rate is raised:
	// a request is refused wrongly when tokens lie elsewhere for a moment.
	usedRatio = 0.8
	// usedTotal is the part of what may be admitted in a window that rate and
	// depth use together. The rest covers a change of the collector.
	usedTotal = 0.92
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

// depth returns the requests that the fleet may admit at once: the burst, and
// what the rate leaves of the tolerance.
func (t Tolerance) depth(w *catalog.Workspace) float64 {
	window := t.Window.Seconds()
	most := (1+t.Ratio)*(w.Rate*window+w.Burst) + t.Requests
	return max(usedTotal*most-t.rate(w)*window, min(w.Burst, most-t.rate(w)*window))
}
