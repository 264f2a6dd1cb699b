package quota

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// ErrUnknownWorkspace is returned for a workspace without a limit.
var ErrUnknownWorkspace = errors.New("quota: workspace has no limit")

// Node is the state of one instance, in all roles and for all workspaces.
type Node struct {
	id         member.InstanceID
	timing     Timing
	epoch      time.Time
	nonces     nonceTable
	views      views
	members    []member.InstanceID
	workspaces map[Workspace]*workspaceState
	// ordered holds the workspaces, sorted by name.
	ordered  []*workspaceState
	suspects map[member.InstanceID]time.Duration
	// lastContact is the time of the last contact. isolated is set while that is
	// longer than IsolateAfter ago, so that the node must not mint.
	lastContact time.Duration
	isolated    bool
	leaving     bool
	fx          *Effects
	// localMessages holds messages from the node to itself. They are handled
	// before a call returns.
	localMessages []Message
}

// workspaceState is the state of one workspace in all roles.
type workspaceState struct {
	name     Workspace
	limit    Limit
	lifetime time.Duration
	entry    entry
	pooler   pooler
	minter   minter
	// pulledBy is the pooler that last pulled from this node.
	pulledBy member.InstanceID
	// instances caches the first MaxMinters instances in rendezvous order;
	// instancesVersion is the version of the views that it was computed from.
	instances        []member.InstanceID
	instancesVersion uint64
}

// NewNode returns the state of a process that starts now. The boot id must differ
// from those of all earlier processes of the instance.
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

// SetLimit sets or replaces the limit of a workspace. Until a change has reached
// all nodes, the larger rate and burst bound what is admitted.
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
	w.limit, w.lifetime = limit, limit.lifetime()
	w.minter.viewsVersion = 0
	return nil
}

// initialMargin is an entry's initial estimate of the round trip to a pooler.
const initialMargin = 2 * time.Millisecond

// RemoveLimit removes a workspace and refuses its waiting requests.
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

// SetList puts a list of instances in force. The caller must pass in every list
// that the platform publishes, in order.
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
	if n.isolated {
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
	n.dispatchLocal(now)
}

func (n *Node) addView(now, since time.Duration, members []member.InstanceID) {
	n.views.add(since, members, now-n.timing.HoldOff-viewRetention)
}

// Contact reports that at the time seen, which may lie in the past, the node was
// in contact with the platform or a majority of its peers, and that its list
// lagged by no more than ListLag. The node stops minting if it has no contact for
// IsolateAfter, also if the process was suspended.
func (n *Node) Contact(at, seen time.Time) {
	now := at.Sub(n.epoch)
	n.checkContact(now)
	n.lastContact = max(n.lastContact, seen.Sub(n.epoch))
	if n.isolated && now <= n.lastContact+n.timing.IsolateAfter {
		n.isolated = false
		n.addView(now, now, n.members)
	}
}

// Settled reports whether HoldOff has passed since the first list came into
// force, so that the node's shares can be above zero.
func (n *Node) Settled(at time.Time) bool {
	return len(n.views.all) > 0 && n.views.all[0].at+n.timing.HoldOff <= at.Sub(n.epoch)
}

// checkContact puts an empty list in force once the last contact is longer than
// IsolateAfter ago.
func (n *Node) checkContact(now time.Duration) {
	if end := n.lastContact + n.timing.IsolateAfter; !n.isolated && now > end {
		n.isolated = true
		n.addView(now, end, nil)
	}
}

// Ask decides on one request of the workspace, which can wait for up to maxWait.
// The id must be unique among the waiting requests.
func (n *Node) Ask(at time.Time, ws Workspace, id RequestID, maxWait time.Duration, fx *Effects) (Decision, error) {
	w := n.workspaces[ws]
	if w == nil {
		return Decision{Verdict: Refused}, ErrUnknownWorkspace
	}
	now := at.Sub(n.epoch)
	n.fx = fx
	n.checkContact(now)
	d := n.request(now, w, id, maxWait)
	n.dispatchLocal(now)
	return d, nil
}

