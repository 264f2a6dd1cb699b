package quota

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// ErrUnknownWorkspace reports a workspace without a limit.
var ErrUnknownWorkspace = errors.New("quota: workspace has no limit")

// Node is the quota state of one instance in all roles.
type Node struct {
	id         member.InstanceID
	timing     Timing
	epoch      time.Time
	nonces     nonceTable
	views      views
	members    []member.InstanceID
	workspaces map[Workspace]*workspaceState
	// ordered holds the workspaces in the order of their names.
	ordered  []*workspaceState
	suspects map[member.InstanceID]time.Duration
	// contactAt is when the node last was in contact; stopped if that is too
	// long ago to mint.
	contactAt time.Duration
	stopped   bool
	leaving   bool
	fx        *Effects
	// local holds messages to the node itself, handled before a call returns.
	local []Message
}

// workspaceState is one workspace in all roles.
type workspaceState struct {
	name   Workspace
	limit  Limit
	life   time.Duration
	entry  entry
	pooler pooler
	minter minter
	// pulledBy is the pooler that pulled last.
	pulledBy      member.InstanceID
	instances     []member.InstanceID
	instancesView uint64
}

// NewNode returns the state of a process that starts now. The boot id must
// differ from those of earlier processes of the instance.
func NewNode(id member.InstanceID, boot member.BootID, timing Timing, now time.Time) (*Node, error) {
	if err := timing.Validate(); err != nil {
		return nil, err
	}
	return &Node{
		id:         id,
		timing:     timing,
		epoch:      now,
		nonces:     nonceTable{boot: boot},
		workspaces: make(map[Workspace]*workspaceState),
		suspects:   make(map[member.InstanceID]time.Duration),
	}, nil
}

// SetLimit sets or replaces the limit of a workspace. While a change spreads,
// the bound is that of the larger rate and burst.
func (n *Node) SetLimit(ws Workspace, limit Limit) error {
	if err := limit.Validate(); err != nil {
		return err
	}
	w := n.workspaces[ws]
	if w == nil {
		w = &workspaceState{name: ws}
		w.minter.mintedUntil = n.timing.Horizon
		w.pooler.askers = make(map[member.InstanceID]time.Duration)
		w.entry.margin = initialMargin
		w.entry.lastAsk = -batchInterval
		n.workspaces[ws] = w
		n.sortWorkspaces()
	}
	w.limit, w.life = limit, limit.life()
	w.minter.viewsVersion = 0
	return nil
}

// initialMargin is an entry's first estimate of the round trip to a pooler.
const initialMargin = 2 * time.Millisecond

// RemoveLimit forgets a workspace. Its waiting requests are refused.
func (n *Node) RemoveLimit(ws Workspace, fx *Effects) {
	w := n.workspaces[ws]
	if w == nil {
		return
	}
	n.fx = fx
	n.refuseNewest(w, int64(len(w.entry.waiting)), 0)
	delete(n.workspaces, ws)
	n.sortWorkspaces()
}

func (n *Node) sortWorkspaces() {
	n.ordered = n.ordered[:0]
	for _, name := range slices.Sorted(maps.Keys(n.workspaces)) {
		n.ordered = append(n.ordered, n.workspaces[name])
	}
}

// SetList puts a list of instances in force. Every list that the platform
// published must be passed in, in order.
func (n *Node) SetList(at time.Time, list List, fx *Effects) {
	now := at.Sub(n.epoch)
	n.fx = fx
	n.checkContact(now)
	if len(n.views.all) > 0 && slices.Equal(n.members, list.Members) {
		return
	}
	n.members = slices.Clone(list.Members)
	since := now
	if len(n.views.all) == 0 {
		since = now - list.StableFor
	}
	if n.stopped {
		return
	}
	before := make([]member.InstanceID, len(n.ordered))
	for i, w := range n.ordered {
		before[i], _ = n.poolerFor(now, w)
	}
	n.addView(now, since, n.members)
	for i, w := range n.ordered {
		n.poolerChanged(now, w, before[i])
	}
	n.drain(now)
}

func (n *Node) addView(now, since time.Duration, members []member.InstanceID) {
	n.views.add(since, members, now-n.timing.HoldOff-viewRetention)
}

// Contact reports that at the time seen, which may have passed, the node was in
// contact with the platform or most peers, and that its list lagged by no more
// than ListLag. Without contact for IsolateAfter, also because the process was
// paused, the node stops minting.
func (n *Node) Contact(at, seen time.Time) {
	now := at.Sub(n.epoch)
	n.checkContact(now)
	n.contactAt = max(n.contactAt, seen.Sub(n.epoch))
	if n.stopped && now <= n.contactAt+n.timing.IsolateAfter {
		n.stopped = false
		n.addView(now, now, n.members)
	}
}

// Settled reports whether HoldOff has passed since the node learnt its first
// list, so that its shares can be above zero.
func (n *Node) Settled(at time.Time) bool {
	return len(n.views.all) > 0 && n.views.all[0].at+n.timing.HoldOff <= at.Sub(n.epoch)
}

// checkContact puts an empty list in force once contact is missing for too
// long.
func (n *Node) checkContact(now time.Duration) {
	if end := n.contactAt + n.timing.IsolateAfter; !n.stopped && now > end {
		n.stopped = true
		n.addView(now, end, nil)
	}
}

