package proxy

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/once"
	"github.com/toucancove/toucancove/core/pass"
	"github.com/toucancove/toucancove/telemetry"
)

const rigSecret = "0123456789abcdef"

// rig is a fleet in one process for tests: guards with one scripted upstream
// each, and entries, all on loopback addresses.
type rig struct {
	tb         testing.TB
	view       *config.View
	signer     *pass.Signer
	tickets    *once.Signer
	ledger     *AttemptLedger
	deeper     *DeeperLedger
	guards     map[member.InstanceID]*rigGuard
	entries    []string
	active     *ActiveCalls              // shared by all entries
	wrapRouter func(*TableRouter) Router // wraps the routers of entries started afterwards

	mu     sync.Mutex
	script []http.HandlerFunc // handlers of the next runs, in order; respondOK after the last
	runs   int
}

type rigGuard struct {
	refuse   atomic.Bool // set to refuse new requests, as a draining instance does
	guard    *Guard
	boot     member.BootID
	listener net.Listener
	server   *fasthttp.Server
	upstream *httptest.Server
}

func respondOK(w http.ResponseWriter, r *http.Request) { _, _ = fmt.Fprintf(w, "ran %s", r.URL.Path) }

// resetConnection closes the connection without a response after the request
// has been read.
func resetConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// truncateResponse closes the connection in the middle of the response.
func truncateResponse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	resetConnection(w, r)
}

// truncateLongResponse closes the connection after a part of the response that
// is longer than what a node buffers, so that its header has been forwarded.
func truncateLongResponse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", strconv.Itoa(4<<20))
	_, _ = w.Write(make([]byte, 2<<20))
	_ = http.NewResponseController(w).Flush()
	resetConnection(w, r)
}

// shed refuses the request and states that it did not run.
func shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(HeaderRun, string(RunNo))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func newRig(tb testing.TB, instances int, script ...http.HandlerFunc) *rig {
	tb.Helper()
	r := &rig{tb: tb, script: script, ledger: NewAttemptLedger(), deeper: NewDeeperLedger(), active: NewActiveCalls(), guards: map[member.InstanceID]*rigGuard{}}
	r.wrapRouter = func(router *TableRouter) Router { return router }
	var err error
	if r.signer, err = pass.NewSigner([]byte(rigSecret)); err != nil {
		tb.Fatal(err)
	}
	if r.tickets, err = once.NewSigner([]byte(rigSecret)); err != nil {
		tb.Fatal(err)
	}
	var list strings.Builder
	for n := range instances {
		id := member.InstanceID(fmt.Sprintf("i%d", n))
		listener := r.listen("127.0.0.1:0")
		guard := &rigGuard{boot: 1, listener: listener, upstream: httptest.NewServer(http.HandlerFunc(r.run))}
		r.guards[id] = guard
		tb.Cleanup(guard.upstream.Close)
		_, _ = fmt.Fprintf(&list, "\n  - {id: %s, zone: a, peer: %q, control: \"127.0.0.1:%d\"}", id, listener.Addr(), n+1)
	}
	r.publish(list.String())
	for id := range r.guards {
		r.startGuard(id)
	}
	for n := range 2 {
		r.startEntry(member.InstanceID(fmt.Sprintf("e%d", n)), false)
	}
	return r
}

func (r *rig) listen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		r.tb.Fatal(err)
	}
	return listener
}

func (r *rig) publish(instances string) {
	digest := func(key string) string { return fmt.Sprintf("sha256:%x", sha256.Sum256([]byte(key))) }
	r.view = config.NewView()
	for name, text := range map[string]string{
		config.FleetName:          "classes: [{name: c, target: {completion: 0.9, within: 10s}}]\nservices: [s]\nkeyShards: 1",
		config.ServiceName("s"):   "service: s\ndefaultClass: c\nroutes: [{method: GET, path: /, class: c, idempotent: true}]",
		config.InstancesName("s"): "service: s\ninstances:" + instances,
		config.KeysName(0):        fmt.Sprintf("shard: 0\nworkspaces:\n  - {name: w, rate: 1000, burst: 1000, keys: [{digest: %q}]}\n  - {name: v, rate: 1000, burst: 1000, keys: [{digest: %q}]}", digest("key"), digest("other")),
	} {
		value, err := config.Parse(name, []byte("revision: 1\n"+text), 1)
		if err != nil {
			r.tb.Fatal(err)
		}
		if r.view, err = r.view.With(value); err != nil {
			r.tb.Fatal(err)
		}
	}
}

