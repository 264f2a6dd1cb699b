package peer

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/relay"
	"github.com/toucancove/toucancove/peer/relaypb"
)

// Errors of control calls.
var (
	// ErrUnreachable means that no connection to the peer could be opened.
	ErrUnreachable = eris.New("peer is unreachable")
	// ErrCallFailed means that a call failed after the connection was opened.
	ErrCallFailed = eris.New("call to peer failed")
)

// DigestAnswer is the reply to a digest together with the status of the peer.
type DigestAnswer struct {
	relay.DigestReply
	// Boot identifies the run of the peer's process.
	Boot member.BootID
	// Leaving is set once a planned stop of the peer has begun.
	Leaving bool
}

// Relay handles the messages by which peers exchange published values. An error
// means that the node is stopping.
type Relay interface {
	HandleAnnounce(ctx context.Context, message relay.Announce) error
	HandleDigest(ctx context.Context, message relay.Digest) (DigestAnswer, error)
	HandleFetch(ctx context.Context, message relay.Fetch) (relay.FetchReply, error)
}

// relayServer implements relaypb.Relay. It converts messages between the wire types
// and those of core/relay.
type relayServer struct{ relay Relay }

// Announce implements relaypb.Relay.
func (s *relayServer) Announce(ctx context.Context, in *relaypb.Announcement) (*relaypb.AnnounceReply, error) {
	err := s.relay.HandleAnnounce(ctx, relay.Announce{
		From:   member.InstanceID(in.From),
		Zone:   member.Zone(in.Zone),
		Values: decodeValues(in.Values),
	})
	return &relaypb.AnnounceReply{}, serverError(err)
}

// Exchange implements relaypb.Relay.
func (s *relayServer) Exchange(ctx context.Context, in *relaypb.Digest) (*relaypb.DigestReply, error) {
	reply, err := s.relay.HandleDigest(ctx, relay.Digest{
		From: member.InstanceID(in.From),
		Zone: member.Zone(in.Zone),
		Hash: in.Hash,
	})
	if err != nil {
		return nil, serverError(err)
	}
	return &relaypb.DigestReply{
		Ready:   reply.Ready,
		Same:    reply.Same,
		Known:   encodeVersions(reply.Known),
		BootId:  uint64(reply.Boot),
		Leaving: reply.Leaving,
	}, nil
}

// Fetch implements relaypb.Relay.
func (s *relayServer) Fetch(ctx context.Context, in *relaypb.FetchRequest) (*relaypb.FetchReply, error) {
	reply, err := s.relay.HandleFetch(ctx, relay.Fetch{
		From:   member.InstanceID(in.From),
		Wanted: decodeVersions(in.Wanted),
	})
	if err != nil {
		return nil, serverError(err)
	}
	return &relaypb.FetchReply{Values: encodeValues(reply.Values), More: reply.More}, nil
}

// serverError returns the twirp error for an error of a Relay.
func serverError(err error) error {
	if err == nil {
		return nil
	}
	return twirp.Unavailable.Error("node is stopping")
}

// RelayClient sends relay messages to one peer.
type RelayClient struct{ service relaypb.Relay }

// Relay returns the relay client of the node beside an instance, at its control
// address.
func (c *Clients) Relay(instance member.InstanceID, address string) *RelayClient {
	transport := &signingTransport{auth: c.auth, audience: instance, next: c.transport, meter: c.meter}
	return &RelayClient{
		service: relaypb.NewRelayProtobufClient(c.scheme+"://"+address, &http.Client{Transport: transport}),
	}
}

// Announce sends new values to the peer. Errors wrap ErrUnreachable or
// ErrCallFailed.
func (c *RelayClient) Announce(ctx context.Context, message relay.Announce) error {
	_, err := c.service.Announce(ctx, &relaypb.Announcement{
		From:   string(message.From),
		Zone:   string(message.Zone),
		Values: encodeValues(message.Values),
	})
	return clientError(err)
}

// Exchange sends a digest of this node's revisions and returns how those of the
// peer compare. Errors wrap ErrUnreachable or ErrCallFailed.
func (c *RelayClient) Exchange(ctx context.Context, message relay.Digest) (DigestAnswer, error) {
	out, err := c.service.Exchange(ctx, &relaypb.Digest{
		From: string(message.From),
		Zone: string(message.Zone),
		Hash: message.Hash,
	})
	if err != nil {
		return DigestAnswer{}, clientError(err)
	}
	return DigestAnswer{
		DigestReply: relay.DigestReply{Ready: out.Ready, Same: out.Same, Known: decodeVersions(out.Known)},
		Boot:        member.BootID(out.BootId),
		Leaving:     out.Leaving,
	}, nil
}

// Fetch requests the bodies of values from the peer. Errors wrap ErrUnreachable or
// ErrCallFailed.
func (c *RelayClient) Fetch(ctx context.Context, message relay.Fetch) (relay.FetchReply, error) {
	out, err := c.service.Fetch(ctx, &relaypb.FetchRequest{
		From:   string(message.From),
		Wanted: encodeVersions(message.Wanted),
	})
	if err != nil {
		return relay.FetchReply{}, clientError(err)
	}
	return relay.FetchReply{Values: decodeValues(out.Values), More: out.More}, nil
}

// clientError wraps an error of a call in ErrUnreachable or ErrCallFailed.
func clientError(err error) error {
	if err == nil {
		return nil
	}
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	return eris.Wrap(ErrCallFailed, err.Error())
}

func encodeVersions(versions []relay.Version) []*relaypb.Version {
	out := make([]*relaypb.Version, len(versions))
	for i, v := range versions {
		out[i] = &relaypb.Version{Name: v.Name, Revision: v.Revision}
	}
	return out
}

func decodeVersions(versions []*relaypb.Version) []relay.Version {
	out := make([]relay.Version, len(versions))
	for i, v := range versions {
		out[i] = relay.Version{Name: v.GetName(), Revision: v.GetRevision()}
	}
	return out
}

func encodeValues(values []relay.Value) []*relaypb.Value {
	out := make([]*relaypb.Value, len(values))
	for i, v := range values {
		out[i] = &relaypb.Value{Name: v.Name, Revision: v.Revision, Body: v.Body}
	}
	return out
}

func decodeValues(values []*relaypb.Value) []relay.Value {
	out := make([]relay.Value, len(values))
	for i, v := range values {
		out[i] = relay.Value{
			Version: relay.Version{Name: v.GetName(), Revision: v.GetRevision()},
			Body:    v.GetBody(),
		}
	}
	return out
}
