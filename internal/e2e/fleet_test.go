package e2e

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/internal/standin/platform"
)

// Keys of the two workspaces that every fleet starts with.
const (
	hakataKey   = "workspace-key-hakata-7f3a"
	nagasakiKey = "workspace-key-nagasaki-91c2"
)

// fleetSecret is the secret, in hexadecimal, that signs passes in every fleet.
const fleetSecret = "000102030405060708090a0b0c0d0e0f"

const fleetValue = `classes:
  - {name: settlement, target: {completion: 0.999, within: 10s}}
  - {name: browse, target: {completion: 0.99, within: 20s}}
  - {name: bulk, target: {completion: 0.9, within: 10m}}
services: [claims, treaty]
keyShards: 1
`

const routes = `defaultClass: browse
routes:
  - {method: POST, path: /settlements, class: settlement}
  - {method: POST, path: /quotes, class: browse, idempotent: true}
  - {path: /files, class: bulk}
  - {path: /open, class: browse, open: true}
  - {path: /open/closed, class: browse}
`

// fleet is a platform stand-in with the nodes that it configures.
type fleet struct {
	t        *testing.T
	platform *platform.Server
	address  string // of the platform
	nodes    []*node
}

// node is a node process with the address of its upstream.
type node struct {
	*process
	id, service, upstream                   string
	public, loopback, peer, control, status string // listener addresses
	state                                   string // as published; "unlisted" leaves the node out
	settings                                string // path of the settings file
}

// startFleet starts a node for each upstream, given as service=address, and
// waits until every node is ready and reaches every service.
func startFleet(t *testing.T, upstreams ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, platform: platform.New(platform.Config{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = listener.Addr().String()
	go func() { _ = f.platform.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	f.platform.Publish("fleet", []byte(fleetValue))
	for _, service := range []string{"claims", "treaty"} {
		f.platform.Publish("services/"+service, []byte("service: "+service+"\n"+routes))
	}
	f.publishKeys(hakataKey, nagasakiKey)
	for i, upstream := range upstreams {
		service, address, _ := strings.Cut(upstream, "=")
		f.nodes = append(f.nodes, f.newNode(fmt.Sprintf("%s-%d", service, i), service, address))
	}
	f.publishInstances()
	for _, n := range f.nodes {
		f.start(n)
	}
	f.waitReady()
	return f
}

// publishKeys publishes the keys of the two workspaces. A workspace whose key is
// empty is published without keys.
func (f *fleet) publishKeys(hakataKey, nagasakiKey string) {
	value := "shard: 0\nworkspaces:\n"
	for _, w := range [][2]string{{"hakata", hakataKey}, {"nagasaki", nagasakiKey}} {
		value += fmt.Sprintf("  - name: %s\n    rate: 10000\n    burst: 10000\n    keys:", w[0])
		if w[1] == "" {
			value += " []\n"
			continue
		}
		sum := sha256.Sum256([]byte(w[1]))
		value += "\n      - digest: sha256:" + hex.EncodeToString(sum[:]) + "\n"
	}
	f.platform.Publish("keys/0", []byte(value))
}

// publishInstances publishes the instance list of each service.
func (f *fleet) publishInstances() {
	for _, service := range []string{"claims", "treaty"} {
		value := "service: " + service + "\ninstances:"
		empty := true
		for _, n := range f.nodes {
			if n.service == service && n.state != "unlisted" {
				value += fmt.Sprintf("\n  - {id: %s, zone: a, peer: %q, control: %q, state: %q}", n.id, n.peer, n.control, n.state)
				empty = false
			}
		}
		if empty {
			value += " []"
		}
		f.platform.Publish("instances/"+service, []byte(value+"\n"))
	}
}

// newNode chooses a node's addresses and writes its settings, without starting
// it.
func (f *fleet) newNode(id, service, upstream string) *node {
	f.t.Helper()
	n := &node{id: id, service: service, upstream: upstream, state: "live"}
	for _, address := range []*string{&n.public, &n.loopback, &n.peer, &n.control, &n.status} {
		*address = freeAddress(f.t)
	}
	n.settings = filepath.Join(f.t.TempDir(), id+".yaml")
	text := fmt.Sprintf(`instance: %s
zone: a
service: %s
listen: {public: %q, loopback: %q, peer: %q, control: %q, operator: %q}
upstream: {address: %q, healthPath: /health, loadPath: /load}
platform: {address: %q}
secrets: [%s]
shutdown: {notice: 500ms, timeout: 20s}
quota: {listLag: 200ms, isolateAfter: 2s}
`, id, service, n.public, n.loopback, n.peer, n.control, n.status, upstream, f.address, fleetSecret)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return n
}

// start starts the process of a node.
func (f *fleet) start(n *node) {
	f.t.Helper()
	n.process = startProcess(f.t, n.id, "toucancove", "run", "--settings", n.settings)
}

// waitReady waits until every node is ready and reaches every service.
func (f *fleet) waitReady() {
	f.t.Helper()
	for _, n := range f.nodes {
		waitFor(f.t, n.id+" is ready", func() bool {
			resp, err := http.Get("http://" + n.status + "/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
		for _, other := range f.nodes {
			waitFor(f.t, n.id+" reaches "+other.service, func() bool {
				return send(n, "GET", "/"+other.service+"/ready", hakataKey, nil).status == http.StatusOK
			})
		}
	}
}

// handlerUpstream serves a handler as an upstream in the test process and
// returns its address.
func handlerUpstream(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// standin is a stand-in upstream process.
type standin struct {
	*process
	address string
}

// startStandin starts a stand-in upstream with the given flags and waits until it
// listens.
func startStandin(t *testing.T, flags ...string) *standin {
	t.Helper()
	s := &standin{address: freeAddress(t)}
	args := append([]string{"upstream", "--listen", s.address}, flags...)
	s.process = startProcess(t, "upstream "+s.address, "standin", args...)
	waitFor(t, "the upstream listens", func() bool {
		resp, err := http.Get("http://" + s.address + "/health")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return true
	})
	return s
}

func instanceID(n *node) member.InstanceID { return member.InstanceID(n.id) }

func fleetSecretBytes(t *testing.T) string {
	t.Helper()
	secret, err := hex.DecodeString(fleetSecret)
	if err != nil {
		t.Fatal(err)
	}
	return string(secret)
}
