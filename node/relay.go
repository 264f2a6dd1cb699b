package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/relay"
	"github.com/toucancove/toucancove/peer"
	"github.com/toucancove/toucancove/settings"
	"github.com/toucancove/toucancove/valuestore"
)

const (
	// relayCallTimeout bounds a relay call to a peer.
	relayCallTimeout = time.Second
	// relayFetchTimeout bounds a call whose reply can contain values of 1 MB.
	relayFetchTimeout = 5 * time.Second
	// relaySenders bounds the relay calls in flight.
	relaySenders = 128
	// maxProbes bounds the failing peers that are probed per memberCheckInterval.
	maxProbes = 4
	// memberCheckInterval is the time between checks of the states of all members.
	memberCheckInterval = time.Second
)

// ErrStopping means that the node no longer accepts messages of peers.
var ErrStopping = eris.New("node is stopping")

// relayer runs the relay protocol of package core/relay: it passes messages and
// the time to the core and carries out the core's effects. Its fields are used
// by the control goroutine only, unless stated otherwise.
type relayer struct {
	log            logr.Logger
	self           member.InstanceID
	zone           member.Zone
	boot           member.BootID
	service        string
	control        *control
	reader         *valuestore.Client // safe for concurrent use
	clients        *peer.Clients      // safe for concurrent use
	leaving        func() bool        // safe for concurrent use
	state          *relay.State
	detector       *member.Detector
	addrs          map[member.InstanceID]string
	excluded       map[member.InstanceID]bool // gone instances; true if in the own zone and so not in the relay order
	viewPending    bool                       // the core lacks the names and peers of the current view
	membersChecked time.Time
	ready          atomic.Bool              // safe for concurrent use
	members        atomic.Pointer[[]Member] // safe for concurrent use

	ctx     context.Context // its end cancels calls and reads
	senders pond.Pool       // safe for concurrent use
	reads   sync.WaitGroup
}

// Member is a listed instance with the state that the failure detector derives
// from control messages.
type Member struct {
	Instance member.InstanceID `json:"instance"`
	Service  string            `json:"service"`
	Zone     member.Zone       `json:"zone"`
	State    string            `json:"state"`
}

// listMembers returns the members as of the last check. It is safe for
// concurrent use.
func (r *relayer) listMembers() []Member {
	if members := r.members.Load(); members != nil {
		return *members
	}
	return nil
}

func newRelayer(s settings.Settings, log logr.Logger, boot member.BootID, c *control, reader *valuestore.Client, clients *peer.Clients, leaving func() bool) *relayer {
	return &relayer{
		log:      log,
		self:     s.Instance,
		zone:     s.Zone,
		boot:     boot,
		service:  s.Service,
		control:  c,
		reader:   reader,
		clients:  clients,
		leaving:  leaving,
		detector: member.NewDetector(),
		addrs:    make(map[member.InstanceID]string),
		state: relay.New(relay.Config{
			Self:      s.Instance,
			Zone:      s.Zone,
			Seed:      rand.Uint64(),
			Bootstrap: []string{config.FleetName, config.InstancesName(s.Service)},
			Parse:     parseValue,
		}, time.Now()),
	}
}

func parseValue(v relay.Value) (any, error) {
	return config.Parse(v.Name, v.Body, config.Revision(v.Revision))
}

// start prepares calls and reads, which ctx ends. It must be called before the
// control goroutine runs.
func (r *relayer) start(ctx context.Context) {
	r.ctx = ctx
	r.senders = pond.NewPool(relaySenders)
}

// wait returns when all calls and reads have ended. It must be called after the
// end of the context that was passed to start.
func (r *relayer) wait() {
	r.senders.StopAndWait()
	r.reads.Wait()
	r.reader.Close()
}

// tick runs what is due at now. The control goroutine calls it periodically.
func (r *relayer) tick(now time.Time) {
	if r.viewPending {
		r.viewPending = false
		r.configure(now, r.control.View())
	}
	if now.Sub(r.membersChecked) >= memberCheckInterval {
		r.membersChecked = now
		r.updateMembers(now)
		r.probe(now)
	}
	r.perform(r.state.Tick(now))
	if r.state.Ready() && !r.ready.Swap(true) {
		r.log.Info("configuration complete", "values", len(r.state.Held()))
	}
}

