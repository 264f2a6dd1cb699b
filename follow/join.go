package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// joinPeers is the number of peers that a node queries before it is ready.
	joinPeers = 3
	// joinTimeout bounds these queries, and so the time for which they delay the
	// readiness of a node whose peers are unresponsive.
	joinTimeout = 300 * time.Millisecond
)

// Joined reports whether the node has compared what it read after its start with
// other nodes.
func (f *Follower) Joined() bool { return f.joined.Load() }

// join queries peers once the first list has been received. A store that was just
// restored from a backup has an older configuration and list than other nodes have in
// force: without the query, a restarted node would use withdrawn keys and instances
// that have left.
func (f *Follower) join(ctx context.Context) {
	defer f.joined.Store(true)
	if f.cfg.FirstStart || !f.waitForList(ctx) {
		return
	}
	addresses := f.peerAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	bounded, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var queries sync.WaitGroup
	for _, address := range addresses[:min(joinPeers, len(addresses))] {
		queries.Go(func() { f.queryPeer(bounded, address, true) })
	}
	queries.Wait()
	applied := make(chan struct{})
	f.enqueue(ctx, func(time.Time) { close(applied) })
	select {
	case <-applied:
	case <-ctx.Done():
	}
}

// waitForList returns false if ctx ended before a list was received.
func (f *Follower) waitForList(ctx context.Context) bool {
	for {
		changed := f.Changed()
		if f.State().Directory != nil {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
