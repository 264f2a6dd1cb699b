package peer

import (
	"context"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/relay"
	"github.com/toucancove/toucancove/internal/standin/flood"
	"github.com/toucancove/toucancove/peer/peerpb"
)

func TestEndlessResponsesOfPeersAreNotKept(t *testing.T) {
	const callTimeout = time.Second
	for name, call := range map[string]func(ctx context.Context, clients *Clients, address string) error{
		"quota": func(ctx context.Context, clients *Clients, address string) error {
			_, err := clients.For("i", address).Exchange(ctx, &peerpb.QuotaBatch{})
			return err
		},
		"relay": func(ctx context.Context, clients *Clients, address string) error {
			_, err := clients.Relay("i", address).Exchange(ctx, relay.Digest{})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			flood.CheckReader(t, 2, "Content-Type: application/protobuf\r\n", func(address string) error {
				clients := NewClients(NewAuthenticator([]byte("secret")), nil, &Meter{})
				defer clients.Close()
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				defer cancel()
				return call(ctx, clients, address)
			})
		})
	}
}
