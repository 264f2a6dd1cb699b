package mesh

import (
	"encoding/json"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/routing"
	"github.com/toucancove/toucancove/core/usage"
)

// statusPath is the path of the status on the metrics listener.
const statusPath = "/status"

// Status is a node's current view of the mesh and the age of that view, for
// operators. Durations are in nanoseconds. It contains no key.
type Status struct {
	Node    string `json:"node"`
	Service string `json:"service"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`

	// Version identifies the published configuration in force, Era and Revision
	// the list of instances. The ages are the times since each last changed.
	Version     catalog.Version  `json:"version"`
	VersionAge  time.Duration    `json:"versionAgeNs"`
	Era         catalog.Era      `json:"era"`
	Revision    catalog.Revision `json:"revision"`
	RevisionAge time.Duration    `json:"revisionAgeNs"`
	// ConfirmedAge is the time since the store last confirmed both, to this node or to
	// the one that it polls; not set if it never has.
	ConfirmedAge *time.Duration `json:"confirmedAgeNs,omitempty"`
	// EraConfirmed is set if this node read the era from the store itself.
	EraConfirmed bool `json:"eraConfirmed"`
	// RemovalsHeldBack is set while the list contains instances whose removal may
	// be due to an outage of the store.
	RemovalsHeldBack bool `json:"removalsHeldBack"`

	Guard    GuardStatus     `json:"guard"`
	Gates    []GateStatus    `json:"gates"`
	Services []ServiceStatus `json:"services"`
	// Collector is the instance whose node this one draws quota tokens from, empty
	// if none is known.
	Collector  member.InstanceID `json:"collector"`
	Workspaces []QuotaStatus     `json:"workspaces"`
	// Quarantine holds the requests that are kept from the instances.
	Quarantine []QuarantineStatus `json:"quarantine"`
}

// GuardStatus describes the admission queue of the own instance.
type GuardStatus struct {
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Pressure is the recent average of running and waiting requests as a share of
	// the slots.
	Pressure float64 `json:"pressure"`
	// RequestLimit is the limit that the own instance advertises, in requests per second,
	// "none" without one. Leaving is set once it has announced that it leaves.
	RequestLimit string `json:"requestLimit"`
	Leaving      bool   `json:"leaving"`
}

// GateStatus describes the admission of new requests of a route and rank.
type GateStatus struct {
	Route   string       `json:"route"`
	Service string       `json:"service"`
	Rank    catalog.Rank `json:"rank"`
	// Window bounds the requests in flight; it is not set while the gate admits every
	// request. It follows Pressure, the recent average of the pressure that responses
	// carried. PressureAge is the time since the last such response.
	Window      *float64      `json:"window,omitempty"`
	InFlight    int           `json:"inFlight"`
	Pressure    float64       `json:"pressure"`
	PressureAge time.Duration `json:"pressureAgeNs"`
	// CallsFailed is the recent share of the requests that failed because a call of
	// theirs could not run. Above a limit the window shrinks whatever the pressure.
	CallsFailed float64 `json:"callsFailed"`
}

// ServiceStatus describes the instances of a service.
type ServiceStatus struct {
	Service   string           `json:"service"`
	Instances []routing.Status `json:"instances"`
}

// QuotaStatus describes the quota of a workspace.
type QuotaStatus struct {
	Workspace string `json:"workspace"`
	usage.Status
}

// QuarantineStatus describes a crash that counts against a request in quarantine.
type QuarantineStatus struct {
	Digest string `json:"digest"`
	// Instance and Boot identify the start of the instance that crashed, Age is the
	// time since.
	Instance member.InstanceID `json:"instance"`
	Boot     member.BootID     `json:"boot"`
	Age      time.Duration     `json:"ageNs"`
	// Source is how the node learned of the crash.
	Source string `json:"source"`
}

// Status returns the node's view at the given time.
func (n *Node) Status(now time.Time) Status {
	state := n.follower.State()
	s := Status{
		Node: n.cfg.Node, Service: n.cfg.Service, Ready: n.Ready(), Leaving: n.leaving.Load(),
		Version: state.Version(), Era: state.Position().Era, Revision: state.Position().Revision, EraConfirmed: state.EraConfirmed(),
		Guard: n.guard.status(now), Gates: n.gates.statuses(now), Services: n.routes.statuses(now),
	}
	if state.Catalog != nil {
		s.VersionAge = now.Sub(state.CatalogChangedAt)
		s.Workspaces = n.quota.statuses(now, state.Catalog.Workspaces())
	}
	if state.Directory != nil {
		s.RevisionAge = now.Sub(state.DirectoryChangedAt)
		s.RemovalsHeldBack = state.Directory.HasPendingRemovals()
	}
	if age, ok := n.follower.ConfirmedAge(now); ok {
		s.ConfirmedAge = &age
	}
	s.Collector = n.quota.collector(now)
	s.Quarantine = n.quarantines.statuses(now)
	return s
}

// handleStatus responds with the status as JSON.
func (n *Node) handleStatus(ctx *fasthttp.RequestCtx) {
	body, err := json.MarshalIndent(n.Status(time.Now()), "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

func (g *guard) status(now time.Time) GuardStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return GuardStatus{
		Running: g.queue.Running(), Waiting: g.queue.Waiting(), Pressure: g.queue.Pressure(now),
		RequestLimit: g.announced.limitText(), Leaving: g.announced.leaving,
	}
}

func (g *gates) statuses(now time.Time) []GateStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]GateStatus, 0, len(g.byKey))
	for key, gate := range g.byKey {
		pressure, age := gate.Pressure(now)
		status := GateStatus{Route: key.route, Service: key.service, Rank: key.rank, Pressure: pressure, PressureAge: age}
		window, inFlight := gate.Window()
		status.InFlight, status.CallsFailed = inFlight, gate.FailureShare()
		if !math.IsInf(window, 1) {
			status.Window = &window
		}
		list = append(list, status)
	}
	slices.SortFunc(list, func(a, b GateStatus) int {
		if byRoute := strings.Compare(a.Route+" "+a.Service, b.Route+" "+b.Service); byRoute != 0 {
			return byRoute
		}
		return int(a.Rank - b.Rank)
	})
	return list
}

func (s *routes) statuses(now time.Time) []ServiceStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]ServiceStatus, 0, len(s.services))
	for name, t := range s.services {
		t.mu.Lock()
		list = append(list, ServiceStatus{Service: name, Instances: t.table.Statuses(now)})
		t.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b ServiceStatus) int { return strings.Compare(a.Service, b.Service) })
	return list
}

func (q *quota) statuses(now time.Time, workspaces []catalog.Workspace) []QuotaStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := make([]QuotaStatus, 0, len(workspaces))
	for i := range workspaces {
		name := workspaces[i].Name
		list = append(list, QuotaStatus{Workspace: name, Status: q.limiter.Status(now, name)})
	}
	return list
}

func (q *quarantines) statuses(now time.Time) []QuarantineStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := []QuarantineStatus{}
	for _, m := range q.table.Quarantined(now) {
		if !m.Cleared {
			list = append(list, QuarantineStatus{
				Digest: m.Digest.String(), Instance: m.Crash.Instance, Boot: m.Crash.Boot, Age: m.Age, Source: m.Source,
			})
		}
	}
	return list
}

// collector returns the instance whose node is the collector in this node's view,
// empty if none is known.
func (q *quota) collector(now time.Time) member.InstanceID {
	q.mu.Lock()
	defer q.mu.Unlock()
	id, _ := q.election.Collector(now)
	return id
}
