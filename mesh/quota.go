package mesh

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/usage"
	"github.com/toucancove/toucancove/follow"
	"github.com/toucancove/toucancove/peer/meshpb"
)

const (
	// drawInterval is the time between periodic draws.
	drawInterval = 350 * time.Millisecond
	// minDrawInterval is the least time between periodic draws, also if many nodes
	// wake this one by draws that it redirects.
	minDrawInterval = 50 * time.Millisecond
	// drawTimeout bounds a draw on demand, for which a request waits. A collector
	// replies within a few milliseconds.
	drawTimeout = 60 * time.Millisecond
	// probeTimeout bounds the probe of an instance's node, which precedes the
	// periodic draw.
	probeTimeout = drawInterval / 2
	// maxAway caps the times since another collector replied and since a pool was
	// filled. Collectors make no distinction beyond a few seconds.
	maxAway = time.Minute
	// maxDrawsAwaited bounds the draws on demand that one request waits for: the
	// first may have been sent before the request arrived and not include it.
	maxDrawsAwaited = 3
	// maxDrawHops bounds the nodes that one draw is sent to: some redirect it, some
	// have ended.
	maxDrawHops = 4
)

// quota enforces the quotas of workspaces together with the other nodes. It is safe
// for concurrent use.
type quota struct {
	node    string
	state   func() *follow.State
	clients *controlClients
	// controlAddress returns the control address of the node beside an instance,
	// empty for this node.
	controlAddress func(catalog.Instance) string
	// quarantines exchanges marks with the nodes that this one draws from.
	quarantines *quarantines
	log         logr.Logger

	mu       sync.Mutex
	limiter  *usage.Limiter
	election *usage.Election
	// pendingDraws holds the draws on demand in flight by workspace.
	pendingDraws map[string]*pendingDraw
	// joined counts the requests that arrived while a draw of their workspace was
	// in flight. The next draw includes them.
	joined map[string]int
	// wake makes run draw at once: when the first list has been received, and when a
	// draw was redirected to an instance that may have failed.
	wake chan struct{}
	// drawn is set once the node has drawn for the first time, successfully or not. The
	// replies bring the marks that other nodes know.
	drawn atomic.Bool
}

// pendingDraw is a draw on demand in flight for one workspace. done is closed when it
// has ended.
type pendingDraw struct {
	done chan struct{}
}

func newQuota(node string, tolerance usage.Tolerance) *quota {
	return &quota{
		node: node, limiter: usage.NewLimiter(time.Now(), node, tolerance), election: usage.NewElection(tolerance),
		pendingDraws: make(map[string]*pendingDraw), joined: make(map[string]int), wake: make(chan struct{}, 1),
	}
}

// take counts a request of a workspace and reports whether it is admitted. It may
// wait for a reply of the collector. retryAfter is the Retry-After time of a
// refused request.
func (q *quota) take(workspace string) (ok bool, retryAfter time.Duration) {
	q.mu.Lock()
	verdict, retryAfter := q.limiter.Take(time.Now(), workspace)
	if verdict != usage.NeedsDraw {
		q.mu.Unlock()
		return verdict == usage.Admitted, retryAfter
	}
	defer q.mu.Unlock()
	for range maxDrawsAwaited {
		pending := q.joinDraw(workspace)
		q.mu.Unlock()
		<-pending.done
		q.mu.Lock()
		if q.limiter.Claim(workspace) {
			return true, 0
		}
		if retryAfter = q.limiter.RetryAfter(time.Now(), workspace); retryAfter > 0 {
			break
		}
	}
	if q.limiter.ClaimLocal(time.Now(), workspace) {
		return true, 0
	}
	return false, max(retryAfter, drawTimeout)
}

