package valuestore_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/toucancove/toucancove/config"
	standin "github.com/toucancove/toucancove/internal/standin/platform"
	"github.com/toucancove/toucancove/valuestore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startServer(t *testing.T, handler http.Handler) *valuestore.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client, err := valuestore.NewClient(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client
}

func TestGet(t *testing.T) {
	const name = "keys/0"
	tests := []struct {
		name   string
		config standin.Config
		faults standin.Faults
		read   string
		after  config.Revision
		want   config.Revision
		err    error
	}{
		{name: "newest", read: name, want: 2},
		{name: "nothing newer", read: name, after: 2, err: valuestore.ErrNotModified},
		{name: "unknown", read: "keys/1", err: valuestore.ErrNotFound},
		{name: "too large", read: "fleet", err: valuestore.ErrTooLarge},
		{name: "outage", read: name, faults: standin.Faults{Outage: true}, err: valuestore.ErrUnavailable},
		{name: "backwards", read: name, after: 2, faults: standin.Faults{Backwards: true}, want: 1},
		{name: "lag", read: name, faults: standin.Faults{LagMillis: 3_600_000}, err: valuestore.ErrNotFound},
		{name: "above the rate limit", config: standin.Config{RateLimit: -1}, read: name, err: valuestore.ErrThrottled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := standin.New(tt.config)
			client := startServer(t, server.Handler())
			server.Publish(name, []byte("shard: 0\n"))
			server.Publish(name, []byte("revision: 77\nshard: 0\n"))
			server.Publish("fleet", make([]byte, config.MaxBytes))
			server.SetFaults(tt.faults)
			got, err := client.Get(context.Background(), tt.read, tt.after, 0)
			if !errors.Is(err, tt.err) || got.Revision != tt.want {
				t.Fatalf("Get = revision %d, %v; want %d, %v", got.Revision, err, tt.want, tt.err)
			}
			if err == nil {
				if _, err := config.Parse(name, got.Body, got.Revision); err != nil {
					t.Errorf("body and header disagree: %v", err)
				}
			}
		})
	}
}

func TestStaleHidesLaterPublications(t *testing.T) {
	now := time.Unix(0, 0)
	server := standin.New(standin.Config{Now: func() time.Time { return now }})
	client := startServer(t, server.Handler())
	server.Publish("fleet", nil)
	server.SetFaults(standin.Faults{Stale: true})
	now = now.Add(time.Second)
	server.Publish("fleet", nil)
	for _, stale := range []bool{true, false} {
		server.SetFaults(standin.Faults{Stale: stale})
		got, err := client.Get(context.Background(), "fleet", 0, 0)
		if want := map[bool]config.Revision{true: 1, false: 2}[stale]; err != nil || got.Revision != want {
			t.Errorf("stale %v: revision %d, %v; want %d", stale, got.Revision, err, want)
		}
	}
}

func TestWatchEndsWithPublication(t *testing.T) {
	server := standin.New(standin.Config{})
	client := startServer(t, server.Handler())
	first := server.Publish("fleet", nil)
	got := make(chan valuestore.Value)
	go func() {
		value, _ := client.Get(context.Background(), "fleet", first, time.Minute)
		got <- value
	}()
	for server.Stats().Waiting == 0 {
		runtime.Gosched()
	}
	server.Publish("fleet", []byte("keyShards: 1\n"))
	if value := <-got; value.Revision != first+1 {
		t.Errorf("watch ended with revision %d; want %d", value.Revision, first+1)
	}
	if calls := server.Stats().Calls; calls != 1 {
		t.Errorf("%d calls counted; want 1 for a watch that waits", calls)
	}
}

func TestGetEndsWithItsContext(t *testing.T) {
	server := standin.New(standin.Config{})
	client := startServer(t, server.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := client.Get(ctx, "fleet", 0, time.Minute)
		done <- err
	}()
	for server.Stats().Waiting == 0 {
		runtime.Gosched()
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("error %v; want that of the context", err)
	}
}

func TestInvalidResponses(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		err     error
	}{
		{"no revision", func(http.ResponseWriter, *http.Request) {}, valuestore.ErrMalformed},
		{"truncated body", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(valuestore.RevisionHeader, "1")
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("cut"))
		}, valuestore.ErrUnavailable},
		{"error status", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, valuestore.ErrUnavailable},
	}
	for _, tt := range tests {
		client := startServer(t, tt.handler)
		if _, err := client.Get(context.Background(), "fleet", 0, 0); !errors.Is(err, tt.err) {
			t.Errorf("%s: %v; want %v", tt.name, err, tt.err)
		}
	}
	if _, err := valuestore.NewClient("host:80"); !errors.Is(err, valuestore.ErrAddress) {
		t.Errorf("host name accepted: %v", err)
	}
}
