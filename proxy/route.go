package proxy

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/retry"
	"github.com/toucancove/toucancove/core/routing"
)

// maxBootAge is the time since the last contact with an instance during which
// its boot id counts as current.
const maxBootAge = 5 * time.Second

// failureRetryAfter is the Retry-After time after a failure. By then a failed
// instance is probed again.
const failureRetryAfter = time.Second

// TableRouter is a Router that has a routing table and a retry budget for each
// service. It is safe for concurrent use.
type TableRouter struct {
	zone member.Zone

	mu       sync.RWMutex
	services map[string]*serviceRoutes
}

// serviceRoutes is the routing state of one service.
type serviceRoutes struct {
	mu        sync.Mutex
	table     *routing.Table
	budget    retry.Budget
	instances map[member.InstanceID]config.Instance
}

// Route is an instance chosen for one attempt.
type Route struct {
	Instance config.Instance

	choice routing.Choice
	routes *serviceRoutes
}

// NewTableRouter returns a router for an entry in the availability zone. It has
// no instances before Update.
func NewTableRouter(zone member.Zone) *TableRouter {
	return &TableRouter{zone: zone, services: make(map[string]*serviceRoutes)}
}

// Update sets the instances of all services to those of the view. Services
// whose instances have not been received keep theirs.
func (r *TableRouter) Update(view *config.View) {
	fleet := view.Fleet()
	if fleet == nil {
		return
	}
	now := time.Now()
	for _, service := range fleet.Services {
		if listed := view.Instances(service); listed != nil {
			r.addService(service).update(now, listed)
		}
	}
}

func (r *TableRouter) addService(name string) *serviceRoutes {
	r.mu.Lock()
	defer r.mu.Unlock()
	routes := r.services[name]
	if routes == nil {
		routes = &serviceRoutes{table: routing.NewTable(r.zone)}
		r.services[name] = routes
	}
	return routes
}

func (r *TableRouter) service(name string) (*serviceRoutes, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if routes := r.services[name]; routes != nil {
		return routes, nil
	}
	return nil, noInstance("no instance of the service is known")
}

func noInstance(detail string) *Refusal {
	refusal := notRun(fasthttp.StatusServiceUnavailable, ReasonNoInstance, detail)
	refusal.RetryAfter = failureRetryAfter
	return refusal
}

func (s *serviceRoutes) update(now time.Time, listed []config.Instance) {
	candidates := make([]routing.Candidate, 0, len(listed))
	instances := make(map[member.InstanceID]config.Instance, len(listed))
	for _, instance := range listed {
		state := routing.Serving
		if instance.State == config.Leaving {
			state = routing.Leaving
		}
		instances[instance.ID] = instance
		candidates = append(candidates, routing.Candidate{ID: instance.ID, Zone: instance.Zone, State: state})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = instances
	s.table.Update(now, candidates)
}

// Pick implements Router.
func (r *TableRouter) Pick(service string, request routing.Request) (Route, error) {
	routes, err := r.service(service)
	if err != nil {
		return Route{}, err
	}
	routes.mu.Lock()
	defer routes.mu.Unlock()
	choice, err := routes.table.Pick(time.Now(), rand.Uint64(), request)
	return routes.route(choice, err)
}

// Pin implements Router.
func (r *TableRouter) Pin(service string, id member.InstanceID) (Route, error) {
	routes, err := r.service(service)
	if err != nil {
		return Route{}, err
	}
	routes.mu.Lock()
	defer routes.mu.Unlock()
	choice, err := routes.table.Pin(time.Now(), id)
	return routes.route(choice, err)
}

func (s *serviceRoutes) route(choice routing.Choice, err error) (Route, error) {
	if errors.Is(err, routing.ErrNoInstance) {
		return Route{}, noInstance("no instance can take the request")
	}
	if err != nil {
		return Route{}, err
	}
	return Route{Instance: s.instances[choice.ID], choice: choice, routes: s}, nil
}

// Finished implements Router.
func (r *TableRouter) Finished(route Route, evidence Evidence) {
	now := time.Now()
	outcome := routing.Outcome{Result: evidence.result(), Latency: evidence.Latency, Report: evidence.Report}
	route.routes.mu.Lock()
	defer route.routes.mu.Unlock()
	route.routes.table.Finish(now, route.choice, outcome)
	if outcome.Result == routing.Completed {
		route.routes.budget.Succeeded(now)
	}
}

// Decide implements Router.
func (r *TableRouter) Decide(service string, request retry.Request, failure retry.Failure, attempts *retry.AttemptBudget) retry.Decision {
	routes, err := r.service(service)
	if err != nil {
		return retry.Decision{Reason: retry.Final}
	}
	routes.mu.Lock()
	defer routes.mu.Unlock()
	request.Expected = routes.table.TypicalLatency()
	return retry.Decide(time.Now(), request, failure, attempts, &routes.budget)
}

// Hung implements Router.
func (r *TableRouter) Hung(route Route, exclude []member.InstanceID) (hung bool, recheckAfter time.Duration) {
	route.routes.mu.Lock()
	defer route.routes.mu.Unlock()
	table := route.routes.table
	return table.Hung(time.Now(), route.choice, exclude), table.HangTimeout()
}

// Boot implements Router.
func (r *TableRouter) Boot(route Route) (member.BootID, bool) {
	route.routes.mu.Lock()
	defer route.routes.mu.Unlock()
	boot, lastContact := route.routes.table.Boot(route.Instance.ID)
	return boot, boot != 0 && time.Since(lastContact) < maxBootAge
}

// SetBoot implements Router.
func (r *TableRouter) SetBoot(route Route, boot member.BootID) {
	route.routes.mu.Lock()
	defer route.routes.mu.Unlock()
	route.routes.table.SetBoot(time.Now(), route.Instance.ID, boot)
}

// UnavailableInstance is an instance that receives no requests from this entry
// except probes.
type UnavailableInstance struct {
	Service  string
	Instance config.Instance
}

// Unavailable returns the instances that reported that they drain or leave, and
// those that are ejected.
func (r *TableRouter) Unavailable() []UnavailableInstance {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var unavailable []UnavailableInstance
	for name, routes := range r.services {
		routes.mu.Lock()
		for _, id := range routes.table.Unavailable() {
			unavailable = append(unavailable, UnavailableInstance{Service: name, Instance: routes.instances[id]})
		}
		routes.mu.Unlock()
	}
	return unavailable
}

// RecordBoot records the boot id that the node of an unavailable instance
// reported. A new boot id means that the node was restarted and serves again.
func (r *TableRouter) RecordBoot(instance UnavailableInstance, boot member.BootID) {
	routes, err := r.service(instance.Service)
	if err != nil {
		return
	}
	routes.mu.Lock()
	defer routes.mu.Unlock()
	routes.table.SetBoot(time.Now(), instance.Instance.ID, boot)
}

// Statuses returns the routing status of the instances of each service, for
// operators.
func (r *TableRouter) Statuses() map[string][]routing.Status {
	now := time.Now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := make(map[string][]routing.Status, len(r.services))
	for name, routes := range r.services {
		routes.mu.Lock()
		all[name] = routes.table.Statuses(now)
		routes.mu.Unlock()
	}
	return all
}
