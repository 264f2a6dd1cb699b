package e2e

import (
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/pass"
)

// requestRecorder is an upstream that records everything it receives. Nodes poll
// its health and load endpoints at any time: these polls are recorded separately,
// so that they don't count as runs.
type requestRecorder struct {
	mu       sync.Mutex
	requests []string
	polls    []string
	last     http.Header
}

func (s *requestRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	text := fmt.Sprintf("%s %s %s %v %v %s", r.Method, r.Host, r.RequestURI, r.Header, r.Trailer, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet && (r.RequestURI == "/health" || r.RequestURI == "/load") {
		s.polls = append(s.polls, text)
		return
	}
	s.requests = append(s.requests, text)
	s.last = r.Header
}

// count returns the number of requests whose target contains part.
func (s *requestRecorder) count(part string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, request := range s.requests {
		if strings.Contains(request, part) {
			n++
		}
	}
	return n
}

// since returns the text of all requests but the first n, in lower case.
func (s *requestRecorder) since(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.ToLower(strings.Join(s.requests[n:], "\n"))
}

// polled returns the text of the polls of health and load, in lower case.
func (s *requestRecorder) polled() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.ToLower(strings.Join(s.polls, "\n"))
}

// lastHeader returns the header of the last request.
func (s *requestRecorder) lastHeader() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// TestUpstreamNeverSeesKey sends a key in every part of a request and checks that
// no node forwards or logs it.
func TestUpstreamNeverSeesKey(t *testing.T) {
	t.Parallel()
	seen := &requestRecorder{}
	f := startFleet(t, "claims="+handlerUpstream(t, seen.ServeHTTP), "treaty="+handlerUpstream(t, seen.ServeHTTP))
	bearer := "Authorization: Bearer " + hakataKey
	encoded := "%" + fmt.Sprintf("%x", hakataKey[0]) + hakataKey[1:]
	tests := []struct {
		name, target string
		status       int // 0 for any
		header       []string
		body         string
	}{
		{"bearer", "/", 200, []string{bearer}, ""},
		{"lower case", "/", 200, []string{"authorization: bearer " + hakataKey}, ""},
		{"api key", "/", 200, []string{"X-Api-Key: " + hakataKey}, ""},
		{"api key in capitals", "/", 200, []string{"X-API-KEY: " + hakataKey}, ""},
		{"underscores", "/", 200, []string{bearer, "X_Api_Key: " + hakataKey}, ""},
		{"both headers", "/", 200, []string{bearer, "X-Api-Key: " + hakataKey}, ""},
		{"two authorizations", "/", 0, []string{"Authorization: Basic eDp5", bearer}, ""},
		{"wrong key first", "/", 0, []string{"Authorization: Bearer wrong", bearer}, ""},
		{"cookie", "/", 200, []string{bearer, "Cookie: session=" + hakataKey}, ""},
		{"inside another header", "/", 200, []string{bearer, "X-Debug: a" + hakataKey + "b"}, ""},
		{"referer", "/", 200, []string{bearer, "Referer: http://x/?k=" + hakataKey}, ""},
		{"user agent", "/", 200, []string{bearer, "User-Agent: " + hakataKey}, ""},
		{"header name", "/", 0, []string{bearer, hakataKey + ": x"}, ""},
		{"second key in a cookie", "/", 0, []string{bearer, "X-Api-Key: " + nagasakiKey, "Cookie: k=" + nagasakiKey, "X-Debug: " + hakataKey}, ""},
		{"query", "/?k=" + hakataKey, 400, []string{bearer}, ""},
		{"query, percent-encoded", "/?k=" + encoded, 400, []string{bearer}, ""},
		{"path", "/" + hakataKey + "/x", 400, []string{bearer}, ""},
		{"path, percent-encoded", "/" + encoded, 400, []string{bearer}, ""},
		{"folded line", "/", 0, []string{bearer, "X-Debug: a\r\n " + hakataKey}, ""},
		{"space before colon", "/", 0, []string{"Authorization : Bearer " + hakataKey}, ""},
		{"basic", "/", 401, []string{"Authorization: Basic " + base64.StdEncoding.EncodeToString([]byte("x:"+hakataKey))}, ""},
		{"proxy authorization", "/", 200, []string{bearer, "Proxy-Authorization: Bearer " + hakataKey}, ""},
		{"open route", "/open", 200, []string{bearer, "X-Debug: " + hakataKey}, ""},
		{"trailer", "/", 0, []string{bearer, "Trailer: X-Debug", "Transfer-Encoding: chunked"}, "1\r\nx\r\n0\r\nX-Debug: " + hakataKey + "\r\n\r\n"},
		{"undeclared trailer", "/", 0, []string{bearer, "Transfer-Encoding: chunked"}, "1\r\nx\r\n0\r\nAuthorization: Bearer " + hakataKey + "\r\n\r\n"},
	}
	for _, service := range []string{"claims", "treaty"} { // on this node and through its peer
		for _, tt := range tests {
			t.Run(service+" "+tt.name, func(t *testing.T) {
				before := seen.count("")
				head := append([]string{"POST /" + service + tt.target + " HTTP/1.1", "Host: x"}, tt.header...)
				if tt.body == "" {
					head = append(head, "Content-Length: 0")
				}
				got, _ := sendRaw(t, f.nodes[0].public, lines(head...)+tt.body)
				if tt.status != 0 && got.status != tt.status {
					t.Errorf("status %d %s; want %d", got.status, got.reason(), tt.status)
				}
				if ran := seen.count("") > before; ran != (got.status == http.StatusOK) {
					t.Errorf("status %d, ran at the upstream: %v", got.status, ran)
				}
				for _, key := range []string{hakataKey, nagasakiKey, encoded} {
					if received := seen.since(before); strings.Contains(received, key) {
						t.Errorf("the upstream received a key: %s", received)
					}
				}
			})
		}
	}
	if polls := seen.polled(); strings.Contains(polls, hakataKey) || strings.Contains(polls, nagasakiKey) {
		t.Errorf("a poll of health or load contains a key: %s", polls)
	}
	for _, n := range f.nodes {
		if output := n.output.String(); strings.Contains(output, hakataKey) || strings.Contains(output, nagasakiKey) {
			t.Errorf("the log of %s contains a key", n.id)
		}
	}
}

