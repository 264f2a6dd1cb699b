package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/proxy"
)

const (
	// restartPollInterval is the shortest mean time between two polls of the
	// unavailable instances.
	restartPollInterval = 500 * time.Millisecond
	// restartPollsPerSecond bounds the rate at which one unavailable instance is
	// polled by the whole fleet. The interval grows with the fleet accordingly.
	restartPollsPerSecond = 200
	// restartPollTimeout bounds one call.
	restartPollTimeout = time.Second
	// restartPollWorkers bounds the calls in flight.
	restartPollWorkers = 4
)

// pollRestarts asks the nodes of unavailable instances, which announced that
// they are leaving or were ejected, whether they have restarted. Without it an
// entry would learn the new boot id only from a request that probes the
// instance.
func (n *Node) pollRestarts(ctx context.Context) {
	pool := pond.NewPool(restartPollWorkers)
	defer pool.StopAndWait()
	for ctx.Err() == nil {
		sleep(ctx, restartPollDelay(len(n.control.View().AllInstances())))
		round := pool.NewGroupContext(ctx)
		for _, unavailable := range n.router.Unavailable() {
			round.Submit(func() { n.pollRestart(ctx, unavailable) })
		}
		_ = round.Wait()
	}
}

// restartPollDelay returns a random time until the next poll, so that the nodes
// of a fleet don't poll at the same time.
func restartPollDelay(fleet int) time.Duration {
	mean := max(restartPollInterval, time.Duration(fleet)*time.Second/restartPollsPerSecond)
	return mean/2 + rand.N(mean)
}

// pollRestart asks the node of an instance for its boot id and makes the
// instance available if the node has restarted.
func (n *Node) pollRestart(ctx context.Context, unavailable proxy.UnavailableInstance) {
	if unavailable.Instance.ID == n.settings.Instance || unavailable.Instance.Control == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, restartPollTimeout)
	defer cancel()
	hello, err := n.hello(ctx, unavailable.Instance)
	if err != nil || hello.GetLeaving() || !hello.GetReady() {
		return
	}
	n.router.RecordBoot(unavailable, member.BootID(hello.GetBootId()))
}
