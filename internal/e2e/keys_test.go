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

// seenRequests records all that an upstream can see of its requests. Nodes
// read the health and load endpoints at any moment: these reads are kept apart,
// so that none is taken for a run.
type seenRequests struct {
	mu       sync.Mutex
	requests []string
	polls    []string
	last     http.Header
}

func (s *seenRequests) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
func (s *seenRequests) count(part string) int {
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

// since returns the text of the requests after the first n, in lower case.
func (s *seenRequests) since(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.ToLower(strings.Join(s.requests[n:], "\n"))
}

// polled returns the text of the reads of health and load, in lower case.
func (s *seenRequests) polled() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.ToLower(strings.Join(s.polls, "\n"))
}

func (s *seenRequests) lastHeader() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

func TestUpstreamNeverSeesKey(t *testing.T) {
	t.Parallel()
	seen := &seenRequests{}
	f := startFleet(t, "claims="+handlerUpstream(t, seen.ServeHTTP), "treaty="+handlerUpstream(t, seen.ServeHTTP))
	shown := "Authorization: Bearer " + hakata
	encoded := "%" + fmt.Sprintf("%x", hakata[0]) + hakata[1:]
	tests := []struct {
		name, target string
		status       int // 0 for any
		header       []string
		body         string
	}{
		{"bearer", "/", 200, []string{shown}, ""},
		{"lower case", "/", 200, []string{"authorization: bearer " + hakata}, ""},
		{"api key", "/", 200, []string{"X-Api-Key: " + hakata}, ""},
		{"api key in capitals", "/", 200, []string{"X-API-KEY: " + hakata}, ""},
		{"underscores", "/", 200, []string{shown, "X_Api_Key: " + hakata}, ""},
		{"both headers", "/", 200, []string{shown, "X-Api-Key: " + hakata}, ""},
		{"two authorizations", "/", 0, []string{"Authorization: Basic eDp5", shown}, ""},
		{"wrong key first", "/", 0, []string{"Authorization: Bearer wrong", shown}, ""},
		{"cookie", "/", 200, []string{shown, "Cookie: session=" + hakata}, ""},
		{"inside another header", "/", 200, []string{shown, "X-Debug: a" + hakata + "b"}, ""},
		{"referer", "/", 200, []string{shown, "Referer: http://x/?k=" + hakata}, ""},
		{"user agent", "/", 200, []string{shown, "User-Agent: " + hakata}, ""},
		{"header name", "/", 0, []string{shown, hakata + ": x"}, ""},
		{"second key in a cookie", "/", 0, []string{shown, "X-Api-Key: " + nagasaki, "Cookie: k=" + nagasaki, "X-Debug: " + hakata}, ""},
		{"query", "/?k=" + hakata, 400, []string{shown}, ""},
		{"query, percent-encoded", "/?k=" + encoded, 400, []string{shown}, ""},
		{"path", "/" + hakata + "/x", 400, []string{shown}, ""},
		{"path, percent-encoded", "/" + encoded, 400, []string{shown}, ""},
		{"folded line", "/", 0, []string{shown, "X-Debug: a\r\n " + hakata}, ""},
		{"space before colon", "/", 0, []string{"Authorization : Bearer " + hakata}, ""},
		{"basic", "/", 401, []string{"Authorization: Basic " + base64.StdEncoding.EncodeToString([]byte("x:"+hakata))}, ""},
		{"proxy authorization", "/", 200, []string{shown, "Proxy-Authorization: Bearer " + hakata}, ""},
		{"open route", "/open", 200, []string{shown, "X-Debug: " + hakata}, ""},
		{"trailer", "/", 0, []string{shown, "Trailer: X-Debug", "Transfer-Encoding: chunked"}, "1\r\nx\r\n0\r\nX-Debug: " + hakata + "\r\n\r\n"},
		{"undeclared trailer", "/", 0, []string{shown, "Transfer-Encoding: chunked"}, "1\r\nx\r\n0\r\nAuthorization: Bearer " + hakata + "\r\n\r\n"},
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
				for _, key := range []string{hakata, nagasaki, encoded} {
					if saw := seen.since(before); strings.Contains(saw, key) {
						t.Errorf("the upstream saw a key: %s", saw)
					}
				}
			})
		}
	}
	if polls := seen.polled(); strings.Contains(polls, hakata) || strings.Contains(polls, nagasaki) {
		t.Errorf("a read of health or load shows a key: %s", polls)
	}
	for _, n := range f.nodes {
		if output := n.output.String(); strings.Contains(output, hakata) || strings.Contains(output, nagasaki) {
			t.Errorf("the log of %s shows a key", n.id)
		}
	}
}

