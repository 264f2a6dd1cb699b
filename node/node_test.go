package node

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"github.com/toucancove/toucancove/internal/standin/platform"
	"github.com/toucancove/toucancove/settings"
	"github.com/toucancove/toucancove/telemetry"
)

const testKey = "key-lifecycle"

// waitTimeout bounds the wait for a condition.
const waitTimeout = 20 * time.Second

func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: condition not met within %v", what, waitTimeout)
}

// freeAddress returns an address on a random loopback IP. Outgoing connections
// start from 127.0.0.1 and so can't take its port before the test listens on it.
func freeAddress(t testing.TB) string {
	t.Helper()
	host := net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	listener, err := net.Listen("tcp", net.JoinHostPort(host.String(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// startPlatform serves the configuration of one service with one instance and
// returns the platform's address.
func startPlatform(t *testing.T, s settings.Settings) string {
	t.Helper()
	server := platform.New(platform.Config{})
	server.Publish("fleet", []byte("classes: [{name: browse, target: {completion: 0.99, within: 5s}}]\nservices: [claims]\nkeyShards: 1\n"))
	server.Publish("services/claims", []byte("service: claims\ndefaultClass: browse\nroutes: []\n"))
	server.Publish("instances/claims", fmt.Appendf(nil, "service: claims\ninstances: [{id: %s, zone: %s, peer: %q, control: %q}]\n",
		s.Instance, s.Zone, s.Listen.Peer, s.Listen.Control))
	server.Publish("keys/0", fmt.Appendf(nil, "shard: 0\nworkspaces: [{name: w, rate: 100, burst: 100, keys: [{digest: \"sha256:%x\"}]}]\n",
		sha256.Sum256([]byte(testKey))))
	web := httptest.NewServer(server.Handler())
	t.Cleanup(func() {
		web.CloseClientConnections()
		web.Close()
	})
	return web.Listener.Addr().String()
}

func testSettings(t *testing.T) settings.Settings {
	t.Helper()
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "terms")
	}))
	t.Cleanup(upstream.Close)
	s := settings.Default()
	s.Instance, s.Zone, s.Service = "claims-1", "a", "claims"
	s.Listen = settings.Listen{
		Public: freeAddress(t), Loopback: freeAddress(t), Peer: freeAddress(t),
		Control: freeAddress(t), Operator: freeAddress(t),
	}
	s.Upstream.Address = upstream.Listener.Addr().String()
	s.Secrets = []settings.Secret{make([]byte, settings.MinSecretBytes)}
	s.Shutdown.Notice = 0
	s.Quota = settings.Quota{ListLag: 100 * time.Millisecond, IsolateAfter: 400 * time.Millisecond}
	s.Platform.Address = startPlatform(t, s)
	return s
}

// TestNodeServesAndStops runs a whole node in this process and checks that it
// leaves no goroutines behind.
func TestNodeServesAndStops(t *testing.T) {
	ignored := goleak.IgnoreCurrent()
	t.Run("node", func(t *testing.T) {
		s := testSettings(t)
		n, err := New(s, logr.Discard())
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- n.Run(ctx, context.Background()) }()
		waitFor(t, "node is ready", n.Ready)
		req, _ := http.NewRequest(http.MethodGet, "http://"+s.Listen.Public+"/claims/terms", nil)
		req.Header.Set("X-Api-Key", testKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK || string(body) != "terms" {
			t.Fatalf("status %d, body %q", resp.StatusCode, body)
		}
		for _, series := range []*telemetry.Series{n.metrics.Class("browse"), n.metrics.Workspace("w")} {
			waitFor(t, "the request is counted", func() bool {
				return series.Completed.Count() == 1 && series.Latency.Count() == 1 &&
					series.Size.Max() == int64(len(body)) && series.QueueDelay.Count() == 1
			})
		}
		stop()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
		http.DefaultClient.CloseIdleConnections()
	})
	// These goroutines of the HTTP library end by themselves after a sleep, or
	// are shared by the whole process.
	goleak.VerifyNone(t, ignored,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
	)
}