func (r *rig) startGuard(id member.InstanceID) {
	g := r.guards[id]
	g.guard = NewGuard(GuardConfig{
		Instance: id, Boot: g.boot, Service: "s", Signer: r.signer,
		View: func() *config.View { return r.view }, Admitter: NewFixedAdmitter(8),
		Upstream: NewClient(ClientConfig{Address: g.upstream.Listener.Addr().String(), MaxConns: 8}),
		Ledger:   r.ledger, Deeper: r.deeper, Tickets: NewTicketTable(id, g.boot, r.tickets), Active: NewActiveCalls(),
		Drain: func() (bool, bool) { return g.refuse.Load(), g.refuse.Load() }, Decisions: &Decisions{},
		MaxBodyBytes: 1 << 20, Timeouts: Timeouts{Read: time.Minute, Write: time.Minute}, Log: logr.Discard(),
	})
	g.server = r.serve(g.listener, g.guard.Handle)
}

func (r *rig) serve(listener net.Listener, handler fasthttp.RequestHandler) *fasthttp.Server {
	server := &fasthttp.Server{Handler: handler, StreamRequestBody: true, CloseOnShutdown: true}
	go func() { _ = server.Serve(listener) }()
	r.tb.Cleanup(func() { shutdown(server) })
	return server
}

// shutdown closes the listener and all idle connections without waiting for
// running requests.
func shutdown(server *fasthttp.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = server.ShutdownWithContext(ctx)
}

// restart replaces a guard by one with a new boot id at the same address.
func (r *rig) restart(id member.InstanceID) {
	r.stop(id)
	g := r.guards[id]
	g.boot++
	g.listener = r.listen(g.listener.Addr().String())
	r.startGuard(id)
}

// stop ends a guard and closes all connections to it. The listener is closed
// first, since Shutdown does nothing to a server that does not serve yet.
func (r *rig) stop(id member.InstanceID) {
	g := r.guards[id]
	_ = g.listener.Close()
	_ = g.server.Shutdown()
}

func (r *rig) startEntry(id member.InstanceID, loopback bool, configure ...func(*EntryConfig)) string {
	router := NewTableRouter("a")
	router.Update(r.view)
	cfg := EntryConfig{
		Instance: id, Loopback: loopback, Signer: r.signer, View: func() *config.View { return r.view },
		Quota: UnlimitedQuota{}, Router: r.wrapRouter(router), Ledger: r.ledger, Deeper: r.deeper, Early: NewEarlyRefusals(), Tickets: r.tickets,
		FetchBoot: func(_ context.Context, i config.Instance) (member.BootID, error) { return r.guards[i.ID].boot, nil },
		Peers:     NewPeers(r.signer, nil), Active: r.active, Metrics: telemetry.NewMetrics(),
		Decisions: &Decisions{}, MaxBodyBytes: 1 << 20,
		Timeouts: Timeouts{Read: time.Minute, Write: time.Minute}, Log: logr.Discard(),
	}
	if local := r.guards[id]; local != nil {
		cfg.Guard = local.guard
	}
	for _, change := range configure {
		change(&cfg)
	}
	listener := r.listen("127.0.0.1:0")
	r.serve(listener, NewEntry(cfg).Handle)
	address := "http://" + listener.Addr().String()
	r.entries = append(r.entries, address)
	return address
}

// run is the handler of the upstreams of all guards.
func (r *rig) run(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	r.runs++
	next := respondOK
	if len(r.script) > 0 {
		next, r.script = r.script[0], r.script[1:]
	}
	r.mu.Unlock()
	next(w, req)
}

// ran returns the number of runs at all upstreams.
func (r *rig) ran() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs
}

// result is the response that a caller received.
type result struct {
	status     int
	run        string
	reason     string
	body       string
	retryAfter string // Retry-After
	err        error
}

// do sends a request; headers come in pairs of name and value.
func (r *rig) do(entry int, method, path, body string, headers ...string) result {
	req, err := http.NewRequest(method, r.entries[entry]+path, strings.NewReader(body))
	if err != nil {
		r.tb.Error(err)
		return result{err: err}
	}
	req.Header.Set("X-Api-Key", "key")
	for n := 0; n+1 < len(headers); n += 2 {
		req.Header.Set(headers[n], headers[n+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, resp.Header.Get(HeaderRun), resp.Header.Get(HeaderReason), string(text), resp.Header.Get("Retry-After"), err}
}
