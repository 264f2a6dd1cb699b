package mesh

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/quarantine"
	"github.com/toucancove/toucancove/follow"
	"github.com/toucancove/toucancove/telemetry"
)

// quarantineRetryAfter is the Retry-After time of a request in quarantine. It would be
// refused again for minutes.
const quarantineRetryAfter = time.Minute

// errQuarantined is the cancellation cause of runs whose request has been put in
// quarantine.
var errQuarantined = errors.New("request was put in quarantine")

// quarantines keeps requests that crash instances from running again, together with
// the other nodes. It is safe for concurrent use.
type quarantines struct {
	log     logr.Logger
	metrics *telemetry.Metrics
	// report tells other nodes of new marks at once.
	report func([]quarantine.Mark)

	mu       sync.Mutex
	table    *quarantine.Table
	gate     *quarantine.Gate
	exchange *quarantine.Exchange
	// cancels holds the functions that end the runs on the own instance.
	cancels map[*quarantine.Run]context.CancelCauseFunc
}

func newQuarantines(log logr.Logger, m *telemetry.Metrics) *quarantines {
	table := quarantine.NewTable(rand.Uint64() | 1)
	return &quarantines{
		log: log, metrics: m, report: func([]quarantine.Mark) {},
		table: table, gate: quarantine.NewGate(table), exchange: quarantine.NewExchange(table),
		cancels: make(map[*quarantine.Run]context.CancelCauseFunc),
	}
}

// identify returns what identifies a request. Its body must stay valid until the request
// has ended.
func identify(header *fasthttp.RequestHeader, names Headers, b *body) *quarantine.Request {
	return quarantine.NewRequest(
		header.Method(), header.Host(), header.RequestURI(), header.Peek(names.Workspace), b.buffered, b.stream != nil, b.length)
}

// stateChanged applies the list of instances.
func (q *quarantines) stateChanged(state *follow.State, own quarantine.Crash, service string) {
	var peers []member.InstanceID
	for _, instance := range state.Instances() {
		if instance.Service == service && !instance.Draining {
			peers = append(peers, instance.ID)
		}
	}
	q.mu.Lock()
	q.gate.SetPeers(peers)
	q.exchange.Retain(func(id member.InstanceID) bool {
		_, listed := state.Directory.Instance(id)
		return listed
	})
	crash, marked := q.gate.Started(time.Now(), own)
	q.mu.Unlock()
	q.reportCrash("another start listed", crash, marked)
}

// check decides whether a request may run on the own instance. It returns the reason of
// a refusal, empty if it may.
func (q *quarantines) check(r *quarantine.Request) reason {
	q.mu.Lock()
	verdict, change := q.gate.Check(time.Now(), r)
	q.mu.Unlock()
	q.changed(change)
	return refusalReason(verdict)
}

// begin decides like check and, unless it refuses, records the start of a run on the own
// instance, which ends with the context that it returns.
func (q *quarantines) begin(ctx context.Context, r *quarantine.Request) (*quarantine.Run, context.Context, reason) {
	q.mu.Lock()
	run, verdict, change := q.gate.Begin(time.Now(), r)
	if run != nil {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		q.cancels[run] = cancel
	}
	q.mu.Unlock()
	q.changed(change)
	return run, ctx, refusalReason(verdict)
}

func refusalReason(v quarantine.Verdict) reason {
	switch v {
	case quarantine.Pass:
		return ""
	case quarantine.Refuse:
		return reasonQuarantined
	default:
		return reasonSuspect
	}
}

// end forgets the cancellation of a run. The caller holds mu.
func (q *quarantines) end(run *quarantine.Run) {
	if cancel := q.cancels[run]; cancel != nil {
		cancel(nil)
		delete(q.cancels, run)
	}
}

// served records a response of the own instance.
func (q *quarantines) served(run *quarantine.Run) {
	q.mu.Lock()
	q.end(run)
	change := q.gate.Served(time.Now(), run)
	q.mu.Unlock()
	q.changed(change)
}