// viewChanged makes the next tick pass the new names and peers to the core, once
// for all values of a batch.
func (r *relayer) viewChanged() { r.viewPending = true }

func (r *relayer) configure(now time.Time, view *config.View) {
	names := valueNames(view)
	r.state.SetNames(now, names, names)
	r.addrs = make(map[member.InstanceID]string)
	var listed []member.Listed
	for _, i := range r.instances(view) {
		r.addrs[i.ID] = i.Control
		listed = append(listed, member.Listed{
			ID: i.ID, Zone: i.Zone, Service: i.Service, Leaving: i.State == config.Leaving,
		})
	}
	r.detector.SetList(listed)
	r.setPeers(now)
}

// instances returns the listed instances. Before the fleet value is known, it
// returns those of the own service.
func (r *relayer) instances(view *config.View) []config.Instance {
	if view.Fleet() == nil {
		return view.Instances(r.service)
	}
	return view.AllInstances()
}

// valueNames returns the names of the values that the fleet value requires.
func valueNames(view *config.View) []string {
	names := []string{config.FleetName}
	fleet := view.Fleet()
	if fleet == nil {
		return names
	}
	for shard := range fleet.KeyShards {
		names = append(names, config.KeysName(shard))
	}
	for _, service := range fleet.Services {
		names = append(names, config.ServiceName(service), config.InstancesName(service))
	}
	return names
}

// updateMembers excludes the gone nodes of the own zone from the relay order, so
// that others take over their watches. Gone nodes of other zones remain: values
// reach them through the nodes of their own zone, and are sent to them at once
// when a partition ends.
func (r *relayer) updateMembers(now time.Time) {
	excluded := make(map[member.InstanceID]bool)
	changed := false
	var members []Member
	for _, s := range r.detector.All(now) {
		members = append(members, Member{Instance: s.ID, Service: s.Service, Zone: s.Zone, State: s.State.String()})
		if s.State == member.Gone {
			excluded[s.ID] = s.Zone == r.zone
		}
		if excluded[s.ID] != r.excluded[s.ID] {
			changed = true
			r.log.Info("peer state changed", "peer", s.ID, "state", s.State.String())
		}
	}
	r.excluded = excluded
	r.members.Store(&members)
	if changed {
		r.setPeers(now)
	}
}

func (r *relayer) setPeers(now time.Time) {
	var peers []relay.Peer
	for _, s := range r.detector.All(now) {
		if s.State != member.Gone || s.Zone != r.zone {
			peers = append(peers, relay.Peer{ID: s.ID, Zone: s.Zone})
		}
	}
	r.state.SetPeers(now, peers, r.fleetSize())
}

// fleetSize returns the number of nodes. While the lists of some services are
// missing, it extrapolates from the known ones.
func (r *relayer) fleetSize() int {
	view := r.control.View()
	fleet := view.Fleet()
	if fleet == nil {
		return len(r.addrs)
	}
	lists := 0
	for _, service := range fleet.Services {
		if view.Revision(config.InstancesName(service)) > 0 {
			lists++
		}
	}
	return len(r.addrs) * len(fleet.Services) / max(lists, 1)
}

// perform carries out the effects of the core.
func (r *relayer) perform(fx relay.Effects) {
	for _, refused := range fx.Refuse {
		r.control.reject(refused.Name, config.Revision(refused.Revision), refused.Err)
	}
	for _, applied := range fx.Apply {
		if value, ok := applied.Parsed.(config.Value); ok {
			r.control.apply(value)
		}
	}
	for _, a := range fx.Announces {
		r.announce(a)
	}
	for _, f := range fx.Fetches {
		r.fetch(f)
	}
	for _, d := range fx.Digests {
		r.exchange(d)
	}
	for _, read := range fx.Reads {
		r.reads.Go(func() { r.read(read) })
	}
}

// call runs a call to a peer in the pool. The control goroutine runs the function
// that the call returns, or onFailure.
func (r *relayer) call(to member.InstanceID, timeout time.Duration, call func(context.Context, *peer.RelayClient) (func(now time.Time), error), onFailure func(now time.Time)) {
	client := r.clients.Relay(to, r.addrs[to])
	r.senders.Submit(func() {
		ctx, cancel := context.WithTimeout(r.ctx, timeout)
		defer cancel()
		onSuccess, err := call(ctx, client)
		r.control.submit(r.ctx, func(now time.Time) {
			if err != nil {
				r.detector.Failed(now, to, failureKind(err))
				onFailure(now)
				return
			}
			onSuccess(now)
		})
	})
}