// joinDraw returns the draw on demand in flight for the workspace, or starts one. The
// caller holds mu.
func (q *quota) joinDraw(workspace string) *pendingDraw {
	if pending := q.pendingDraws[workspace]; pending != nil {
		q.joined[workspace]++
		return pending
	}
	pending := &pendingDraw{done: make(chan struct{})}
	q.pendingDraws[workspace] = pending
	draw := q.limiter.DrawFor(time.Now(), workspace, 1+q.joined[workspace])
	delete(q.joined, workspace)
	go func() {
		bounded, cancel := context.WithTimeout(context.Background(), drawTimeout)
		defer cancel()
		// An error is ignored: a slow reply to one draw does not mean that
		// the collector has failed.
		_ = q.draw(bounded, []usage.Draw{draw})
		q.mu.Lock()
		delete(q.pendingDraws, workspace)
		q.mu.Unlock()
		close(pending.done)
	}()
	return pending
}

// setTolerance replaces the tolerance of the quotas.
func (q *quota) setTolerance(t usage.Tolerance) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.SetTolerance(t)
	q.election.Pool().SetTolerance(t)
}

// returnToken returns the token of a request that did not run.
func (q *quota) returnToken(workspace string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.ReturnToken(workspace)
}

// status returns the state from which requests of a workspace are decided.
func (q *quota) status(now time.Time, workspace string) usage.Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.Status(now, workspace)
}

// stateChanged applies the published quotas and the list of instances.
func (q *quota) stateChanged(now time.Time, state *follow.State) {
	if state.Catalog == nil {
		return
	}
	nodes := max(len(state.Instances()), 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Configure(now, state.Catalog.Workspaces(), nodes)
	q.election.Pool().Configure(now, state.Catalog.Workspaces(), nodes)
	if state.Directory != nil {
		ids, own := q.candidates(state.Instances())
		if q.election.SetInstances(now, ids, own) {
			q.wakeUp()
		}
	}
}

// wakeUp makes run draw without waiting for the end of the interval.
func (q *quota) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default: // it is already due
	}
}

// candidates returns the instances whose nodes may become the collector, and the own
// instance if it is among them.
func (q *quota) candidates(instances []catalog.Instance) (ids []member.InstanceID, own member.InstanceID) {
	for _, instance := range instances {
		if instance.Draining {
			continue
		}
		ids = append(ids, instance.ID)
		if q.controlAddress(instance) == "" {
			own = instance.ID
		}
	}
	return ids, own
}

// run draws tokens periodically until ctx ends. An empty draw reports to the
// collector that this node is up.
func (q *quota) run(ctx context.Context) {
	ticker := time.NewTicker(drawInterval)
	defer ticker.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
			if time.Since(last) < minDrawInterval {
				continue
			}
			ticker.Reset(drawInterval)
		case <-ticker.C:
		}
		last = time.Now()
		q.drawForAll(ctx)
		if !q.drawn.Load() && q.state().Directory != nil {
			q.askForMarks(ctx)
			q.drawn.Store(true)
		}
	}
}

// drawForAll adjusts the lots of all workspaces to their demand.
func (q *quota) drawForAll(ctx context.Context) {
	now := time.Now()
	q.probe(ctx, now)
	q.mu.Lock()
	draws := q.limiter.Draws(now)
	q.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var failed *drawError
	if errors.As(q.draw(bounded, draws), &failed) {
		q.drawFailed(failed)
	}
}

// drawError is the error of a draw that an instance's node did not answer.
type drawError struct {
	collector member.InstanceID
	err       error
}

// Error implements error.
func (e *drawError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *drawError) Unwrap() error { return e.err }

// notSent reports whether the process has ended, so that the draw was not received.
func (e *drawError) notSent() bool { return errors.Is(e.err, syscall.ECONNREFUSED) }