// TestUpstreamNeverSeesMisplacedKey sends a key only in places where none is
// expected, on a route that requires none.
func TestUpstreamNeverSeesMisplacedKey(t *testing.T) {
	t.Parallel()
	seen := &requestRecorder{}
	f := startFleet(t, "claims="+handlerUpstream(t, seen.ServeHTTP))
	for _, placement := range [][2]string{{"?k=" + hakataKey, "X-A: b"}, {"", "Cookie: k=" + hakataKey}, {"", "X-Debug: " + hakataKey}} {
		sendRaw(t, f.nodes[0].public, lines("GET /claims/open"+placement[0]+" HTTP/1.1", "Host: x", placement[1]))
		if seen.count(hakataKey) > 0 {
			t.Errorf("the upstream received the key in %q", placement)
		}
	}
}

// TestRequestRunsForWorkspaceOfItsKey checks that a request runs for the
// workspace of its key, whatever workspace the caller states, and that no
// spelling of a path reaches a closed route without a key.
func TestRequestRunsForWorkspaceOfItsKey(t *testing.T) {
	t.Parallel()
	seen := &requestRecorder{}
	f := startFleet(t, "claims="+handlerUpstream(t, seen.ServeHTTP))
	tests := []struct {
		name, target string
		header       []string
		status       int
		workspace    string
	}{
		{"own key", "/claims/a", []string{"X-Api-Key: " + nagasakiKey}, 200, "nagasaki"},
		{"spoofed workspace", "/claims/a", []string{"X-Api-Key: " + nagasakiKey, "Toucancove-Workspace: hakata", "Toucancove_Workspace: hakata"}, 200, "nagasaki"},
		{"open route", "/claims/open/b", nil, 200, ""},
		{"open route, spoofed workspace", "/claims/open", []string{"Toucancove-Workspace: hakata"}, 200, ""},
		{"no key", "/claims/a", nil, 401, ""},
		{"unknown key", "/claims/a", []string{"X-Api-Key: key-other"}, 401, ""},
		{"empty key", "/claims/a", []string{"Authorization: Bearer "}, 401, ""},
		{"digest as key", "/claims/a", []string{"X-Api-Key: sha256:00"}, 401, ""},
		{"open route as name prefix", "/claims/opened", nil, 401, ""},
		{"path traversal out of an open route", "/claims/open/../a", nil, 400, ""},
		{"path traversal, encoded dots", "/claims/open/%2e%2E/a", nil, 400, ""},
		{"path traversal, encoded slash", "/claims/open/..%2fa", nil, 400, ""},
		{"path traversal, encoded backslash", "/claims/open/..%5ca", nil, 400, ""},
		{"path traversal, backslash", "/claims/open/..\\a", nil, 400, ""},
		{"path traversal, service", "/claims/open/../../treaty/a", nil, 400, ""},
		{"path traversal, parameters", "/claims/open/..;x/a", nil, 400, ""},
		{"closed below open", "/claims/open/closed", nil, 401, ""},
		{"closed below open, empty segment", "/claims/open//closed", nil, 400, ""},
		{"closed below open, escaped", "/claims/open/%63losed", nil, 401, ""},
		{"closed below open, parameters", "/claims/open/closed;x", nil, 401, ""},
		{"wrong escape", "/claims/open/%zz", nil, 400, ""},
		{"trailing slash", "/claims/open/", nil, 200, ""},
		{"escaped path arrives as sent", "/claims/open/a%20b", nil, 200, ""},
		{"absolute form", "http://x/claims/open/../a", nil, 404, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := seen.count("")
			head := append([]string{"GET " + tt.target + " HTTP/1.1", "Host: x"}, tt.header...)
			got, _ := sendRaw(t, f.nodes[0].public, lines(head...))
			if got.status != tt.status {
				t.Errorf("status %d %s; want %d", got.status, got.reason(), tt.status)
			}
			ran := seen.count("") > before
			if ran != (tt.status == http.StatusOK) {
				t.Errorf("ran: %v", ran)
			}
			if sent := " " + strings.TrimPrefix(tt.target, "/claims") + " "; ran && !strings.Contains(seen.since(before), sent) {
				t.Errorf("the upstream's path is not %q: %s", sent, seen.since(before))
			}
			if workspace := seen.lastHeader()["Toucancove-Workspace"]; ran && strings.Join(workspace, ",") != tt.workspace {
				t.Errorf("ran for workspace %q; want %q", workspace, tt.workspace)
			}
			if !ran && (got.run() != "not-run" || got.header.Get("Content-Type") != "application/problem+json") {
				t.Errorf("refusal has run %q and content type %q", got.run(), got.header.Get("Content-Type"))
			}
		})
	}
}

