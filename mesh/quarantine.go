package mesh

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/quarantine"
	"github.com/toucancove/toucancove/telemetry"
)

// quarantines finds the requests that crash the own instance. It is safe for concurrent
// use.
type quarantines struct {
	log     logr.Logger
	metrics *telemetry.Metrics

	mu    sync.Mutex
	table *quarantine.Table
	gate  *quarantine.Gate
}

func newQuarantines(log logr.Logger, m *telemetry.Metrics) *quarantines {
	table := quarantine.NewTable(rand.Uint64() | 1)
	return &quarantines{log: log, metrics: m, table: table, gate: quarantine.NewGate(table)}
}

// identify returns what identifies a request. Its body must stay valid until the request
// has ended.
func identify(header *fasthttp.RequestHeader, names Headers, b *body) *quarantine.Request {
	return quarantine.NewRequest(
		header.Method(), header.Host(), header.RequestURI(), header.Peek(names.Workspace), b.buffered, b.stream != nil, b.length)
}

// begin records the start of a run on the own instance.
func (q *quarantines) begin(r *quarantine.Request) *quarantine.Run {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.gate.Begin(time.Now(), r)
}

// served records a response of the own instance.
func (q *quarantines) served(run *quarantine.Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gate.Served(time.Now(), run)
}

// abandoned records that a run ended without evidence about the own instance.
func (q *quarantines) abandoned(run *quarantine.Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gate.Abandoned(run)
}

// lost records that the response to a run was lost. It reports whether the own instance
// is known to have crashed.
func (q *quarantines) lost(run *quarantine.Run) (crashed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.gate.Lost(time.Now(), run)
}

// hasCrashed reports whether the own instance is known to have crashed.
func (q *quarantines) hasCrashed() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.gate.HasEnded()
}

// crashed records that the own instance refuses connections, as after a crash.
func (q *quarantines) crashed() {
	q.mu.Lock()
	crash, marked := q.gate.Ended(time.Now())
	q.mu.Unlock()
	q.reportCrash("connection refused", crash, marked)
}

// started records the listed start of the own instance.
func (q *quarantines) started(instance quarantine.Crash) {
	q.mu.Lock()
	crash, marked := q.gate.Started(time.Now(), instance)
	q.mu.Unlock()
	q.reportCrash("another start listed", crash, marked)
}

// reportCrash logs a crash of the own instance, if requests ran there.
func (q *quarantines) reportCrash(seen string, crash quarantine.Crash, marked []quarantine.Change) {
	if len(marked) == 0 {
		return
	}
	q.metrics.Counter("quarantine.crashes").Inc(1)
	known := 0
	for _, change := range marked {
		if change.Before > 0 {
			known++
		}
	}
	q.log.Info("instance crashed", "upstream", crash.Instance, "boot", crash.Boot, "seen", seen,
		"suspects", len(marked), "suspectsBefore", known, "first", marked[0].Digest.String())
}