func failureKind(err error) member.Failure {
	if eris.Is(err, peer.ErrUnreachable) {
		return member.ConnectFailed
	}
	return member.ConnectionReset
}

func (r *relayer) announce(a relay.AnnounceTo) {
	r.call(a.To, relayCallTimeout, func(ctx context.Context, client *peer.RelayClient) (func(time.Time), error) {
		return func(time.Time) {}, client.Announce(ctx, a.Announce)
	}, func(now time.Time) { r.perform(r.state.AnnounceFailed(now, a)) })
}

func (r *relayer) fetch(f relay.FetchFrom) {
	r.call(f.To, relayFetchTimeout, func(ctx context.Context, client *peer.RelayClient) (func(time.Time), error) {
		reply, err := client.Fetch(ctx, f.Fetch)
		return func(now time.Time) { r.perform(r.state.FetchAnswered(now, f, reply)) }, err
	}, func(now time.Time) { r.perform(r.state.FetchFailed(now, f)) })
}

func (r *relayer) exchange(d relay.DigestTo) {
	r.call(d.To, relayCallTimeout, func(ctx context.Context, client *peer.RelayClient) (func(time.Time), error) {
		reply, err := client.Exchange(ctx, d.Digest)
		return func(now time.Time) {
			r.detector.Success(now, d.To, reply.Boot, reply.Leaving)
			r.perform(r.state.DigestAnswered(now, d, reply.DigestReply))
		}, err
	}, func(now time.Time) { r.perform(r.state.DigestFailed(now, d)) })
}

// probe exchanges digests with at most maxProbes of the failing peers that are
// due, so that a partition does not fill the pool with probes.
func (r *relayer) probe(now time.Time) {
	due := r.detector.Probes(now)
	rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, id := range due[:min(maxProbes, len(due))] {
		r.exchange(r.state.Probe(id))
	}
}

// read reads a value from the platform by long polling.
func (r *relayer) read(read relay.Read) {
	value, err := r.reader.Get(r.ctx, read.Name, config.Revision(read.After), read.Wait)
	if r.ctx.Err() != nil {
		return
	}
	r.control.submit(r.ctx, func(now time.Time) {
		r.perform(r.state.ReadDone(now, read.Name, readStatus(err), relay.Value{
			Version: relay.Version{Name: value.Name, Revision: uint64(value.Revision)},
			Body:    value.Body,
		}))
	})
}

func readStatus(err error) relay.ReadStatus {
	switch {
	case err == nil:
		return relay.ReadFound
	case eris.Is(err, valuestore.ErrNotModified):
		return relay.ReadNotModified
	case eris.Is(err, valuestore.ErrNotFound):
		return relay.ReadNotFound
	default:
		return relay.ReadFailed
	}
}

// HandleAnnounce implements peer.Relay.
func (r *relayer) HandleAnnounce(ctx context.Context, message relay.Announce) error {
	if !r.control.submit(ctx, func(now time.Time) { r.perform(r.state.HandleAnnounce(now, message)) }) {
		return ErrStopping
	}
	return nil
}

// HandleDigest implements peer.Relay.
func (r *relayer) HandleDigest(ctx context.Context, message relay.Digest) (peer.DigestAnswer, error) {
	var reply peer.DigestAnswer
	if !r.control.submitAndWait(ctx, func(now time.Time) { reply.DigestReply = r.state.HandleDigest(now, message) }) {
		return peer.DigestAnswer{}, ErrStopping
	}
	reply.Boot, reply.Leaving = r.boot, r.leaving()
	return reply, nil
}

// HandleFetch implements peer.Relay.
func (r *relayer) HandleFetch(ctx context.Context, message relay.Fetch) (relay.FetchReply, error) {
	var reply relay.FetchReply
	if !r.control.submitAndWait(ctx, func(now time.Time) { reply = r.state.HandleFetch(now, message) }) {
		return relay.FetchReply{}, ErrStopping
	}
	return reply, nil
}