// abandoned records that a run ended without evidence about the own instance.
func (q *quarantines) abandoned(run *quarantine.Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.end(run)
	q.gate.Abandoned(run)
}

// left records that a run was given up, and that it may go on at the own instance.
func (q *quarantines) left(run *quarantine.Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.end(run)
	q.gate.Left(time.Now(), run)
}

// lost records that the response to a run was lost. It reports whether the own instance
// is known to have crashed.
func (q *quarantines) lost(run *quarantine.Run) (crashed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.end(run)
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

// reportCrash logs a crash of the own instance, if there was one, and tells the other
// nodes of the requests that it marked.
func (q *quarantines) reportCrash(seen string, crash quarantine.Crash, marked []quarantine.Change) {
	if crash == (quarantine.Crash{}) {
		return
	}
	q.metrics.Counter("quarantine.crashes").Inc(1)
	suspectsBefore := 0
	marks := make([]quarantine.Mark, len(marked))
	for i, change := range marked {
		marks[i] = quarantine.Mark{Digest: change.Digest, Crash: crash}
		if change.Before > 0 {
			suspectsBefore++
		}
	}
	q.log.Info("instance crashed", "upstream", crash.Instance, "boot", crash.Boot, "seen", seen,
		"suspects", len(marked), "suspectsBefore", suspectsBefore)
	if len(marked) == 0 {
		return
	}
	q.changed(marked...)
	q.report(marks)
}

// merge adds marks that another node sent.
func (q *quarantines) merge(marks []quarantine.Mark, source string) {
	if len(marks) == 0 {
		return
	}
	q.mu.Lock()
	changes := q.table.Merge(time.Now(), marks, source)
	q.mu.Unlock()
	q.changed(changes...)
}

// changed logs the requests that enter or leave quarantine, and ends their runs.
func (q *quarantines) changed(changes ...quarantine.Change) {
	quarantined := false
	for _, change := range changes {
		switch {
		case change.Entered:
			quarantined = true
			q.metrics.Counter("quarantine.requests").Inc(1)
			q.logMarks("request quarantined", change)
		case change.Left:
			q.logMarks("request released from quarantine", change)
		}
	}
	if !quarantined {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, run := range q.gate.Stop(time.Now()) {
		if cancel := q.cancels[run]; cancel != nil {
			cancel(errQuarantined)
		}
	}
}

// logMarks logs a request with all its marks.
func (q *quarantines) logMarks(message string, change quarantine.Change) {
	q.mu.Lock()
	marks := q.table.Marks(time.Now(), change.Digest)
	q.mu.Unlock()
	texts := make([]string, len(marks))
	for i, m := range marks {
		texts[i] = fmt.Sprintf("%s/%d %v ago by %s cleared=%t", m.Crash.Instance, m.Crash.Boot, m.Age.Round(time.Millisecond), m.Source, m.Cleared)
	}
	q.log.Info(message, "digest", change.Digest.String(), "crashes", change.After, "marks", strings.Join(texts, "; "))
}

// marksOf returns the marks of a request, and nil at no cost while there are none of any
// request.
func (q *quarantines) marksOf(identity func() *quarantine.Request) []quarantine.Mark {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table.Len() == 0 {
		return nil
	}
	return q.table.Marks(time.Now(), identity().Digest())
}

// isQuarantined reports whether a request is in quarantine.
func (q *quarantines) isQuarantined(identity func() *quarantine.Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Len() > 0 && q.table.IsQuarantined(identity().Digest())
}

// lift takes a request out of quarantine, on this node at once and on the others within
// two draws. It returns the number of crashes that counted against the request.
func (q *quarantines) lift(d quarantine.Digest) (crashes int) {
	q.mu.Lock()
	change := q.table.Clear(d, quarantine.SourceOperator)
	q.mu.Unlock()
	q.changed(change)
	return change.Before
}

// expire forgets requests that have not been seen for long.
func (q *quarantines) expire(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Expire(now)
}