// Handle processes a message from a peer.
func (n *Node) Handle(at time.Time, from member.InstanceID, m Message, fx *Effects) {
	now := at.Sub(n.epoch)
	n.fx = fx
	n.checkContact(now)
	n.dispatch(now, from, m)
	n.dispatchLocal(now)
}

// Tick runs all timers that are due. The caller calls it at the time that
// NextWake returns, and may call it more often.
func (n *Node) Tick(at time.Time, fx *Effects) {
	now := at.Sub(n.epoch)
	n.fx = fx
	n.checkContact(now)
	for _, w := range n.ordered {
		n.tickEntry(now, w)
		n.tickPooler(now, w)
	}
	n.dispatchLocal(now)
}

// NextWake returns when Tick is next due. ok is false if no timer is set.
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

// Leave announces a planned shutdown. The node gives up the role of pooler, and
// continues to answer pulls until the caller stops it.
func (n *Node) Leave(at time.Time, fx *Effects) {
	now := at.Sub(n.epoch)
	n.fx = fx
	n.leaving = true
	for _, w := range n.ordered {
		if w.pulledBy != "" && w.pulledBy != n.id {
			n.send(w.pulledBy, &Leaving{Workspace: w.name})
		}
		next, ok := n.poolerFor(now, w)
		if now >= w.pooler.activeUntil || !ok {
			continue
		}
		n.send(next, &Leaving{Workspace: w.name})
		for _, id := range slices.Sorted(maps.Keys(w.pooler.askers)) {
			if id != next && id != n.id {
				n.send(id, &Leaving{Workspace: w.name})
			}
		}
	}
	n.dispatchLocal(now)
}

// Unreachable reports that a message to the peer could not be delivered, for
// example because it refused the connection.
func (n *Node) Unreachable(at time.Time, peer member.InstanceID, fx *Effects) {
	now := at.Sub(n.epoch)
	n.fx = fx
	n.suspect(peer, now+n.timing.SuspectFor)
	for _, w := range n.ordered {
		w.entry.removeAsksTo(peer)
		n.askForTokens(now, w)
		n.pullFailed(now, w, peer)
	}
	n.dispatchLocal(now)
}

// handleLeaving suspects the sender, so that it is not used as pooler. If this node is a pooler in use or
// the next one, it pulls all tokens that the sender holds.
func (n *Node) handleLeaving(now time.Duration, from member.InstanceID, w *workspaceState) {
	n.suspect(from, now+n.timing.HoldOff)
	w.entry.removeAsksTo(from)
	next, _ := n.poolerFor(now, w)
	if !n.leaving && (now < w.pooler.activeUntil || next == n.id) {
		n.takeOver(now, w, from, n.timing.UnresponsiveAfter)
	}
	n.askForTokens(now, w)
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

// send queues a message for a peer or for the node itself.
func (n *Node) send(to member.InstanceID, m Message) {
	if to == n.id {
		n.localMessages = append(n.localMessages, m)
		return
	}
	n.fx.Sends = append(n.fx.Sends, Send{To: to, Message: m})
}

// dispatchLocal handles the messages from the node to itself.
func (n *Node) dispatchLocal(now time.Duration) {
	for i := 0; i < len(n.localMessages); i++ {
		n.dispatch(now, n.id, n.localMessages[i])
	}
	clear(n.localMessages)
	n.localMessages = n.localMessages[:0]
}

// order returns the first MaxMinters instances in rendezvous order.
func (n *Node) order(w *workspaceState) []member.InstanceID {
	if w.instancesVersion != n.views.version {
		w.instancesVersion = n.views.version
		w.instances = rendezvous(w.name, n.members, n.timing.MaxMinters)
	}
	return w.instances
}

// poolerFor returns the first instance in rendezvous order that is not suspected.
// If all are suspected it returns the first one, and false if there is none.
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

// suspect marks another instance as suspected until the time. poolerFor skips it
// until then.
func (n *Node) suspect(id member.InstanceID, until time.Duration) {
	if id != n.id {
		n.suspects[id] = max(n.suspects[id], until)
	}
}
