package mesh

import (
	"context"
	"sync"
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
	// maxAsks bounds the questions that one request waits for: it may join one
	// that was sent before it came.
	maxAsks = 3
	// silentFor is how long a collector that did not answer is passed over.
	silentFor = 3 * time.Second
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

	mu      sync.Mutex
	limiter *usage.Limiter
	pool    *usage.Pool
	silent  map[member.InstanceID]time.Time
	asks    map[string]*ask
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
		node: node, limiter: usage.NewLimiter(time.Now(), tolerance), pool: usage.NewPool(tolerance),
		silent: make(map[member.InstanceID]time.Time), asks: make(map[string]*ask), joined: make(map[string]int),
	}
}

// take counts a request of a workspace and reports whether it is admitted. It
// may wait for an answer of the collector.
func (q *quota) take(workspace string) (ok bool, retryAfter time.Duration) {
	q.mu.Lock()
	verdict, retryAfter := q.limiter.Take(time.Now(), workspace)
	if verdict != usage.Short {
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
	if retryAfter == 0 && q.limiter.ClaimAlone(time.Now(), workspace) {
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
	q.pool.SetTolerance(t)
}

// giveBack returns what a request took that did not run.
func (q *quota) giveBack(workspace string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.GiveBack(workspace)
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
	q.pool.Configure(now, state.Catalog.Workspaces())
}

// run draws lots until ctx ends.
func (q *quota) run(ctx context.Context) {
	ticker := time.NewTicker(drawInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			q.mu.Lock()
			draws := q.limiter.Draws(now)
			q.mu.Unlock()
			if len(draws) == 0 {
				continue
			}
			bounded, cancel := context.WithTimeout(ctx, controlTimeout)
			if collector, err := q.draw(bounded, draws); err != nil {
				q.lost(now, collector, err)
			}
			cancel()
		}
	}
}

// draw asks the collector, which it returns, and takes what it grants.
func (q *quota) draw(ctx context.Context, draws []usage.Draw) (member.InstanceID, error) {
	collector, address, ok := q.collectorOf(time.Now())
	if !ok {
		return "", nil // no instance is known yet
	}
	message := &meshpb.DrawRequest{Node: q.node, Draws: drawMessages(draws)}
	answer := &meshpb.DrawReply{}
	if address == "" {
		answer = q.answer(message)
	} else {
		var err error
		if answer, err = q.clients.client(address).DrawTokens(ctx, message); err != nil {
			return collector, err
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Granted(time.Now(), grantsFrom(answer.Grants))
	return collector, nil
}

func (q *quota) lost(now time.Time, collector member.InstanceID, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.silent[collector]) > silentFor {
		q.log.Info("collector of quota lost", "collector", collector, "reason", err.Error())
	}
	q.silent[collector] = now
}

// collectorOf chooses the collector and returns its control address, empty for
// the own node.
func (q *quota) collectorOf(now time.Time) (member.InstanceID, string, bool) {
	directory := q.state().Directory
	if directory == nil {
		return "", "", false
	}
	byID := make(map[member.InstanceID]catalog.Instance)
	var ids []member.InstanceID
	for _, instance := range directory.Instances() {
		if !instance.Draining {
			byID[instance.ID] = instance
			ids = append(ids, instance.ID)
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	collector, ok := member.First(ids, func(id member.InstanceID) bool {
		at, failed := q.silent[id]
		return failed && now.Sub(at) < silentFor
	})
	if !ok {
		return "", "", false
	}
	return collector, q.controlAddress(byID[collector]), true
}

// answer serves a draw as collector.
func (q *quota) answer(in *meshpb.DrawRequest) *meshpb.DrawReply {
	q.mu.Lock()
	defer q.mu.Unlock()
	return &meshpb.DrawReply{Grants: grantMessages(q.pool.Draw(time.Now(), in.Node, drawsFrom(in.Draws)))}
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