// TestUpstreamNeverSeesKeyShownElsewhere shows a key only where none is
// expected, on a route that needs none.
func TestUpstreamNeverSeesKeyShownElsewhere(t *testing.T) {
	t.Parallel()
	seen := &seenRequests{}
	f := startFleet(t, "claims="+handlerUpstream(t, seen.ServeHTTP))
	for _, shown := range [][2]string{{"?k=" + hakata, "X-A: b"}, {"", "Cookie: k=" + hakata}, {"", "X-Debug: " + hakata}} {
		sendRaw(t, f.nodes[0].public, lines("GET /claims/open"+shown[0]+" HTTP/1.1", "Host: x", shown[1]))
		if seen.count(hakata) > 0 {
			t.Errorf("the upstream saw the key of %q", shown)
		}
	}
}

func TestRequestRunsForItsKey(t *testing.T) {
	t.Parallel()
	seen := &seenRequests{}
	f := startFleet(t, "claims="+handlerUpstream(t, seen.ServeHTTP))
	tests := []struct {
		name, target string
		header       []string
		status       int
		workspace    string
	}{
		{"own key", "/claims/a", []string{"X-Api-Key: " + nagasaki}, 200, "nagasaki"},
		{"claimed workspace", "/claims/a", []string{"X-Api-Key: " + nagasaki, "Toucancove-Workspace: hakata", "Toucancove_Workspace: hakata"}, 200, "nagasaki"},
		{"open route", "/claims/open/b", nil, 200, ""},
		{"open route, claimed workspace", "/claims/open", []string{"Toucancove-Workspace: hakata"}, 200, ""},
		{"no key", "/claims/a", nil, 401, ""},
		{"unknown key", "/claims/a", []string{"X-Api-Key: key-other"}, 401, ""},
		{"empty key", "/claims/a", []string{"Authorization: Bearer "}, 401, ""},
		{"digest as key", "/claims/a", []string{"X-Api-Key: sha256:00"}, 401, ""},
		{"name like an open route", "/claims/opened", nil, 401, ""},
		{"climbing out of an open route", "/claims/open/../a", nil, 400, ""},
		{"climbing, encoded dots", "/claims/open/%2e%2E/a", nil, 400, ""},
		{"climbing, encoded slash", "/claims/open/..%2fa", nil, 400, ""},
		{"climbing, encoded backslash", "/claims/open/..%5ca", nil, 400, ""},
		{"climbing, backslash", "/claims/open/..\\a", nil, 400, ""},
		{"climbing, service", "/claims/open/../../treaty/a", nil, 400, ""},
		{"climbing, parameters", "/claims/open/..;x/a", nil, 400, ""},
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
				t.Errorf("refusal says run %q in %q", got.run(), got.header.Get("Content-Type"))
			}
		})
	}
}

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
		req.Header.Set("X-Api-Key", hakata)
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
	kept := make([]*http.Client, len(f.nodes))
	for i, n := range f.nodes {
		kept[i] = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		if got := sendWith(kept[i], n.public, "GET", "/claims/a", hakata, nil); got.status != http.StatusOK {
			t.Fatalf("%+v", got)
		}
	}
	withdrawn := time.Now()
	f.publishKeys("", nagasaki)
	for i, n := range f.nodes {
		waitFor(t, "the key is refused on a kept connection", func() bool {
			got := sendWith(kept[i], n.public, "GET", "/claims/a", hakata, nil)
			return got.status == http.StatusUnauthorized && got.run() == "not-run"
		})
	}
	for range 2 {
		select {
		case err := <-streams:
			if err == nil {
				t.Error("a stream of the withdrawn key ended like a whole answer")
			}
		case <-time.After(waitLimit):
			t.Fatal("a stream of the withdrawn key runs on")
		}
	}
	t.Logf("withdrawn key refused on all nodes and streams ended after %v", time.Since(withdrawn))
	if got := send(f.nodes[0], "GET", "/treaty/a", nagasaki, nil); got.status != http.StatusOK {
		t.Errorf("the other workspace was refused: %+v", got)
	}
	f.publishKeys(hakata, nagasaki)
	for i, n := range f.nodes {
		waitFor(t, "the re-issued key works", func() bool {
			return sendWith(kept[i], n.public, "GET", "/treaty/a", hakata, nil).status == http.StatusOK
		})
	}
}