// Ask decides on one request of the workspace, which can wait for maxWait. The
// request id must be unique among the waiting ones.
func (n *Node) Ask(at time.Time, ws Workspace, id RequestID, maxWait time.Duration, fx *Effects) (Decision, error) {
	w := n.workspaces[ws]
	if w == nil {
		return Decision{Verdict: Refused}, ErrUnknownWorkspace
	}
	now := at.Sub(n.epoch)
	n.fx = fx
	n.checkContact(now)
	d := n.request(now, w, id, maxWait)
	n.drain(now)
	return d, nil
}

// Handle takes in a message of a peer.
func (n *Node) Handle(at time.Time, from member.InstanceID, m Message, fx *Effects) {
	now := at.Sub(n.epoch)
	n.fx = fx
	n.checkContact(now)
	n.dispatch(now, from, m)
	n.drain(now)
}

// Tick does what is due. Callers call it at the time that NextWake returns,
// and may call it more often.
func (n *Node) Tick(at time.Time, fx *Effects) {
	now := at.Sub(n.epoch)
	n.fx = fx
	n.checkContact(now)
	for _, w := range n.ordered {
		n.tickEntry(now, w)
		n.tickPooler(now, w)
	}
	n.drain(now)
}

// NextWake returns when Tick has something to do, and ok if there is anything.
func (n *Node) NextWake(at time.Time) (wake time.Time, ok bool) {
	now := at.Sub(n.epoch)
	var next time.Duration
	for _, w := range n.ordered {
		if t, due := n.wakeEntry(now, w); due && (!ok || t < next) {
			next, ok = t, true
		}
		if t, due := n.wakePooler(now, w); due && (!ok || t < next) {
			next, ok = t, true
		}
	}
	return n.epoch.Add(next), ok
}

// Leave announces a planned stop. The node goes on answering pulls until the
// caller stops it, and pools nothing more.
func (n *Node) Leave(at time.Time, fx *Effects) {
	now := at.Sub(n.epoch)
	n.fx = fx
	n.leaving = true
	for _, w := range n.ordered {
		if w.pulledBy != "" && w.pulledBy != n.id {
			n.send(w.pulledBy, &Leaving{Workspace: w.name})
		}
		next, ok := n.poolerFor(now, w)
		if now >= w.pooler.usedUntil || !ok {
			continue
		}
		n.send(next, &Leaving{Workspace: w.name})
		for _, id := range slices.Sorted(maps.Keys(w.pooler.askers)) {
			if id != next && id != n.id {
				n.send(id, &Leaving{Workspace: w.name})
			}
		}
	}
	n.drain(now)
}

// Unreachable reports that a message could not be delivered, as when the peer
// refused the connection.
func (n *Node) Unreachable(at time.Time, peer member.InstanceID, fx *Effects) {
	now := at.Sub(n.epoch)
	n.fx = fx
	n.suspect(peer, now+n.timing.SuspectFor)
	for _, w := range n.ordered {
		w.entry.dropAsksTo(peer)
		n.askMore(now, w)
		n.pullFailed(now, w, peer)
	}
	n.drain(now)
}

// handleLeaving turns from the sender and, as its pooler or the next one,
// pulls what it holds.
func (n *Node) handleLeaving(now time.Duration, from member.InstanceID, w *workspaceState) {
	n.suspect(from, now+n.timing.HoldOff)
	w.entry.dropAsksTo(from)
	next, _ := n.poolerFor(now, w)
	if !n.leaving && (now < w.pooler.usedUntil || next == n.id) {
		n.takeOver(now, w, from, n.timing.SilentAfter)
	}
	n.askMore(now, w)
}

func (n *Node) dispatch(now time.Duration, from member.InstanceID, m Message) {
	w := n.workspaces[m.workspace()]
	if w == nil {
		return
	}
	switch m := m.(type) {
	case *Ask:
		n.handleAsk(now, from, w, m)
	case *Answer:
		n.handleAnswer(now, from, w, m)
	case *Pull:
		n.handlePull(now, from, w, m)
	case *Stream:
		n.handleStream(now, from, w, m)
	case *Leaving:
		n.handleLeaving(now, from, w)
	}
}

// send queues a message for a peer, or for the node itself.
func (n *Node) send(to member.InstanceID, m Message) {
	if to == n.id {
		n.local = append(n.local, m)
		return
	}
	n.fx.Sends = append(n.fx.Sends, Send{To: to, Message: m})
}

// drain handles the messages to the node itself.
func (n *Node) drain(now time.Duration) {
	for i := 0; i < len(n.local); i++ {
		n.dispatch(now, n.id, n.local[i])
	}
	clear(n.local)
	n.local = n.local[:0]
}

// order returns the first MaxMinters instances in rendezvous order.
func (n *Node) order(w *workspaceState) []member.InstanceID {
	if w.instancesView != n.views.version {
		w.instancesView = n.views.version
		w.instances = rendezvous(w.name, n.members, n.timing.MaxMinters)
	}
	return w.instances
}

// poolerFor returns the first instance in order that is not avoided.
func (n *Node) poolerFor(now time.Duration, w *workspaceState) (member.InstanceID, bool) {
	order := n.order(w)
	for _, id := range order {
		if now >= n.suspects[id] && (id != n.id || !n.leaving) {
			return id, true
		}
	}
	if len(order) == 0 || (order[0] == n.id && n.leaving) {
		return "", false
	}
	return order[0], true
}

// suspect avoids an instance as a pooler until the time.
func (n *Node) suspect(id member.InstanceID, until time.Duration) {
	if id != n.id {
		n.suspects[id] = max(n.suspects[id], until)
	}
}
