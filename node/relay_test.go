package node

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/internal/standin/platform"
	"github.com/toucancove/toucancove/settings"
)

// testFleet is a fleet of nodes of one service, run in this process.
type testFleet struct {
	tb           testing.TB
	platform     *platform.Server
	platformDown map[member.Zone]*atomic.Bool // by zone; true if it can't reach the platform
	settings     []settings.Settings
	nodes        []*Node
	stops        []func()
}

// startFleet starts nodes spread over zones and waits until all are ready.
func startFleet(tb testing.TB, nodes, zones int) *testFleet {
	tb.Helper()
	f := &testFleet{tb: tb, platform: platform.New(platform.Config{}), platformDown: make(map[member.Zone]*atomic.Bool)}
	var list strings.Builder
	for i := range nodes {
		s := settings.Default()
		s.Instance = member.InstanceID(fmt.Sprintf("claims-%d", i))
		s.Zone = member.Zone(fmt.Sprintf("z%d", i%zones))
		s.Service = "claims"
		s.Upstream.Address = "127.0.0.1:1"
		s.Secrets = []settings.Secret{make([]byte, settings.MinSecretBytes)}
		s.Shutdown.Notice = 0
		s.Listen = settings.Listen{
			Public: freeAddress(tb), Loopback: freeAddress(tb), Peer: freeAddress(tb),
			Control: freeAddress(tb), Operator: freeAddress(tb),
		}
		s.Platform.Address = f.platformAddress(s.Zone)
		fmt.Fprintf(&list, "  - {id: %s, zone: %s, peer: %q, control: %q}\n", s.Instance, s.Zone, s.Listen.Peer, s.Listen.Control)
		f.settings = append(f.settings, s)
	}
	f.platform.Publish("fleet", []byte("classes: [{name: browse, target: {completion: 0.99, within: 5s}}]\nservices: [claims]\nkeyShards: 1\n"))
	f.platform.Publish("services/claims", []byte("service: claims\ndefaultClass: browse\nroutes: []\n"))
	f.platform.Publish("instances/claims", []byte("service: claims\ninstances:\n"+list.String()))
	f.publishKey("first")
	for i := range nodes {
		f.nodes, f.stops = append(f.nodes, nil), append(f.stops, nil)
		f.start(i)
	}
	tb.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
	})
	f.eventually("all nodes are ready", (*Node).Ready)
	return f
}

