package mesh

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"
	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/follow"
	"github.com/toucancove/toucancove/internal/sockets"
	"github.com/toucancove/toucancove/peer/meshpb"
)

// peers keeps the links to the guards of other nodes. It is safe for concurrent
// use.
type peers struct {
	headers Headers
	port    uint16
	seen    func(address string, k known)

	mu    sync.Mutex
	links map[string]*link
}

func newPeers(headers Headers, port uint16, seen func(address string, k known)) *peers {
	return &peers{headers: headers, port: port, seen: seen, links: make(map[string]*link)}
}

func (p *peers) link(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[address]
	if l == nil {
		l = newLink(address, "")
		p.links[address] = l
	}
	return l
}

// closeExpired closes connections that were idle for too long, and forgets links
// to addresses that are not listed any more.
func (p *peers) closeExpired(now time.Time, state *follow.State) {
	listed := make(map[string]bool)
	if state.Directory != nil {
		for _, instance := range state.Directory.Instances() {
			listed[nodeAddress(instance, p.port)] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, l := range p.links {
		if !listed[address] {
			delete(p.links, address)
			l.giveUpIdle(l.currentEpoch())
			continue
		}
		l.closeExpired(now)
	}
}

// send passes a request to the guard beside the chosen instance.
func (p *peers) send(ctx context.Context, r *request, to pick) outcome {
	address := nodeAddress(to.instance, p.port)
	answer, err := p.link(address).exchange(ctx, r.out, exchangeOptions{
		deadline: r.deadline, once: !r.route.Kind.Repeatable(),
	})
	if err != nil {
		return exchangeFailure(ctx, err)
	}
	return p.guardOutcome(to.instance, answer)
}

// guardOutcome reads what a guard says besides its instance's answer.
func (p *peers) guardOutcome(instance catalog.Instance, answer *reply) outcome {
	header := &answer.response.Header
	var o outcome
	switch {
	case len(header.Peek(headerRefused)) > 0:
		o = refusedOutcome(reason(header.Peek(headerRefused)), "guard")
		o.reached = o.reason == reasonConnect
	case len(header.Peek(headerFailed)) > 0:
		o = failedOutcome(reason(header.Peek(headerFailed)), "guard")
	default:
		o = answered(answer, p.headers.NotRun)
	}
	if h, ok := parseHint(string(header.Peek(headerHint))); ok {
		o.hint, o.hinted = h, true
		p.seen(instanceIP(instance), h.known)
	}
	if o.reply == nil {
		answer.release()
	}
	return o
}

// controlClients calls the control service of other nodes. It is safe for
// concurrent use.
type controlClients struct {
	http *http.Client

	mu      sync.Mutex
	clients map[string]meshpb.Mesh
}

// controlTimeout bounds a control call.
const controlTimeout = 500 * time.Millisecond

func newControlClients() *controlClients {
	dialer := sockets.Dialer(dialTimeout, userTimeout)
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: defaultIdle}
	return &controlClients{
		http: &http.Client{Transport: transport}, clients: make(map[string]meshpb.Mesh),
	}
}

func (c *controlClients) client(address string) meshpb.Mesh {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[address]
	if client == nil {
		client = meshpb.NewMeshProtobufClient("http://"+address, c.http)
		c.clients[address] = client
	}
	return client
}

// Published implements follow.Peer.
func (c *controlClients) Published(ctx context.Context, address string, known follow.Query) (follow.Snapshot, error) {
	answer, err := c.client(address).Published(ctx, &meshpb.PublishedRequest{
		Version: uint64(known.Version), Revision: uint64(known.Revision), WaitMs: uint32(known.Wait.Milliseconds()), TakesChanges: true,
	})
	if err != nil {
		return follow.Snapshot{}, err
	}
	snapshot := follow.Snapshot{
		Revision: catalog.Revision(answer.Revision), Configuration: answer.Configuration, Holding: answer.Holding,
		Partial: answer.Partial,
	}
	for _, i := range answer.Instances {
		snapshot.Instances = append(snapshot.Instances, instanceFrom(i))
	}
	for _, c := range answer.Changes {
		change := catalog.Change{ID: member.InstanceID(c.Id), Revision: catalog.Revision(c.Revision)}
		if c.Instance != nil {
			instance := instanceFrom(c.Instance)
			change.Instance = &instance
		}
		snapshot.Changes = append(snapshot.Changes, change)
	}
	return snapshot, nil
}

func instanceFrom(i *meshpb.Instance) catalog.Instance {
	return catalog.Instance{
		ID: member.InstanceID(i.Id), Service: i.Service, Address: i.Address, Zone: member.Zone(i.Zone),
		Slots: int(i.Slots), Boot: member.BootID(i.BootId), Draining: i.Draining,
	}
}

func instanceMessage(i *catalog.Instance) *meshpb.Instance {
	return &meshpb.Instance{
		Id: string(i.ID), Service: i.Service, Address: i.Address, Zone: string(i.Zone),
		Slots: uint32(max(i.Slots, 0)), BootId: uint64(i.Boot), Draining: i.Draining,
	}
}

// controlService answers control calls of other nodes.
type controlService struct {
	follower *follow.Follower
	quota    *quota
	leaving  *atomic.Bool
}

// errNotReader means that the node can't be waited at for news of the store.
var errNotReader = twirp.NewError(twirp.Unavailable, "node has lost the store or stops")

// DrawTokens implements the twirp service.
func (s *controlService) DrawTokens(_ context.Context, in *meshpb.DrawRequest) (*meshpb.DrawReply, error) {
	return s.quota.answer(in), nil
}

// Published implements the twirp service.
func (s *controlService) Published(ctx context.Context, in *meshpb.PublishedRequest) (*meshpb.PublishedReply, error) {
	if in.WaitMs > 0 {
		if err := s.wait(ctx, in); err != nil {
			return nil, err
		}
	}
	state := s.follower.State()
	answer := &meshpb.PublishedReply{}
	if state.Version() > catalog.Version(in.Version) {
		answer.Configuration = state.Configuration()
	}
	if state.Revision() <= catalog.Revision(in.Revision) {
		return answer, nil
	}
	answer.Revision, answer.Holding = uint64(state.Revision()), state.Directory.HasPendingRemovals()
	if changes, kept := state.ChangesSince(catalog.Revision(in.Revision)); kept && in.TakesChanges {
		answer.Partial = true
		for i := range changes {
			answer.Changes = append(answer.Changes, changeMessage(&changes[i]))
		}
		return answer, nil
	}
	for _, i := range state.Directory.Listed() {
		answer.Instances = append(answer.Instances, instanceMessage(&i))
	}
	return answer, nil
}

func changeMessage(c *catalog.Change) *meshpb.Change {
	message := &meshpb.Change{Id: string(c.ID), Revision: uint64(c.Revision)}
	if c.Instance != nil {
		message.Instance = instanceMessage(c.Instance)
	}
	return message
}

// wait returns once the node knows something newer, or the time is over.
func (s *controlService) wait(ctx context.Context, in *meshpb.PublishedRequest) error {
	timer := time.NewTimer(time.Duration(in.WaitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		if s.leaving.Load() || s.follower.StoreLost() {
			return errNotReader
		}
		changed := s.follower.Changed()
		state := s.follower.State()
		if uint64(state.Version()) > in.Version || uint64(state.Revision()) > in.Revision {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// newControlServer returns the server of the control listener.
func newControlServer(service *controlService) *http.Server {
	const readTimeout = 5 * time.Second
	return &http.Server{
		Handler:     meshpb.NewMeshServer(service),
		ReadTimeout: readTimeout, IdleTimeout: 4 * defaultIdle,
	}
}

// answerUnreadable answers a request whose header can not be read.
func answerUnreadable(ctx *fasthttp.RequestCtx, err error) {
	var tooLarge *fasthttp.ErrSmallBuffer
	var failed net.Error
	status := fasthttp.StatusBadRequest
	switch {
	case errors.As(err, &tooLarge):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &failed) && failed.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	ctx.Response.Header.SetNoDefaultContentType(true)
	ctx.SetStatusCode(status)
}

// newDataServer returns a server for one of the data listeners.
func newDataServer(handler fasthttp.RequestHandler, limits serverLimits, log *serverLog) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      handler,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		KeepHijackedConns:            false,
		ReduceMemoryUsage:            true, // most connections are idle
		ReadBufferSize:               limits.headerBytes,
		MaxRequestBodySize:           limits.bodyBytes,
		Concurrency:                  limits.connections,
		ReadTimeout:                  limits.readTimeout,
		WriteTimeout:                 limits.writeTimeout,
		IdleTimeout:                  limits.idleTimeout,
		ErrorHandler:                 answerUnreadable,
		Logger:                       log,
	}
}