// probe sends an empty draw to the instance that the election wants to be probed.
func (q *quota) probe(ctx context.Context, now time.Time) {
	q.mu.Lock()
	id, ok := q.election.Probe(now)
	q.mu.Unlock()
	if !ok {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var failed *drawError
	if _, err := q.drawFrom(bounded, id, nil); errors.As(err, &failed) {
		q.drawFailed(failed)
	}
}

// draw sends draws to the collector and adds the grants. It follows redirects, and
// sends draws that a process which has ended did not receive to the next candidate. It
// returns a *drawError if a node does not answer.
func (q *quota) draw(ctx context.Context, draws []usage.Draw) error {
	var last member.InstanceID
	for range maxDrawHops {
		q.mu.Lock()
		collector, ok := q.election.Collector(time.Now())
		q.mu.Unlock()
		if !ok || collector == last {
			return nil // no list has been received, or no other candidate is known
		}
		last = collector
		granted, err := q.drawFrom(ctx, collector, draws)
		var failed *drawError
		if granted || (errors.As(err, &failed) && !failed.notSent()) {
			return err
		}
		if failed != nil {
			q.drawFailed(failed)
		}
	}
	return nil
}

// drawFrom sends draws to the node of one instance and adds the grants. It reports
// whether the node is the collector. Its errors are *drawError.
func (q *quota) drawFrom(ctx context.Context, id member.InstanceID, draws []usage.Draw) (granted bool, err error) {
	directory := q.state().Directory
	if directory == nil {
		return false, nil
	}
	instance, ok := directory.Instance(id)
	if !ok {
		return false, nil // it was just removed from the list
	}
	message := q.drawRequest(id, draws)
	reply := &meshpb.DrawReply{}
	if address := q.controlAddress(instance); address == "" {
		reply = q.handleDraw(message)
	} else {
		message.Marks = q.quarantines.exchangeRequest(id)
		if reply, err = q.clients.client(address).DrawTokens(ctx, message); err != nil {
			return false, &drawError{collector: id, err: err}
		}
		q.quarantines.applyReply(id, reply.Marks)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.election.MarkResponsive(id)
	if reply.Collector != "" {
		q.election.RecordRedirect(time.Now(), id, member.InstanceID(reply.Collector))
		q.limiter.AddHandedOver(grantsFrom(reply.Grants))
		return false, nil
	}
	now := time.Now()
	if q.election.RecordGrants(now, id, reply.Filled) {
		q.log.Info("collector of quota changed", "collector", id)
	}
	q.limiter.AddGrants(now, draws, grantsFrom(reply.Grants))
	return true, nil
}

// drawRequest returns the message that draws from an instance's node.
func (q *quota) drawRequest(id member.InstanceID, draws []usage.Draw) *meshpb.DrawRequest {
	q.mu.Lock()
	caller := q.election.Caller(time.Now(), q.node, id, q.limiter.Depleted())
	q.mu.Unlock()
	return &meshpb.DrawRequest{
		Node: caller.Node, Draws: drawMessages(draws),
		AwayMs:   uint32(min(caller.SinceOther, maxAway).Milliseconds()),
		FilledMs: uint32(min(caller.SinceFill, maxAway).Milliseconds()),
		Switched: caller.Switched,
		Depleted: caller.Depleted,
	}
}

func (q *quota) drawFailed(failed *drawError) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.election.MarkUnresponsive(time.Now(), failed.collector, failed.notSent()) {
		q.log.Info("collector of quota lost", "collector", failed.collector, "reason", failed.Error())
	}
}

// handleDraw serves the draws of a node if this node is the collector, and
// otherwise returns the collector.
func (q *quota) handleDraw(in *meshpb.DrawRequest) *meshpb.DrawReply {
	q.mu.Lock()
	defer q.mu.Unlock()
	answer := q.election.Answer(time.Now(), callerFrom(in), drawsFrom(in.Draws))
	if answer.Collector != "" {
		q.wakeUp()
	}
	return &meshpb.DrawReply{Grants: grantMessages(answer.Grants), Collector: string(answer.Collector), Filled: answer.Filled}
}
