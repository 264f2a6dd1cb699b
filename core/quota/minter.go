package quota

import (
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// minter is the state of the minter role for one workspace. All tokens minted
// before mintedUntil are in the bucket, handed out or discarded.
type minter struct {
	minted      bucket
	mintedUntil time.Duration
	// shares caches this node's share under each view; viewsVersion is the
	// version of the views that it was computed from.
	shares       []viewShare
	viewsVersion uint64
}

// mint adds the tokens of the time until end to the bucket, at the smallest share
// that any view gave since HoldOff before the first of them.
func (n *Node) mint(w *workspaceState, now, end time.Duration) {
	m := &w.minter
	start := max(m.mintedUntil, now-w.lifetime)
	if start >= end {
		return
	}
	m.minted.expire(now, w.lifetime)
	m.minted.add(lot{rate: n.shareSince(w, start-n.timing.HoldOff), from: start, to: end})
	m.mintedUntil = end
}

// shareSince returns the smallest share that any view in force since the time
// gives this node.
func (n *Node) shareSince(w *workspaceState, since time.Duration) Rate {
	m := &w.minter
	if m.viewsVersion != n.views.version {
		m.viewsVersion = n.views.version
		m.shares = m.shares[:0]
		for _, v := range n.views.all {
			order := rendezvous(w.name, v.members, n.timing.MaxMinters)
			m.shares = append(m.shares, viewShare{at: v.at, share: share(w.limit.Rate, order, n.id)})
		}
	}
	return smallestShare(m.shares, since)
}

// handlePull sends the requested tokens to the pooler.
func (n *Node) handlePull(now time.Duration, from member.InstanceID, w *workspaceState, m *Pull) {
	previous := w.previousPooler(now, from)
	n.mint(w, now, now)
	n.mint(w, now, now+min(m.Ahead, n.timing.Horizon))
	lots := w.minter.minted.drain()
	if m.Kind == PullAll {
		lots = append(lots, w.pooler.pool.drain()...)
		lots = append(lots, w.entry.drainIfIdle()...)
		if from != n.id {
			n.handOver(now, w, from)
		}
	}
	w.pulledBy = from
	n.send(from, &Stream{
		Workspace: w.name,
		Nonce:     m.Nonce,
		Kind:      m.Kind,
		Lots:      toWire(now, lots),
		Until:     w.minter.mintedUntil - now,
		Previous:  previous,
	})
}

// previousPooler returns the pooler that pulled before, if it is another one than
// the one that pulls now and may still hold tokens of this minter, else "".
func (w *workspaceState) previousPooler(now time.Duration, pulling member.InstanceID) member.InstanceID {
	if w.pulledBy == pulling || now >= w.minter.mintedUntil+w.lifetime {
		return ""
	}
	return w.pulledBy
}
