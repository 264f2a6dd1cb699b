package node

import (
	"context"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/quota"
	"github.com/toucancove/toucancove/peer/peerpb"
	"github.com/toucancove/toucancove/proxy"
	"github.com/toucancove/toucancove/settings"
)

const (
	// quotaCallTimeout bounds one exchange with a peer.
	quotaCallTimeout = time.Second
	// maxQuotaCalls bounds the exchanges in flight to one peer. Messages that are
	// queued meanwhile are batched in the next one.
	maxQuotaCalls = 2
	// quotaQueueSize is the capacity of the quota goroutine's channel in commands.
	quotaQueueSize = 256
	// minQuotaTimerDelay is the shortest delay of the timer for the core's Tick.
	minQuotaTimerDelay = 200 * time.Microsecond
	// unknownLimitRetryAfter is the Retry-After time of a refusal for a workspace
	// whose limit is not known yet.
	unknownLimitRetryAfter = time.Second
)

// quotaControl owns the quota state of the node. Only the goroutine of its run
// method accesses the state; the others send it commands. Its exported methods
// are safe for concurrent use.
type quotaControl struct {
	self     member.InstanceID
	core     *quota.Node
	dial     quotaDialer
	log      logr.Logger
	commands chan func(now time.Time)
	stopped  chan struct{}
	settled  atomic.Bool
	calls    sync.WaitGroup
	// probeInterval is the time between probes of peers. It is a quarter of
	// IsolateAfter, after which a node without contact stops minting.
	probeInterval time.Duration

	// The fields below are used by the goroutine of run only.
	ctx          context.Context
	view         *config.View
	listRevision uint64
	peers        []config.Instance
	// removed holds the instances that the last list no longer contains. They can
	// still hand over tokens.
	removed     []config.Instance
	outboxes    map[member.InstanceID]*quotaOutbox
	limits      map[quota.Workspace]quota.Limit
	waiting     map[quota.RequestID]chan<- quotaOutcome
	nextRequest quota.RequestID
	contact     contactTracker
	effects     quota.Effects
}

// quotaDialer returns the client for an instance.
type quotaDialer func(config.Instance) peerpb.Quota

// quotaOutcome is the result of a request for a token.
type quotaOutcome struct {
	granted      bool
	unknownLimit bool
	retryAfter   time.Duration
}

// quotaOutbox holds the messages that are queued for a peer.
type quotaOutbox struct {
	messages []*peerpb.QuotaMessage
	calls    int // exchanges in flight
}

func newQuotaControl(s settings.Settings, boot member.BootID, dial quotaDialer, log logr.Logger) (*quotaControl, error) {
	timing := quota.DefaultTiming()
	timing.ListLag, timing.IsolateAfter = s.Quota.ListLag, s.Quota.IsolateAfter
	timing.HoldOff = timing.Horizon + timing.ListLag + timing.IsolateAfter
	core, err := quota.NewNode(s.Instance, boot, timing, time.Now())
	if err != nil {
		return nil, err
	}
	return &quotaControl{
		self:          s.Instance,
		core:          core,
		dial:          dial,
		log:           log,
		commands:      make(chan func(time.Time), quotaQueueSize),
		stopped:       make(chan struct{}),
		probeInterval: s.Quota.IsolateAfter / 4,
		view:          config.NewView(),
		outboxes:      make(map[member.InstanceID]*quotaOutbox),
		limits:        make(map[quota.Workspace]quota.Limit),
		waiting:       make(map[quota.RequestID]chan<- quotaOutcome),
	}, nil
}

// run executes commands and the core's timers until ctx ends.
func (q *quotaControl) run(ctx context.Context) {
	q.ctx = ctx
	defer q.calls.Wait()
	defer close(q.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	probe := time.NewTicker(q.probeInterval)
	defer probe.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-q.commands:
			command(time.Now())
		case <-timer.C:
			q.core.Tick(time.Now(), &q.effects)
		case <-probe.C:
			q.probe(time.Now())
		}
		q.flush()
		if wake, ok := q.core.NextWake(time.Now()); ok {
			timer.Reset(max(time.Until(wake), minQuotaTimerDelay))
		}
	}
}

// submit queues a command for the goroutine of run, unless that has stopped.
func (q *quotaControl) submit(command func(now time.Time)) {
	select {
	case q.commands <- command:
	case <-q.stopped:
	}
}

// ready reports whether tokens can have been minted: HoldOff has passed on this
// node, or on a peer with the same list.
func (q *quotaControl) ready() bool { return q.settled.Load() }

// Take implements proxy.Quota.
func (q *quotaControl) Take(ctx context.Context, workspace string) error {
	reply := make(chan quotaOutcome, 1)
	q.submit(func(now time.Time) { q.request(now, quota.Workspace(workspace), reply) })
	select {
	case outcome := <-reply:
		return outcome.refusal()
	case <-ctx.Done():
		return eris.Wrap(context.Cause(ctx), "wait for a quota token")
	case <-q.stopped:
		return quotaOutcome{unknownLimit: true}.refusal()
	}
}

// refusal returns the outcome as a refusal, or nil if a token was granted.
func (o quotaOutcome) refusal() error {
	switch {
	case o.granted:
		return nil
	case o.unknownLimit:
		return &proxy.Refusal{
			Status: http.StatusServiceUnavailable, Reason: proxy.ReasonNotReady, Run: proxy.RunNo,
			RetryAfter: unknownLimitRetryAfter, Detail: "the node does not know the limit of the workspace yet",
		}
	default:
		return &proxy.Refusal{
			Status: http.StatusTooManyRequests, Reason: proxy.ReasonQuota, Run: proxy.RunNo,
			RetryAfter: max(o.retryAfter, time.Millisecond), Detail: "the workspace is over its rate and burst",
		}
	}
}

