package proxy

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/toucancove/toucancove/core/member"
)

func instanceID(s string) member.InstanceID { return member.InstanceID(s) }

// ticket requests a ticket from an entry.
func (r *rig) ticket(entry int) string {
	got := r.do(entry, "POST", TicketPath+"?service=s", "")
	var issued issuedTicket
	if err := json.Unmarshal([]byte(got.body), &issued); err != nil || got.status != http.StatusCreated {
		r.tb.Fatalf("no ticket: %+v, %v", got, err)
	}
	return issued.Ticket
}

func TestTicketRunsOnce(t *testing.T) {
	large := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 100<<10)) }
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	type response struct {
		status int
		run    Run
		reason Reason
	}
	tests := []struct {
		name    string
		script  []http.HandlerFunc
		between func(r *rig) // between the first use and the repeat
		first   response
		repeat  response
	}{
		{name: "response", first: response{status: 200}, repeat: response{status: 200}},
		{name: "response with an error", script: []http.HandlerFunc{status(409)}, first: response{status: 409}, repeat: response{status: 409}},
		{name: "response too large to keep", script: []http.HandlerFunc{large}, first: response{status: 200}, repeat: response{status: 410}},
		{
			name: "reset after the request was read", script: []http.HandlerFunc{resetConnection},
			first: response{502, RunUnknown, ReasonUpstreamFailed}, repeat: response{409, RunUnknown, ReasonOutcomeUnknown},
		},
		{
			name: "response truncated", script: []http.HandlerFunc{truncateResponse},
			first: response{502, RunUnknown, ReasonUpstreamFailed}, repeat: response{409, RunUnknown, ReasonOutcomeUnknown},
		},
		{
			name: "refused by the upstream", script: []http.HandlerFunc{shed},
			first: response{503, RunNo, ReasonOverload}, repeat: response{503, RunNo, ReasonTicketRefused},
		},
		{
			name: "instance drains", between: func(r *rig) { r.guards["i0"].refuse.Store(true) },
			first: response{status: 200}, repeat: response{status: 200},
		},
		{
			name: "node restarted", between: func(r *rig) { r.restart("i0") },
			first: response{status: 200}, repeat: response{409, RunUnknown, ReasonOutcomeUnknown},
		},
		{
			name: "node unreachable", between: func(r *rig) { r.stop("i0") },
			first: response{status: 200}, repeat: response{502, RunUnknown, ReasonInstanceFailed},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, 1, tt.script...)
			text := r.ticket(0)
			use := func(entry int) (response, string) {
				got := r.do(entry, "POST", "/s/pay", "one", HeaderTicket, text)
				if got.err != nil {
					t.Fatal(got.err)
				}
				return response{got.status, Run(got.run), Reason(got.reason)}, got.body
			}
			first, firstBody := use(0)
			if first != tt.first {
				t.Errorf("first use %+v, want %+v", first, tt.first)
			}
			if tt.between != nil {
				tt.between(r)
			}
			repeat, repeatBody := use(1)
			if repeat != tt.repeat {
				t.Errorf("repeat %+v, want %+v", repeat, tt.repeat)
			}
			if repeat.status == 200 && repeatBody != firstBody {
				t.Errorf("repeat got %q, the first %q", repeatBody, firstBody)
			}
			if r.ran() != 1 {
				t.Errorf("%d runs, want 1", r.ran())
			}
		})
	}
}

func TestTicketAtDrainingInstance(t *testing.T) {
	r := newRig(t, 1)
	text := r.ticket(0)
	r.guards["i0"].refuse.Store(true)
	got := r.do(0, "POST", "/s/pay", "one", HeaderTicket, text)
	if got.status != 503 || got.run != string(RunNo) || r.ran() != 0 {
		t.Errorf("first use %+v after %d runs, want 503 and not-run", got, r.ran())
	}
	r.guards["i0"].refuse.Store(false)
	if got = r.do(0, "POST", "/s/pay", "one", HeaderTicket, text); got.run != string(RunNo) || r.ran() != 0 {
		t.Errorf("repeat %+v after %d runs, want not-run for good", got, r.ran())
	}
}

func TestConcurrentRepeatsGetTheFirstOutcome(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	blocked := func(w http.ResponseWriter, req *http.Request) {
		close(started)
		<-release
		respondOK(w, req)
	}
	r := newRig(t, 1, blocked)
	text := r.ticket(0)
	const repeats = 4
	responses := make(chan result, repeats)
	for n := range repeats {
		go func() { responses <- r.do(n%2, "POST", "/s/pay", "one", HeaderTicket, text) }()
	}
	<-started
	close(release)
	for range repeats {
		if got := <-responses; got.status != 200 || got.body != "ran /pay" {
			t.Errorf("response %+v", got)
		}
	}
	if r.ran() != 1 {
		t.Errorf("%d runs, want 1", r.ran())
	}
}

func TestTicketChecks(t *testing.T) {
	r := newRig(t, 1)
	text := r.ticket(0)
	tests := []struct {
		name    string
		method  string
		path    string
		headers []string
		status  int
		reason  Reason
	}{
		{"issue without a key", "POST", TicketPath + "?service=s", []string{"X-Api-Key", ""}, 401, ReasonKeyMissing},
		{"issue by GET", "GET", TicketPath + "?service=s", nil, 405, ReasonMalformed},
		{"issue for an unknown service", "POST", TicketPath + "?service=x", nil, 404, ReasonUnknownService},
		{"altered ticket", "POST", "/s/pay", []string{HeaderTicket, text[:len(text)-2] + "AA"}, 400, ReasonTicketInvalid},
		{"use without a key", "POST", "/s/pay", []string{HeaderTicket, text, "X-Api-Key", ""}, 401, ReasonKeyMissing},
		{"ticket of another workspace", "POST", "/s/pay", []string{HeaderTicket, text, "X-Api-Key", "other"}, 422, ReasonTicketMismatch},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := r.do(0, tt.method, tt.path, "", tt.headers...); got.status != tt.status || got.reason != string(tt.reason) {
				t.Errorf("response %+v, want %d %s", got, tt.status, tt.reason)
			} else if tt.path == "/s/pay" && got.run != string(RunUnknown) {
				t.Errorf("run %q from an entry, which can't know whether the request ran, want unknown", got.run)
			}
		})
	}
	if r.ran() != 0 {
		t.Errorf("%d runs, want none", r.ran())
	}
	if got := r.do(0, "POST", "/s/pay", "one", HeaderTicket, text); got.status != 200 {
		t.Errorf("first use after the refusals: %+v", got)
	}
	if got := r.do(0, "POST", "/s/pay", "two", HeaderTicket, text); got.status != 422 || !strings.Contains(got.body, string(RunUnknown)) {
		t.Errorf("ticket used for another request: %+v, want 422 and unknown", got)
	}
}
