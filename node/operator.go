package node

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/core/routing"
	"github.com/toucancove/toucancove/peer"
	"github.com/toucancove/toucancove/proxy"
)

// Status is the status of a node, as served at /status.
type Status struct {
	Instance      string              `json:"instance"`
	Service       string              `json:"service"`
	Zone          string              `json:"zone"`
	BootID        uint64              `json:"bootId"`
	Uptime        string              `json:"uptime"`
	Ready         bool                `json:"ready"`
	Leaving       bool                `json:"leaving"`
	ActiveCalls   int                 `json:"activeCalls"`
	Configuration ConfigurationStatus `json:"configuration"`
	// Admission describes admission control for the upstream.
	Admission proxy.AdmissionStatus `json:"admission"`
	// Control is the traffic of control messages to and from other nodes.
	Control peer.Traffic `json:"control"`
	// Members are the listed instances with the states that the failure detector
	// derives from control messages.
	Members []Member `json:"members"`
	// Routes are the instances in this node's routing tables, by service.
	Routes map[string][]routing.Status `json:"routes"`
	// Decisions are recent refusals, newest first.
	Decisions []proxy.Decision `json:"decisions"`
}

// ConfigurationStatus describes the configuration in force.
type ConfigurationStatus struct {
	// Revisions are the revisions of the values in force.
	Revisions []config.NamedRevision `json:"revisions"`
	// Rejected counts the values that were not put in force.
	Rejected int64 `json:"rejected"`
	// LastError is the error text of the last rejected value.
	LastError string `json:"lastError,omitempty"`
}

func (n *Node) newOperatorServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", n.handleReady)
	mux.HandleFunc("GET /metrics", n.handleMetrics)
	mux.HandleFunc("GET /status", n.handleStatus)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
}

func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(n.metrics.Registry(), w)
}

func (n *Node) handleStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(n.Status())
}

// Status returns the current status.
func (n *Node) Status() Status {
	lastError, _ := n.control.lastError.Load().(string)
	return Status{
		Instance:    string(n.settings.Instance),
		Service:     n.settings.Service,
		Zone:        string(n.settings.Zone),
		BootID:      uint64(n.boot),
		Uptime:      time.Since(n.started).Round(time.Second).String(),
		Ready:       n.Ready(),
		Leaving:     n.leaving.Load(),
		ActiveCalls: n.active.Len(),
		Admission:   n.admitter.Status(),
		Control:     n.controlMeter.Traffic(),
		Routes:      n.router.Statuses(),
		Members:     n.relayer.listMembers(),
		Decisions:   n.decisions.Recent(),
		Configuration: ConfigurationStatus{
			Revisions: n.control.View().Revisions(),
			Rejected:  n.control.rejected.Load(),
			LastError: lastError,
		},
	}
}