func (q *quotaControl) request(now time.Time, ws quota.Workspace, reply chan<- quotaOutcome) {
	if !q.ensureLimit(ws) {
		reply <- quotaOutcome{unknownLimit: true}
		return
	}
	q.nextRequest++
	decision, err := q.core.Ask(now, ws, q.nextRequest, quota.DefaultTiming().AnswerWait, &q.effects)
	switch {
	case err != nil:
		reply <- quotaOutcome{unknownLimit: true}
	case decision.Verdict == quota.Granted:
		reply <- quotaOutcome{granted: true}
	case decision.Verdict == quota.Refused:
		reply <- quotaOutcome{retryAfter: decision.RetryAfter}
	default:
		q.waiting[q.nextRequest] = reply
	}
}

// ensureLimit sets the published limit of a workspace unless one is set. It
// returns false if there is none or it is not valid.
func (q *quotaControl) ensureLimit(ws quota.Workspace) bool {
	if _, ok := q.limits[ws]; ok {
		return true
	}
	return q.setLimit(ws)
}

func (q *quotaControl) setLimit(ws quota.Workspace) bool {
	published, ok := q.view.Workspace(string(ws))
	if !ok {
		return false
	}
	limit := quotaLimit(published)
	if q.limits[ws] == limit {
		return true
	}
	if err := q.core.SetLimit(ws, limit); err != nil {
		q.log.Info("quota limit rejected", "workspace", ws, "error", err.Error())
		return false
	}
	q.limits[ws] = limit
	return true
}

// quotaLimit converts a published limit. It rounds down, so that the limit is
// not exceeded.
func quotaLimit(w config.Workspace) quota.Limit {
	return quota.Limit{
		Rate:  quota.Rate(math.Floor(w.Rate * float64(quota.PerSecond))),
		Burst: int64(math.Floor(w.Burst)),
	}
}

// configure applies the limits and the list of instances of a view.
func (q *quotaControl) configure(view *config.View) {
	q.submit(func(now time.Time) {
		q.view = view
		for ws := range q.limits {
			if _, ok := view.Workspace(string(ws)); !ok {
				q.core.RemoveLimit(ws, &q.effects)
				delete(q.limits, ws)
				continue
			}
			q.setLimit(ws)
		}
		q.setList(now)
	})
}

// setList passes the list of instances to the core once the lists of all
// services are known.
func (q *quotaControl) setList(now time.Time) {
	fleet := q.view.Fleet()
	if fleet == nil {
		return
	}
	var sum uint64
	for _, service := range fleet.Services {
		revision := q.view.Revision(config.InstancesName(service))
		if revision == 0 {
			return
		}
		sum += uint64(revision)
	}
	q.listRevision = sum
	q.removed = removedInstances(q.peers, q.view.AllInstances())
	q.peers = q.view.AllInstances()
	ids := make([]member.InstanceID, len(q.peers))
	for i, instance := range q.peers {
		ids[i] = instance.ID
	}
	q.core.SetList(now, quota.List{Members: ids}, &q.effects)
	q.contact.updatePeers(q.self, ids)
}

// leave announces a planned stop to the peers.
func (q *quotaControl) leave() {
	q.submit(func(now time.Time) { q.core.Leave(now, &q.effects) })
}

// probe sends an exchange to the next peer of the sample. A node without peers
// counts as in contact.
func (q *quotaControl) probe(now time.Time) {
	if q.core.Settled(now) {
		q.settled.Store(true)
	}
	id, ok := q.contact.nextPeer()
	if !ok {
		q.core.Contact(now, now)
		return
	}
	if instance, ok := q.instance(id); ok {
		q.call(instance, &quotaOutbox{}, true)
	}
}

// flush completes the requests that are decided and sends the queued messages.
func (q *quotaControl) flush() {
	for _, id := range q.effects.Granted {
		q.finish(id, quotaOutcome{granted: true})
	}
	for _, r := range q.effects.Refusals {
		q.finish(r.Request, quotaOutcome{retryAfter: r.RetryAfter})
	}
	for _, s := range q.effects.Sends {
		box := q.outboxes[s.To]
		if box == nil {
			box = &quotaOutbox{}
			q.outboxes[s.To] = box
		}
		box.messages = append(box.messages, toQuotaMessage(s.Message))
	}
	q.effects.Reset()
	for id, box := range q.outboxes {
		if len(box.messages) == 0 || box.calls >= maxQuotaCalls {
			continue
		}
		if instance, ok := q.instance(id); ok {
			q.call(instance, box, false)
		} else {
			delete(q.outboxes, id)
		}
	}
}

func (q *quotaControl) finish(id quota.RequestID, outcome quotaOutcome) {
	if reply, ok := q.waiting[id]; ok {
		reply <- outcome
		delete(q.waiting, id)
	}
}

func (q *quotaControl) instance(id member.InstanceID) (config.Instance, bool) {
	for _, list := range [][]config.Instance{q.peers, q.removed} {
		for _, instance := range list {
			if instance.ID == id {
				return instance, true
			}
		}
	}
	return config.Instance{}, false
}

// removedInstances returns the instances of the old list that the new one does
// not contain.
func removedInstances(old, listed []config.Instance) []config.Instance {
	return slices.DeleteFunc(slices.Clone(old), func(o config.Instance) bool {
		return slices.ContainsFunc(listed, func(l config.Instance) bool { return l.ID == o.ID })
	})
}
