package mesh

import (
	"context"
	"errors"
	"sync"
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
	// drawInterval is the time between draws of lots.
	drawInterval = 350 * time.Millisecond
	// askTimeout bounds the wait of a request for a token. A collector answers
	// within a few milliseconds.
	askTimeout = 60 * time.Millisecond
	// probeTimeout bounds the question whether an instance's node is there. It
	// comes before a draw in the same turn.
	probeTimeout = drawInterval / 2
	// maxAway bounds what is told of how long a node was away; collectors tell
	// nothing apart beyond a few seconds.
	maxAway = time.Minute
	// maxAsks bounds the questions that one request waits for: it may join one
	// that was sent before it came.
	maxAsks = 3
)

// quota holds workspaces to their quota together with the other nodes. It is
// safe for concurrent use.
type quota struct {
	node    string
	state   func() *follow.State
	clients *controlClients
	// controlAddress returns that of the node beside an instance, empty for
	// the own one.
	controlAddress func(catalog.Instance) string
	log            logr.Logger

	mu       sync.Mutex
	limiter  *usage.Limiter
	election *usage.Election
	asks     map[string]*ask
	// joined counts the requests that came after a question of their
	// workspace was sent; the next one asks for them too.
	joined map[string]int
}

// ask is a question for tokens of one workspace that is under way.
type ask struct {
	done chan struct{}
}

func newQuota(node string, tolerance usage.Tolerance) *quota {
	return &quota{
		node: node, limiter: usage.NewLimiter(time.Now(), node, tolerance), election: usage.NewElection(tolerance),
		asks: make(map[string]*ask), joined: make(map[string]int),
	}
}

// take counts a request of a workspace and reports whether it is admitted. It
// may wait for an answer of the collector.
func (q *quota) take(workspace string) (ok bool, retryAfter time.Duration) {
	q.mu.Lock()
	verdict, retryAfter := q.limiter.Take(time.Now(), workspace)
	if verdict != usage.NeedsDraw {
		q.mu.Unlock()
		return verdict == usage.Admitted, retryAfter
	}
	defer q.mu.Unlock()
	for range maxAsks {
		pending := q.joinAsk(workspace)
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
	if retryAfter == 0 && q.limiter.ClaimLocal(time.Now(), workspace) {
		return true, 0
	}
	return false, max(retryAfter, askTimeout)
}

// joinAsk returns the question for the workspace that is under way, or begins
// one. The lock must be held.
func (q *quota) joinAsk(workspace string) *ask {
	if pending := q.asks[workspace]; pending != nil {
		q.joined[workspace]++
		return pending
	}
	pending := &ask{done: make(chan struct{})}
	q.asks[workspace] = pending
	draw := q.limiter.DrawFor(time.Now(), workspace, 1+q.joined[workspace])
	delete(q.joined, workspace)
	go func() {
		bounded, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		// A slow answer to one request is no sign that the collector is lost.
		_, _ = q.draw(bounded, []usage.Draw{draw})
		q.mu.Lock()
		delete(q.asks, workspace)
		q.mu.Unlock()
		close(pending.done)
	}()
	return pending
}

// setTolerance replaces the tolerance of the platform's rule.
func (q *quota) setTolerance(t usage.Tolerance) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.SetTolerance(t)
	q.election.Pool().SetTolerance(t)
}

// giveBack returns what a request took that did not run.
func (q *quota) giveBack(workspace string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.ReturnToken(workspace)
}

// status returns what decides about requests of a workspace.
func (q *quota) status(now time.Time, workspace string) usage.Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.Status(now, workspace)
}