func TestPassIsValidOnlyWhereItWasGiven(t *testing.T) {
	t.Parallel()
	seen := &seenRequests{}
	f := startFleet(t, "claims="+handlerUpstream(t, seen.ServeHTTP), "treaty="+handlerUpstream(t, seen.ServeHTTP))
	claims, treaty := f.nodes[0], f.nodes[1]
	if got := send(claims, "GET", "/claims/a", hakata, nil); got.status != 200 || got.header.Get("Toucancove-Pass") != "" {
		t.Fatalf("%+v", got)
	}
	taken := seen.lastHeader().Get("Toucancove-Pass")
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
	const wrong = "another secret of some length"
	own := fleetSecretBytes(t)
	tests := []struct {
		name, address, target, token string
		status                       int
	}{
		{"taken, at its node's loopback", claims.loopback, "/treaty/a", taken, 200},
		{"taken, at the public listener", claims.public, "/treaty/a", taken, 401},
		{"taken, at its node's peer listener", claims.peer, "/a", taken, 403},
		{"taken, at another peer listener", treaty.peer, "/a", taken, 403},
		{"taken, at another loopback", treaty.loopback, "/treaty/a", taken, 403},
		{"taken and altered", claims.loopback, "/treaty/a", strings.Replace(taken, taken[30:36], "AAAAAA", 1), 403},
		{"taken and cut", claims.loopback, "/treaty/a", taken[:len(taken)/2], 403},
		{"forged, peer listener", treaty.peer, "/a", sign(wrong, pass.KindPeer, treaty), 403},
		{"forged, loopback", claims.loopback, "/treaty/a", sign(wrong, pass.KindUpstream, claims), 403},
		{"of another instance", treaty.peer, "/a", sign(own, pass.KindPeer, claims), 403},
		{"of another kind", treaty.peer, "/a", sign(own, pass.KindUpstream, treaty), 403},
		{"none, peer listener", treaty.peer, "/a", "", 403},
		{"none, loopback", claims.loopback, "/treaty/a", "", 401},
		{"of this instance", treaty.peer, "/a", sign(own, pass.KindPeer, treaty), 200},
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
	f.publishKeys("", nagasaki)
	waitFor(t, "the pass of the withdrawn key is refused", func() bool {
		return sendWith(http.DefaultClient, claims.loopback, "GET", "/treaty/a", "", nil, "Toucancove-Pass", taken).status == 401
	})
	check(t, claims.loopback, "/claims/a", taken, 401)
}

// TestSecretsAreNotShownToOperators sends a key, a pass and a ticket where a
// node might repeat them, and searches its log, status and metrics.
func TestSecretsAreNotShownToOperators(t *testing.T) {
	t.Parallel()
	seen := &seenRequests{}
	f := startFleet(t, "claims="+handlerUpstream(t, seen.ServeHTTP), "treaty="+handlerUpstream(t, seen.ServeHTTP))
	n := f.nodes[0]
	ticket := newTicket(t, n, hakata)
	send(n, "GET", "/treaty/a", hakata, nil)
	secrets := []string{hakata, ticket, seen.lastHeader().Get("Toucancove-Pass"), fleetSecret}
	for _, secret := range secrets[:3] {
		for _, head := range [][]string{
			{"GET /" + secret + "/a HTTP/1.1"},
			{"GET /claims/" + secret + " HTTP/1.1"},
			{"GET /claims/a?" + secret + " HTTP/1.1"},
			{secret + " /claims/a HTTP/1.1"},
			{"GET /claims/a " + secret},
			{"POST /.toucancove/ticket?service=" + secret + " HTTP/1.1", "X-Api-Key: " + hakata},
			{"GET /claims/a HTTP/1.1", "X-Api-Key: " + hakata, "Toucancove-Timeout-Ms: " + secret},
			{"GET /claims/a HTTP/1.1", "X-Api-Key: " + hakata, "Toucancove-Ticket: x" + secret},
			{"GET /claims/a HTTP/1.1", "X-Api-Key: " + hakata, "Content-Length: " + secret},
			{"GET /claims/a HTTP/1.1", secret},
			{"GET /claims/a HTTP/1.1", "X-Api-Key: x" + secret},
		} {
			for _, address := range []string{n.public, n.loopback, n.peer} {
				sendRaw(t, address, lines(append(head, "Host: x")...))
			}
		}
	}
	for _, n := range f.nodes {
		shown := n.output.String()
		for _, path := range []string{"/status", "/metrics"} {
			shown += sendWith(http.DefaultClient, n.status, "GET", path, "", nil).body
		}
		for i, secret := range secrets {
			if at := strings.Index(shown, secret); at >= 0 {
				t.Errorf("%s shows secret %d: %q", n.id, i, shown[max(0, at-200):min(len(shown), at+40)])
			}
		}
	}
}
