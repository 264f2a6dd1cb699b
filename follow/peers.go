package follow

import (
	"context"
	"math/rand/v2"
	"time"
)

// askPeers asks peers for newer values: any of them while the store is out of
// reach, and one that showed newer values on the data path.
func (f *Follower) askPeers(ctx context.Context) {
	ticker := time.NewTicker(peerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case seen := <-f.newer:
			// The own watch mostly shows the same a moment later.
			if sleep(ctx, seenDelay) && f.behind(seen) {
				f.ask(ctx, seen.address)
			}
		case <-ticker.C:
			if f.lost.Load() {
				f.ask(ctx, f.anyPeer())
			}
		}
	}
}

// behind reports whether the node lacks what a peer showed.
func (f *Follower) behind(s sighting) bool {
	state := f.State()
	return s.version > state.Version() || s.revision > state.Revision()
}

// anyPeer returns the control address of a random node, or nothing.
func (f *Follower) anyPeer() string {
	addresses := append([]string(nil), f.cfg.Seeds...)
	if directory := f.State().Directory; directory != nil {
		for _, instance := range directory.Instances() {
			if address := f.cfg.ControlAddress(instance); address != "" {
				addresses = append(addresses, address)
			}
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.N(len(addresses))]
}

// ask takes what a peer knows beyond the own state. A peer that can't be reached
// says nothing new: the next one is asked a moment later.
func (f *Follower) ask(ctx context.Context, address string) {
	if address == "" {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	state := f.State()
	snapshot, err := f.cfg.Peer.Published(bounded, address, Known{Version: state.Version(), Revision: state.Revision()})
	if err != nil {
		f.cfg.Log.V(1).Info("peer did not answer", "peer", address, "reason", err.Error())
		return
	}
	f.tell(ctx, func(now time.Time) { f.applySnapshot(now, snapshot, sourcePeer) })
}