// platformAddress returns the address under which a zone reaches the platform.
func (f *testFleet) platformAddress(zone member.Zone) string {
	down := &atomic.Bool{}
	f.platformDown[zone] = down
	handler := f.platform.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if down.Load() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	f.tb.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func (f *testFleet) start(i int) {
	n, err := New(f.settings[i], logr.Discard())
	if err != nil {
		f.tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		if err := n.Run(ctx, context.Background()); err != nil {
			f.tb.Errorf("node %d: %v", i, err)
		}
		close(ended)
	}()
	f.nodes[i] = n
	f.stops[i] = func() { cancel(); <-ended }
}

// publishKey publishes the keys value with a single key.
func (f *testFleet) publishKey(key string) config.Revision {
	return f.platform.Publish("keys/0", fmt.Appendf(nil,
		"shard: 0\nworkspaces: [{name: w, rate: 100, burst: 100, keys: [{digest: \"sha256:%x\"}]}]\n", sha256.Sum256([]byte(key))))
}

func (f *testFleet) eventually(what string, holds func(*Node) bool) {
	f.tb.Helper()
	waitFor(f.tb, what, func() bool {
		for _, n := range f.nodes {
			if !holds(n) {
				return false
			}
		}
		return true
	})
}

func (f *testFleet) eventuallyInForce(name string, revision config.Revision) {
	f.tb.Helper()
	f.eventually(fmt.Sprintf("%s@%d is in force", name, revision), func(n *Node) bool {
		return n.control.View().Revision(name) >= revision
	})
}

func hasKey(n *Node, key string) bool {
	_, _, ok := n.control.View().LookupKey(sha256.Sum256([]byte(key)))
	return ok
}

func TestZonePartitionedFromPlatform(t *testing.T) {
	f := startFleet(t, 6, 3)
	f.platformDown["z0"].Store(true)
	f.platform.SetFaults(platform.Faults{}) // wakes all watches without ending them
	revision := f.publishKey("second")
	f.eventuallyInForce("keys/0", revision)
	revision = f.publishKey("third") // the watches of z0 have failed by now
	f.eventuallyInForce("keys/0", revision)
	f.eventually("withdrawn key is unknown", func(n *Node) bool { return !hasKey(n, "second") && hasKey(n, "third") })
}

func TestPlatformOutage(t *testing.T) {
	f := startFleet(t, 4, 2)
	f.platform.SetFaults(platform.Faults{Outage: true})
	revision := f.publishKey("second")
	f.eventually("the last values stay in force", func(n *Node) bool { return n.Ready() && hasKey(n, "first") })
	f.platform.SetFaults(platform.Faults{})
	f.eventuallyInForce("keys/0", revision)
}

func TestRestartWithStalePlatform(t *testing.T) {
	f := startFleet(t, 6, 3)
	revision := f.publishKey("second")
	f.eventuallyInForce("keys/0", revision)
	f.platform.SetFaults(platform.Faults{Backwards: true})
	for i := range 2 {
		f.stops[i]()
		f.start(i)
		waitFor(t, "restarted node is ready", f.nodes[i].Ready)
		if got := f.nodes[i].control.View().Revision("keys/0"); got != revision {
			t.Errorf("restarted node is ready with keys/0 at %d; want %d", got, revision)
		}
	}
	f.eventually("no node accepts the old key again", func(n *Node) bool { return !hasKey(n, "first") })
}

func TestStoppedNodeBecomesGone(t *testing.T) {
	f := startFleet(t, 3, 1)
	f.stops[2]()
	f.stops[2] = func() {}
	stateOf := func(n *Node) string {
		for _, m := range n.Status().Members {
			if m.Instance == f.settings[2].Instance {
				return m.State
			}
		}
		return ""
	}
	others := &testFleet{tb: t, nodes: f.nodes[:2]}
	others.eventually("the other nodes list it as gone", func(n *Node) bool { return stateOf(n) == "gone" })
	others.eventuallyInForce("keys/0", f.publishKey("second"))
	f.start(2)
	others.eventually("the other nodes list it as live again", func(n *Node) bool { return stateOf(n) == "live" })
}

// During an outage of the platform a restarted node obtains the values from its
// peers, which reach it at its listed address.
func TestRestartDuringOutage(t *testing.T) {
	f := startFleet(t, 4, 2)
	revision := f.publishKey("second")
	f.eventuallyInForce("keys/0", revision)
	f.platform.SetFaults(platform.Faults{Outage: true})
	f.stops[0]()
	f.start(0)
	waitFor(t, "restarted node is ready", f.nodes[0].Ready)
	if got := f.nodes[0].control.View().Revision("keys/0"); got != revision {
		t.Errorf("restarted node is ready with keys/0 at %d; want %d", got, revision)
	}
}

func TestRejectedValueKeepsPrevious(t *testing.T) {
	f := startFleet(t, 4, 2)
	f.platform.Publish("keys/0", []byte("shard: 0\nworkspaces: [{name: w, rate: -1, burst: 1, keys: []}]\n"))
	waitFor(t, "a relay rejects the value", func() bool {
		for _, n := range f.nodes {
			if n.Status().Configuration.LastError != "" {
				return true
			}
		}
		return false
	})
	f.eventually("the last value stays in force", func(n *Node) bool { return hasKey(n, "first") })
	f.eventuallyInForce("keys/0", f.publishKey("good"))
}
