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
	// reportInterval is the time between reports of demand. A shift of demand
	// between nodes is answered after it.
	reportInterval = 500 * time.Millisecond
	// silentFor is how long a collector that did not answer is passed over.
	silentFor = 5 * time.Second
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

	mu        sync.Mutex
	limiter   *usage.Limiter
	collector *usage.Collector
	silent    map[member.InstanceID]time.Time
}

// take counts a request of a workspace and reports whether it is admitted.
func (q *quota) take(now time.Time, workspace string) (ok bool, retryAfter time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.Take(now, workspace)
}

// giveBack returns what a request took that did not run.
func (q *quota) giveBack(workspace string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.GiveBack(workspace)
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
}

// run reports demand until ctx ends.
func (q *quota) run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			q.report(ctx, now)
		}
	}
}

func (q *quota) report(ctx context.Context, now time.Time) {
	state := q.state()
	if state.Directory == nil {
		return
	}
	collector, address, ok := q.collectorOf(now, state.Directory)
	if !ok {
		return
	}
	q.mu.Lock()
	demands := q.limiter.Demands(now)
	q.mu.Unlock()
	message := &meshpb.DemandReport{Node: q.node, Demand: demandMessages(demands)}
	if address == "" {
		q.setTotal(q.collect(message))
		return
	}
	answer, err := q.clients.client(address).ReportDemand(ctx, message)
	if err != nil {
		q.log.Info("collector of demand lost", "collector", collector, "reason", err.Error())
		q.silent[collector] = now
		return
	}
	q.setTotal(answer)
}

// collectorOf chooses the collector and returns its control address, empty for
// the own node.
func (q *quota) collectorOf(now time.Time, directory *catalog.Directory) (member.InstanceID, string, bool) {
	byID := make(map[member.InstanceID]catalog.Instance)
	var ids []member.InstanceID
	for _, instance := range directory.Instances() {
		if !instance.Draining {
			byID[instance.ID] = instance
			ids = append(ids, instance.ID)
		}
	}
	collector, ok := usage.CollectorOf(ids, func(id member.InstanceID) bool {
		at, failed := q.silent[id]
		return failed && now.Sub(at) < silentFor
	})
	if !ok {
		return "", "", false
	}
	return collector, q.controlAddress(byID[collector]), true
}

func (q *quota) collect(in *meshpb.DemandReport) *meshpb.DemandTotal {
	q.mu.Lock()
	defer q.mu.Unlock()
	total := q.collector.Report(time.Now(), in.Node, demandsFrom(in.Demand))
	return &meshpb.DemandTotal{Nodes: uint32(total.Nodes), Demand: demandMessages(total.Demand)}
}

func (q *quota) setTotal(answer *meshpb.DemandTotal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.SetTotal(time.Now(), usage.Total{Nodes: int(answer.Nodes), Demand: demandsFrom(answer.Demand)})
}

func demandMessages(demands []usage.Demand) []*meshpb.Demand {
	list := make([]*meshpb.Demand, 0, len(demands))
	for _, d := range demands {
		list = append(list, &meshpb.Demand{Workspace: d.Workspace, PerSecond: float32(d.PerSecond)})
	}
	return list
}

func demandsFrom(messages []*meshpb.Demand) []usage.Demand {
	list := make([]usage.Demand, 0, len(messages))
	for _, m := range messages {
		list = append(list, usage.Demand{Workspace: m.Workspace, PerSecond: float64(m.PerSecond)})
	}
	return list
}
