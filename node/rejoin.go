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
	// rejoinInterval is the least mean time between two rounds of questions to
	// away instances.
	rejoinInterval = 500 * time.Millisecond
	// rejoinAsksPerSecond bounds the questions that one away instance gets from
	// a whole fleet; the interval grows with the fleet to hold it.
	rejoinAsksPerSecond = 200
	// rejoinTimeout bounds one question.
	rejoinTimeout = time.Second
	// rejoinWorkers is the number of questions asked at a time.
	rejoinWorkers = 4
)

// rejoin asks the nodes of instances that get no requests, because they
// announced to leave or were ejected, whether they have restarted. Without it
// an entry would hear of the new boot only from a probe by a request.
func (n *Node) rejoin(ctx context.Context) {
	pool := pond.NewPool(rejoinWorkers)
	defer pool.StopAndWait()
	for ctx.Err() == nil {
		sleep(ctx, rejoinDelay(len(n.control.View().AllInstances())))
		round := pool.NewGroupContext(ctx)
		for _, away := range n.router.Unavailable() {
			round.Submit(func() { n.askReturned(ctx, away) })
		}
		_ = round.Wait()
	}
}

// rejoinDelay draws the time until the next round, so that the rounds of a
// fleet do not coincide.
func rejoinDelay(fleet int) time.Duration {
	mean := max(rejoinInterval, time.Duration(fleet)*time.Second/rejoinAsksPerSecond)
	return mean/2 + rand.N(mean)
}

func (n *Node) askReturned(ctx context.Context, away proxy.UnavailableInstance) {
	if away.Instance.ID == n.settings.Instance || away.Instance.Control == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rejoinTimeout)
	defer cancel()
	hello, err := n.hello(ctx, away.Instance)
	if err != nil || hello.GetLeaving() || !hello.GetReady() {
		return
	}
	n.router.RecordBoot(away, member.BootID(hello.GetBootId()))
}
