package telemetry

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

const (
	// reservoirSize is the number of samples a histogram keeps.
	reservoirSize = 1028
	// reservoirAlpha is the decay factor of the samples; a higher value favors
	// recent ones.
	reservoirAlpha = 0.015
	// maxSeries bounds the number of series of each kind, class or workspace, and
	// so the memory of the registry. Further names share otherSeries.
	maxSeries = 256
	// otherSeries is the name of the series for names beyond maxSeries.
	otherSeries = "other"
)

// Metrics holds counters and histograms by class and workspace. It is safe for
// concurrent use.
type Metrics struct {
	registry metrics.Registry

	mu     sync.RWMutex
	series map[string]*Series
	kinds  map[string]int
}

// Series holds the metrics of one class or workspace.
type Series struct {
	prefix   string
	registry metrics.Registry
	// Latency is the time from the arrival of a request to the end of its
	// response, in microseconds.
	Latency metrics.Histogram
	// QueueDelay is the time spent waiting for admission, in microseconds.
	QueueDelay metrics.Histogram
	// Size is the size of responses in bytes.
	Size metrics.Histogram
	// Completed counts responses that were sent completely.
	Completed metrics.Counter
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics {
	return &Metrics{
		registry: metrics.NewRegistry(),
		series:   make(map[string]*Series),
		kinds:    make(map[string]int),
	}
}

// Counter returns the counter with a name, and registers it if needed.
func (m *Metrics) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.registry)
}

// Registry returns the registry that holds all metrics.
func (m *Metrics) Registry() metrics.Registry { return m.registry }

// Class returns the series of a class.
func (m *Metrics) Class(name string) *Series { return m.get("class", name) }

// Workspace returns the series of a workspace.
func (m *Metrics) Workspace(name string) *Series { return m.get("workspace", name) }

func (m *Metrics) get(kind, name string) *Series {
	key := kind + "." + name
	m.mu.RLock()
	series := m.series[key]
	m.mu.RUnlock()
	if series != nil {
		return series
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addLocked(kind, name)
}

func (m *Metrics) addLocked(kind, name string) *Series {
	key := kind + "." + name
	if series := m.series[key]; series != nil {
		return series
	}
	if m.kinds[kind] >= maxSeries && name != otherSeries {
		return m.addLocked(kind, otherSeries)
	}
	series := newSeries(m.registry, key)
	m.series[key] = series
	m.kinds[kind]++
	return series
}

func newSeries(registry metrics.Registry, prefix string) *Series {
	histogram := func(name string) metrics.Histogram {
		sample := metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)
		return metrics.GetOrRegisterHistogram(prefix+"."+name, registry, sample)
	}
	return &Series{
		prefix:     prefix,
		registry:   registry,
		Latency:    histogram("latency_us"),
		QueueDelay: histogram("queue_delay_us"),
		Size:       histogram("size_bytes"),
		Completed:  metrics.GetOrRegisterCounter(prefix+".completed", registry),
	}
}

// Refused counts a refusal by its machine-readable reason.
func (s *Series) Refused(reason string) {
	metrics.GetOrRegisterCounter(s.prefix+".refused."+reason, s.registry).Inc(1)
}

// ObserveLatency records the latency of a whole request.
func (s *Series) ObserveLatency(d time.Duration) { s.Latency.Update(d.Microseconds()) }

// ObserveQueueDelay records the time a request waited for admission.
func (s *Series) ObserveQueueDelay(d time.Duration) { s.QueueDelay.Update(d.Microseconds()) }