// TestWithdrawnAndReissuedKey withdraws a key and checks that nodes refuse it on
// open connections and end its streams, and that it is accepted once it is
// published again.
func TestWithdrawnAndReissuedKey(t *testing.T) {
	t.Parallel()
	stream := handlerUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		for r.URL.Path == "/files/stream" && r.Context().Err() == nil {
			_, _ = io.WriteString(w, "data")
			_ = http.NewResponseController(w).Flush()
			<-time.After(pollInterval)
		}
	})
	f := startFleet(t, "claims="+stream, "treaty="+stream)
	streams := make(chan error, 2)
	for _, path := range []string{"/claims/files/stream", "/treaty/files/stream"} {
		req, _ := http.NewRequest("GET", "http://"+f.nodes[0].public+path, nil)
		req.Header.Set("X-Api-Key", hakataKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		go func() {
			_, err := io.Copy(io.Discard, resp.Body)
			streams <- err
		}()
	}
	clients := make([]*http.Client, len(f.nodes))
	for i, n := range f.nodes {
		clients[i] = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		if got := sendWith(clients[i], n.public, "GET", "/claims/a", hakataKey, nil); got.status != http.StatusOK {
			t.Fatalf("%+v", got)
		}
	}
	withdrawn := time.Now()
	f.publishKeys("", nagasakiKey)
	for i, n := range f.nodes {
		waitFor(t, "the key is refused on a keep-alive connection", func() bool {
			got := sendWith(clients[i], n.public, "GET", "/claims/a", hakataKey, nil)
			return got.status == http.StatusUnauthorized && got.run() == "not-run"
		})
	}
	for range 2 {
		select {
		case err := <-streams:
			if err == nil {
				t.Error("a stream of the withdrawn key ended like a complete response")
			}
		case <-time.After(waitLimit):
			t.Fatal("a stream of the withdrawn key did not end")
		}
	}
	t.Logf("withdrawn key refused on all nodes and streams ended after %v", time.Since(withdrawn))
	if got := send(f.nodes[0], "GET", "/treaty/a", nagasakiKey, nil); got.status != http.StatusOK {
		t.Errorf("the other workspace was refused: %+v", got)
	}
	f.publishKeys(hakataKey, nagasakiKey)
	for i, n := range f.nodes {
		waitFor(t, "the reissued key is accepted", func() bool {
			return sendWith(clients[i], n.public, "GET", "/treaty/a", hakataKey, nil).status == http.StatusOK
		})
	}
}

