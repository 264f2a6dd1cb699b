package follow

import (
	"context"
	"math/rand/v2"
	"time"
)

// queryPeers queries peers for newer state: random ones while the store is
// unreachable, and one that sent a newer version on the data path.
func (f *Follower) queryPeers(ctx context.Context) {
	ticker := time.NewTicker(peerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case seen := <-f.observed:
			// This node's watch usually delivers the same version shortly after.
			if sleep(ctx, observedVersionDelay) && f.behind(seen) {
				f.queryPeer(ctx, seen.address, false)
			}
		case <-ticker.C:
			if f.lost.Load() {
				f.queryPeer(ctx, f.randomPeer(), false)
			}
		}
	}
}

// behind reports whether a peer sent a newer version or position than this node
// has.
func (f *Follower) behind(s observation) bool {
	state := f.State()
	return s.version > state.Version() || s.position.Follows(state.Position())
}

// randomPeer returns the control address of a random seed or listed node, empty if
// there is none.
func (f *Follower) randomPeer() string {
	addresses := f.peerAddresses()
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.N(len(addresses))]
}

// peerAddresses returns the control addresses of the seeds and the listed nodes.
func (f *Follower) peerAddresses() []string {
	addresses := append([]string(nil), f.cfg.Seeds...)
	for _, instance := range f.State().Instances() {
		if address := f.cfg.ControlAddress(instance); address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// queryPeer queries a peer for what is newer than this node's state, and for
// corrections of the list if the node is joining. It does not
// retry a peer that fails: while the store is unreachable, the next query goes to
// a random peer after peerInterval.
func (f *Follower) queryPeer(ctx context.Context, address string, joining bool) {
	if address == "" {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	state := f.State()
	snapshot, err := f.cfg.Peer.Published(bounded, address, Query{
		Version: state.Version(), Position: state.Position(), Joining: joining,
	})
	if err != nil {
		f.cfg.Log.V(1).Info("query to peer failed", "peer", address, "reason", err.Error())
		return
	}
	f.enqueue(ctx, func(now time.Time) { f.applySnapshot(now, snapshot, sourcePeer, address) })
}