// stateChanged takes the published quotas and the size of the fleet.
func (q *quota) stateChanged(now time.Time, state *follow.State) {
	if state.Catalog == nil {
		return
	}
	nodes := 1
	if state.Directory != nil {
		nodes = state.Directory.Len()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Configure(now, state.Catalog.Workspaces(), nodes)
	q.election.Pool().Configure(now, state.Catalog.Workspaces(), nodes)
	if state.Directory != nil {
		ids, own := q.candidates(state.Directory)
		q.election.SetInstances(now, ids, own)
	}
}

// candidates returns the instances whose nodes may collect, and the own one among
// them.
func (q *quota) candidates(directory *catalog.Directory) (ids []member.InstanceID, own member.InstanceID) {
	for _, instance := range directory.Instances() {
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

// run draws lots until ctx ends. A draw of nothing tells the collector that this
// node is there.
func (q *quota) run(ctx context.Context) {
	ticker := time.NewTicker(drawInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			q.probe(ctx, now)
			q.mu.Lock()
			draws := q.limiter.Draws(now)
			q.mu.Unlock()
			bounded, cancel := context.WithTimeout(ctx, controlTimeout)
			if collector, err := q.draw(bounded, draws); err != nil {
				q.lost(collector, err)
			}
			cancel()
		}
	}
}

// probe asks the instance whose silence decides whether this node collects.
func (q *quota) probe(ctx context.Context, now time.Time) {
	q.mu.Lock()
	id, ok := q.election.Probe(now)
	q.mu.Unlock()
	if !ok {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := q.drawFrom(bounded, id, nil); err != nil {
		q.lost(id, err)
	}
}

// draw asks the collector, which it returns, and takes what it grants.
func (q *quota) draw(ctx context.Context, draws []usage.Draw) (member.InstanceID, error) {
	q.mu.Lock()
	collector, ok := q.election.Collector(time.Now())
	q.mu.Unlock()
	if !ok {
		return "", nil // no instance is known yet
	}
	return collector, q.drawFrom(ctx, collector, draws)
}

func (q *quota) drawFrom(ctx context.Context, id member.InstanceID, draws []usage.Draw) error {
	directory := q.state().Directory
	if directory == nil {
		return nil
	}
	instance, ok := directory.Instance(id)
	if !ok {
		return nil // it has just left the list
	}
	message := &meshpb.DrawRequest{Node: q.node, Draws: drawMessages(draws), AwayMs: q.awayFrom(id)}
	answer := &meshpb.DrawReply{}
	if address := q.controlAddress(instance); address == "" {
		answer = q.answer(message)
	} else {
		var err error
		if answer, err = q.clients.client(address).DrawTokens(ctx, message); err != nil {
			return err
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.election.MarkResponsive(id)
	if answer.Collector != "" {
		q.election.RecordRedirect(time.Now(), id, member.InstanceID(answer.Collector))
		return nil
	}
	now := time.Now()
	if q.election.RecordGrants(now, id) {
		q.log.Info("collector of quota changed", "collector", id)
	}
	q.limiter.AddGrants(now, draws, grantsFrom(answer.Grants))
	return nil
}

// awayFrom returns in milliseconds for how long the node has drawn from no other
// collector than the instance's.
func (q *quota) awayFrom(id member.InstanceID) uint32 {
	q.mu.Lock()
	defer q.mu.Unlock()
	away := min(q.election.SinceOtherCollector(time.Now(), id), maxAway)
	return uint32(away.Milliseconds())
}

func (q *quota) lost(collector member.InstanceID, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ended := errors.Is(err, syscall.ECONNREFUSED)
	if q.election.MarkUnresponsive(time.Now(), collector, ended) {
		q.log.Info("collector of quota lost", "collector", collector, "reason", err.Error())
	}
}

// answer serves a draw as collector, or names the one to ask.
func (q *quota) answer(in *meshpb.DrawRequest) *meshpb.DrawReply {
	q.mu.Lock()
	defer q.mu.Unlock()
	away := time.Duration(in.AwayMs) * time.Millisecond
	answer := q.election.Answer(time.Now(), in.Node, away, drawsFrom(in.Draws))
	return &meshpb.DrawReply{Grants: grantMessages(answer.Grants), Collector: string(answer.Collector)}
}

func drawMessages(draws []usage.Draw) []*meshpb.Draw {
	list := make([]*meshpb.Draw, 0, len(draws))
	for _, d := range draws {
		list = append(list, &meshpb.Draw{
			Workspace: d.Workspace, Wanted: float32(d.Wanted), Held: float32(d.Held), Demand: float32(d.Demand),
		})
	}
	return list
}

func drawsFrom(messages []*meshpb.Draw) []usage.Draw {
	list := make([]usage.Draw, 0, len(messages))
	for _, m := range messages {
		list = append(list, usage.Draw{
			Workspace: m.Workspace, Wanted: float64(m.Wanted), Held: float64(m.Held), Demand: float64(m.Demand),
		})
	}
	return list
}

func grantMessages(grants []usage.Grant) []*meshpb.Grant {
	list := make([]*meshpb.Grant, 0, len(grants))
	for _, g := range grants {
		list = append(list, &meshpb.Grant{
			Workspace: g.Workspace, Tokens: float32(g.Tokens), Demand: float32(g.Demand),
			RetryAfterMs: uint32(g.RetryAfter.Milliseconds()), Credit: g.Credit,
		})
	}
	return list
}

func grantsFrom(messages []*meshpb.Grant) []usage.Grant {
	list := make([]usage.Grant, 0, len(messages))
	for _, m := range messages {
		list = append(list, usage.Grant{
			Workspace: m.Workspace, Tokens: float64(m.Tokens), Demand: float64(m.Demand),
			RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond, Credit: m.Credit,
		})
	}
	return list
}