// TestPassIsValidOnlyAtItsAudience presents issued, altered, forged and misused
// passes at each kind of listener.
func TestPassIsValidOnlyAtItsAudience(t *testing.T) {
	t.Parallel()
	seen := &requestRecorder{}
	f := startFleet(t, "claims="+handlerUpstream(t, seen.ServeHTTP), "treaty="+handlerUpstream(t, seen.ServeHTTP))
	claims, treaty := f.nodes[0], f.nodes[1]
	if got := send(claims, "GET", "/claims/a", hakataKey, nil); got.status != 200 || got.header.Get("Toucancove-Pass") != "" {
		t.Fatalf("%+v", got)
	}
	issued := seen.lastHeader().Get("Toucancove-Pass")
	sign := func(secret string, kind pass.Kind, audience *node) string {
		signer, err := pass.NewSigner([]byte(secret))
		if err != nil {
			t.Fatal(err)
		}
		token, err := signer.Sign(pass.Pass{Kind: kind, Workspace: "hakata", Class: "browse",
			Budget: time.Minute, Attempts: 1, Audience: instanceID(audience)})
		if err != nil {
			t.Fatal(err)
		}
		return token
	}
	const otherSecret = "another secret of some length"
	sharedSecret := fleetSecretBytes(t)
	tests := []struct {
		name, address, target, token string
		status                       int
	}{
		{"issued, at its node's loopback", claims.loopback, "/treaty/a", issued, 200},
		{"issued, at the public listener", claims.public, "/treaty/a", issued, 401},
		{"issued, at its node's peer listener", claims.peer, "/a", issued, 403},
		{"issued, at another peer listener", treaty.peer, "/a", issued, 403},
		{"issued, at another loopback", treaty.loopback, "/treaty/a", issued, 403},
		{"issued, altered", claims.loopback, "/treaty/a", strings.Replace(issued, issued[30:36], "AAAAAA", 1), 403},
		{"issued, truncated", claims.loopback, "/treaty/a", issued[:len(issued)/2], 403},
		{"forged, peer listener", treaty.peer, "/a", sign(otherSecret, pass.KindPeer, treaty), 403},
		{"forged, loopback", claims.loopback, "/treaty/a", sign(otherSecret, pass.KindUpstream, claims), 403},
		{"of another instance", treaty.peer, "/a", sign(sharedSecret, pass.KindPeer, claims), 403},
		{"of another kind", treaty.peer, "/a", sign(sharedSecret, pass.KindUpstream, treaty), 403},
		{"none, peer listener", treaty.peer, "/a", "", 403},
		{"none, loopback", claims.loopback, "/treaty/a", "", 401},
		{"of this instance", treaty.peer, "/a", sign(sharedSecret, pass.KindPeer, treaty), 200},
	}
	check := func(t *testing.T, address, target, token string, status int) {
		before := seen.count("")
		got, _ := sendRaw(t, address, lines("GET "+target+" HTTP/1.1", "Host: x", "Toucancove-Pass: "+token))
		if got.status != status {
			t.Errorf("status %d %s; want %d", got.status, got.reason(), status)
		}
		if ran := seen.count("") > before; ran != (status == http.StatusOK) {
			t.Errorf("ran: %v", ran)
		}
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { check(t, tt.address, tt.target, tt.token, tt.status) })
	}
	f.publishKeys("", nagasakiKey)
	waitFor(t, "the pass of the withdrawn key is refused", func() bool {
		return sendWith(http.DefaultClient, claims.loopback, "GET", "/treaty/a", "", nil, "Toucancove-Pass", issued).status == 401
	})
	check(t, claims.loopback, "/claims/a", issued, 401)
}

