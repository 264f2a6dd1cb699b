package mesh

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/follow"
	"github.com/toucancove/toucancove/internal/sockets"
	"github.com/toucancove/toucancove/internal/wellformed"
	"github.com/toucancove/toucancove/peer/meshpb"
)

// peers holds the connection pools to the guards of other nodes. It is safe for
// concurrent use.
type peers struct {
	headers         Headers
	port            uint16
	observeVersions func(address string, v versions)
	quarantines     *quarantines

	mu    sync.Mutex
	pools map[string]*connPool
}

func newPeers(headers Headers, port uint16, observeVersions func(address string, v versions), q *quarantines) *peers {
	return &peers{headers: headers, port: port, observeVersions: observeVersions, quarantines: q, pools: make(map[string]*connPool)}
}

func (p *peers) pool(address string) *connPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.pools[address]
	if pool == nil {
		pool = newConnPool(address, p.headers.RequestID)
		pool.idOptional = true
		p.pools[address] = pool
	}
	return pool
}

// closeExpired closes expired idle connections and drops the pools of addresses that
// are no longer listed.
func (p *peers) closeExpired(now time.Time, state *follow.State) {
	listed := make(map[string]bool)
	for _, instance := range state.Instances() {
		listed[nodeAddress(instance, p.port)] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pool := range p.pools {
		if !listed[address] {
			delete(p.pools, address)
			pool.closeIdle(pool.currentEpoch())
			continue
		}
		pool.closeExpired(now)
	}
}

// send forwards a request to the guard of the chosen instance.
func (p *peers) send(ctx context.Context, r *request, to pick) outcome {
	address := nodeAddress(to.instance, p.port)
	received, err := p.pool(address).exchange(ctx, r.out, exchangeOptions{
		body: r.body, sendings: &r.sendings, deadline: r.deadline, atMostOnce: !r.route.Kind.Repeatable(),
	})
	if err != nil {
		return exchangeFailure(ctx, err)
	}
	return p.guardOutcome(to.instance, received)
}

// guardOutcome returns the outcome that the response of a guard reports.
func (p *peers) guardOutcome(instance catalog.Instance, received *receivedResponse) outcome {
	header := &received.raw.Header
	var o outcome
	switch {
	case len(header.Peek(headerRefused)) > 0:
		o = refusedOutcome(reason(header.Peek(headerRefused)), "guard")
		o.reached = o.reason == reasonConnectFailed
	case len(header.Peek(headerFailed)) > 0:
		o = failedOutcome(reason(header.Peek(headerFailed)), "guard")
	case len(header.Peek(headerHint)) == 0:
		// The guard sends a hint with each response of its instance.
		o = failedOutcome(reasonInternal, fmt.Sprintf("status %d is not from a guard", received.raw.StatusCode()))
	default:
		o = classifyResponse(received, p.headers.NotRun)
		o.callNotRun = len(header.Peek(headerCallNotRun)) > 0
	}
	if h, ok := parseHint(string(header.Peek(headerHint))); ok {
		o.hint, o.hasHint = h, true
		if v, ok := h.withEra(header.Peek(headerEra)); ok {
			p.observeVersions(instanceIP(instance), v)
		}
	}
	if o.response == nil {
		p.quarantines.merge(decodeMarks(header.Peek(headerMarks)), string(instance.ID))
		received.release()
	}
	return o
}

// controlClients holds the RPC clients of the control service of other nodes. It is
// safe for concurrent use.
type controlClients struct {
	http *http.Client
	log  logr.Logger

	mu      sync.Mutex
	clients map[string]meshpb.Mesh
}

const (
	// controlTimeout bounds one RPC to another node.
	controlTimeout = 500 * time.Millisecond
	// maxReplyBytes bounds the reply to an RPC in bytes: a configuration of 1 MiB and the
	// whole list of instances.
	maxReplyBytes = 2 << 20
)

func newControlClients(log logr.Logger) *controlClients {
	dialer := sockets.Dialer(dialTimeout, tcpUserTimeout)
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: defaultIdleTimeout}
	return &controlClients{
		http: &http.Client{Transport: wellformed.NewTransport(transport, maxReplyBytes)}, log: log, clients: make(map[string]meshpb.Mesh),
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
func (c *controlClients) Published(ctx context.Context, address string, query follow.Query) (follow.Snapshot, error) {
	reply, err := c.client(address).Published(ctx, &meshpb.PublishedRequest{
		Version: uint64(query.Version), Era: uint64(query.Position.Era), Revision: uint64(query.Position.Revision),
		WaitMs: uint32(query.Wait.Milliseconds()), TakesChanges: true, Joining: query.Joining,
	})
	if err != nil {
		return follow.Snapshot{}, err
	}
	snapshot := follow.Snapshot{
		Position:      catalog.Position{Era: catalog.Era(reply.Era), Revision: catalog.Revision(reply.Revision)},
		Configuration: reply.Configuration, Holding: reply.Holding, Partial: reply.Partial, EraConfirmed: reply.EraConfirmed,
	}
	if reply.ConfirmedAgeMs != nil {
		snapshot.ConfirmedAt = time.Now().Add(-time.Duration(*reply.ConfirmedAgeMs) * time.Millisecond)
	}
	for _, sent := range reply.Corrections {
		snapshot.Corrections = append(snapshot.Corrections, catalog.Correction{
			Write: catalog.Write{ID: member.InstanceID(sent.Id), Digest: sent.Digest}, Instance: c.instanceFrom(address, sent.Instance),
		})
	}
	for _, sent := range reply.Instances {
		if instance := c.instanceFrom(address, sent); instance != nil {
			snapshot.Instances = append(snapshot.Instances, *instance)
		}
	}
	for _, sent := range reply.Changes {
		snapshot.Changes = append(snapshot.Changes, catalog.Change{
			ID: member.InstanceID(sent.Id), Revision: catalog.Revision(sent.Revision), Instance: c.instanceFrom(address, sent.Instance),
		})
	}
	return snapshot, nil
}

// instanceFrom returns an instance that a node sent. It returns nil if there is none, or
// if it is not usable: nodes of an earlier version pass on what they accepted.
func (c *controlClients) instanceFrom(address string, i *meshpb.Instance) *catalog.Instance {
	if i == nil {
		return nil
	}
	instance := catalog.Instance{
		ID: member.InstanceID(i.Id), Service: i.Service, Address: i.Address, Zone: member.Zone(i.Zone),
		Slots: int(i.Slots), Boot: member.BootID(i.BootId), Draining: i.Draining,
		Created: catalog.Revision(i.Created), Digest: i.Digest,
	}
	if err := instance.Validate(); err != nil {
		c.log.Info("invalid entry of another node's list ignored", "peer", address, "id", i.Id, "reason", err.Error())
		return nil
	}
	return &instance
}

func correctionMessage(c *catalog.Correction) *meshpb.Correction {
	message := &meshpb.Correction{Id: string(c.Write.ID), Digest: c.Write.Digest}
	if c.Instance != nil {
		message.Instance = instanceMessage(c.Instance)
	}
	return message
}

func instanceMessage(i *catalog.Instance) *meshpb.Instance {
	return &meshpb.Instance{
		Id: string(i.ID), Service: i.Service, Address: i.Address, Zone: string(i.Zone),
		Slots: uint32(i.Slots), BootId: uint64(i.Boot), Draining: i.Draining,
		Created: uint64(i.Created), Digest: i.Digest,
	}
}

// controlService serves the RPCs of other nodes.
type controlService struct {
	follower    *follow.Follower
	quota       *quota
	quarantines *quarantines
	leaving     *atomic.Bool
}

// errNotReader means that the node can't be long-polled for changes of the store.
var errNotReader = twirp.NewError(twirp.Unavailable, "node has lost the store, has an outdated copy or stops")

// DrawTokens implements the twirp service.
func (s *controlService) DrawTokens(_ context.Context, in *meshpb.DrawRequest) (*meshpb.DrawReply, error) {
	reply := s.quota.handleDraw(in)
	reply.Marks = s.quarantines.handleExchange(in.Node, in.Marks)
	return reply, nil
}

// ExchangeMarks implements the twirp service.
func (s *controlService) ExchangeMarks(_ context.Context, in *meshpb.MarkExchangeRequest) (*meshpb.MarkExchangeReply, error) {
	return &meshpb.MarkExchangeReply{Marks: s.quarantines.handleExchange(in.Node, in.Marks)}, nil
}

// Published implements the twirp service.
func (s *controlService) Published(ctx context.Context, in *meshpb.PublishedRequest) (*meshpb.PublishedReply, error) {
	if in.WaitMs > 0 {
		if err := s.waitForChange(ctx, in); err != nil {
			return nil, err
		}
	}
	// Read before the state, which may be replaced and confirmed in between.
	age := s.confirmedAgeMs(time.Now())
	state := s.follower.State()
	reply := &meshpb.PublishedReply{ConfirmedAgeMs: age}
	if state.Version() > catalog.Version(in.Version) {
		reply.Configuration = state.Configuration()
	}
	if in.Joining && state.Directory != nil {
		for _, c := range state.Directory.Corrections(time.Now()) {
			reply.Corrections = append(reply.Corrections, correctionMessage(&c))
		}
	}
	if !state.Position().Follows(position(in)) {
		return reply, nil
	}
	reply.Era, reply.Revision = uint64(state.Position().Era), uint64(state.Position().Revision)
	reply.EraConfirmed, reply.Holding = state.EraConfirmed(), state.Directory.HasPendingRemovals()
	if changes, kept := state.ChangesSince(position(in)); kept && in.TakesChanges {
		reply.Partial = true
		for i := range changes {
			reply.Changes = append(reply.Changes, changeMessage(&changes[i]))
		}
		return reply, nil
	}
	for _, i := range state.Directory.Listed() {
		reply.Instances = append(reply.Instances, instanceMessage(&i))
	}
	return reply, nil
}

// confirmedAgeMs returns the age of the copy in milliseconds, nil if it is not known.
func (s *controlService) confirmedAgeMs(now time.Time) *uint32 {
	age, ok := s.follower.ConfirmedAge(now)
	if !ok {
		return nil
	}
	return proto.Uint32(uint32(min(age.Milliseconds(), math.MaxUint32)))
}

// position returns the position of the list of the caller.
func position(in *meshpb.PublishedRequest) catalog.Position {
	return catalog.Position{Era: catalog.Era(in.Era), Revision: catalog.Revision(in.Revision)}
}

func changeMessage(c *catalog.Change) *meshpb.Change {
	message := &meshpb.Change{Id: string(c.ID), Revision: uint64(c.Revision)}
	if c.Instance != nil {
		message.Instance = instanceMessage(c.Instance)
	}
	return message
}

// waitForChange returns once the node has a newer state than the caller, or when
// the wait time has passed. It fails once the copy of the node is too old.
func (s *controlService) waitForChange(ctx context.Context, in *meshpb.PublishedRequest) error {
	deadline := time.Now().Add(time.Duration(in.WaitMs) * time.Millisecond)
	for {
		now := time.Now()
		fresh := s.follower.FreshFor(now)
		if s.leaving.Load() || fresh == 0 {
			return errNotReader
		}
		changed := s.follower.Changed()
		state := s.follower.State()
		if uint64(state.Version()) > in.Version || state.Position().Follows(position(in)) {
			return nil
		}
		remaining := deadline.Sub(now)
		if remaining <= 0 {
			return nil
		}
		select {
		case <-changed:
		case <-time.After(min(remaining, fresh)):
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
		ReadTimeout: readTimeout, IdleTimeout: 4 * defaultIdleTimeout,
	}
}

// handleGuardReadError responds to a request of another node that could not be read, and
// so was not passed on.
func handleGuardReadError(ctx *fasthttp.RequestCtx, err error) {
	handleReadError(ctx, err)
	ctx.Response.Header.Set(headerRefused, string(reasonUnreadable))
}

// handleReadError responds to a request that could not be read.
func handleReadError(ctx *fasthttp.RequestCtx, err error) {
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

// newDataServer returns an HTTP server for every listener but control.
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
		ErrorHandler:                 handleReadError,
		Logger:                       log,
	}
}