// TestSecretsAreNotExposed sends a key, a pass and a ticket in places that a node
// might report, and searches its log, status and metrics for them and for the
// fleet secret.
func TestSecretsAreNotExposed(t *testing.T) {
	t.Parallel()
	seen := &requestRecorder{}
	f := startFleet(t, "claims="+handlerUpstream(t, seen.ServeHTTP), "treaty="+handlerUpstream(t, seen.ServeHTTP))
	n := f.nodes[0]
	ticket := newTicket(t, n, hakataKey)
	send(n, "GET", "/treaty/a", hakataKey, nil)
	secrets := []string{hakataKey, ticket, seen.lastHeader().Get("Toucancove-Pass"), fleetSecret}
	for _, secret := range secrets[:3] {
		for _, head := range [][]string{
			{"GET /" + secret + "/a HTTP/1.1"},
			{"GET /claims/" + secret + " HTTP/1.1"},
			{"GET /claims/a?" + secret + " HTTP/1.1"},
			{secret + " /claims/a HTTP/1.1"},
			{"GET /claims/a " + secret},
			{"POST /.toucancove/ticket?service=" + secret + " HTTP/1.1", "X-Api-Key: " + hakataKey},
			{"GET /claims/a HTTP/1.1", "X-Api-Key: " + hakataKey, "Toucancove-Timeout-Ms: " + secret},
			{"GET /claims/a HTTP/1.1", "X-Api-Key: " + hakataKey, "Toucancove-Ticket: x" + secret},
			{"GET /claims/a HTTP/1.1", "X-Api-Key: " + hakataKey, "Content-Length: " + secret},
			{"GET /claims/a HTTP/1.1", secret},
			{"GET /claims/a HTTP/1.1", "X-Api-Key: x" + secret},
		} {
			for _, address := range []string{n.public, n.loopback, n.peer} {
				sendRaw(t, address, lines(append(head, "Host: x")...))
			}
		}
	}
	for _, n := range f.nodes {
		exposed := n.output.String()
		for _, path := range []string{"/status", "/metrics"} {
			exposed += sendWith(http.DefaultClient, n.status, "GET", path, "", nil).body
		}
		for i, secret := range secrets {
			if at := strings.Index(exposed, secret); at >= 0 {
				t.Errorf("%s exposes secret %d: %q", n.id, i, exposed[max(0, at-200):min(len(exposed), at+40)])
			}
		}
	}
}
