package mesh

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/retry"
	"github.com/toucancove/toucancove/core/routing"
	"github.com/toucancove/toucancove/follow"
)

const (
	// maxTries bounds the instances that one request is offered to, those
	// included whose guards turned it away.
	maxTries = 4
	// busyPressure is the pressure of a guard from which requests are better
	// sent elsewhere: with it, its instance soon has no free slot.
	busyPressure = 0.75
	// usualShare is the part of the usual latency that must be left for
	// another attempt.
	usualShare = 0.7
)

// retryKind tells what a further attempt costs the fleet.
type retryKind uint8

const (
	// rejected: the instance did not run the request.
	rejected retryKind = iota
	// repeated: the request, with all its calls, may run again.
	repeated
)

// RetryLimits bound the attempts beyond the first at the instances of a service,
// over the whole fleet.
type RetryLimits struct {
	// Ratio is their share of the requests, Window the time it is counted over.
	Ratio  float64
	Window time.Duration
	// Slack may come on top in each window.
	Slack float64
}

// Parts of the limits that the kinds of attempts may use. A repeated request
// repeats its calls too, which count at their services.
const (
	rejectedShare = 0.5
	repeatedShare = 0.12
	// slackShare is the part of the slack that each kind may use: it comes back
	// several times in a window.
	slackShare = 0.1
	// budgetLife is the part of the window in which half of what a budget
	// counted is forgotten. A budget that is spent at once and then as it comes
	// back stays within 1.4 times its ratio in any window.
	budgetLife = 0.25
)

// pick is an instance chosen for one attempt.
type pick struct {
	instance catalog.Instance
	// own is set for the instance beside the node.
	own    bool
	choice routing.Choice
	table  *serviceTable
}

// routes chooses services and instances. It is safe for concurrent use.
type routes struct {
	zone   member.Zone
	own    string
	limits RetryLimits

	mu       sync.Mutex
	services map[string]*serviceTable
	splits   map[string]*split
	nodes    int
}

// serviceTable is what the entry knows of one service.
type serviceTable struct {
	mu        sync.Mutex
	table     *routing.Table
	instances map[member.InstanceID]catalog.Instance
	budgets   [2]retry.Budget
	latency   map[string]time.Duration
}

func newRoutes(zone member.Zone, ownAddress string, limits RetryLimits) *routes {
	return &routes{
		zone: zone, own: ownAddress, limits: limits,
		services: make(map[string]*serviceTable), splits: make(map[string]*split),
	}
}

// stateChanged takes the list of instances.
func (s *routes) stateChanged(now time.Time, state *follow.State) {
	if state.Directory == nil {
		return
	}
	byService := make(map[string][]catalog.Instance)
	for _, instance := range state.Directory.Instances() {
		byService[instance.Service] = append(byService[instance.Service], instance)
	}
	s.mu.Lock()
	for name := range byService {
		if s.services[name] == nil {
			s.services[name] = newServiceTable(s.zone)
		}
	}
	tables := make(map[string]*serviceTable, len(s.services))
	for name, table := range s.services {
		tables[name] = table
	}
	if state.Catalog != nil {
		maps.DeleteFunc(s.splits, func(name string, _ *split) bool { return state.Catalog.Route(name) == nil })
	}
	s.nodes = max(state.Directory.Len(), 1)
	limits := s.limits
	s.mu.Unlock()
	for name, table := range tables {
		table.update(now, byService[name])
		table.setBudgets(limits, state.Directory.Len())
		table.forgetRoutes(state)
	}
}

func newServiceTable(zone member.Zone) *serviceTable {
	return &serviceTable{table: routing.NewTableWith(zone, routing.ChainPolicy), latency: make(map[string]time.Duration)}
}

func (t *serviceTable) update(now time.Time, listed []catalog.Instance) {
	candidates := make([]routing.Candidate, 0, len(listed))
	instances := make(map[member.InstanceID]catalog.Instance, len(listed))
	for _, instance := range listed {
		state := routing.Serving
		if instance.Draining {
			state = routing.Leaving
		}
		instances[instance.ID] = instance
		candidates = append(candidates, routing.Candidate{ID: instance.ID, Zone: instance.Zone, Boot: instance.Boot, State: state})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances = instances
	t.table.Update(now, candidates)
}

// forgetRoutes drops what was learned of routes that are gone.
func (t *serviceTable) forgetRoutes(state *follow.State) {
	if state.Catalog == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.latency, func(name string, _ time.Duration) bool { return state.Catalog.Route(name) == nil })
}

// setBudgets gives the node its part of the retries that the fleet may make.
func (t *serviceTable) setBudgets(limits RetryLimits, nodes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slack := slackShare * limits.Slack / float64(max(nodes, 1))
	life := time.Duration(budgetLife * float64(limits.Window))
	t.budgets[rejected].SetLimits(rejectedShare*limits.Ratio, slack, life)
	t.budgets[repeated].SetLimits(repeatedShare*limits.Ratio, slack, life)
}

// setLimits replaces the limits of retries.
func (s *routes) setLimits(limits RetryLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	for _, t := range s.services {
		t.setBudgets(limits, s.nodes)
	}
}

func (s *routes) service(name string) *serviceTable {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.services[name]
}

// pick chooses an instance for the next attempt of a request.
func (s *routes) pick(r *request) (pick, error) {
	t := s.service(r.service)
	if t == nil {
		return pick{}, routing.ErrNoInstance
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	choice, err := t.table.Pick(time.Now(), rand.Uint64(), routing.Request{Exclude: r.tried, Retryable: r.route.Kind.Repeatable()})
	if err != nil {
		return pick{}, err
	}
	if len(r.tried) == 0 {
		for i := range t.budgets {
			t.budgets[i].Succeeded(time.Now())
		}
	}
	instance := t.instances[choice.ID]
	return pick{instance: instance, own: instance.Address == s.own, choice: choice, table: t}, nil
}

// finished records how an attempt ended.
func (s *routes) finished(p pick, o *outcome, latency time.Duration) {
	now := time.Now()
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	evidence := routing.Outcome{Result: o.result(), Latency: latency}
	if o.hinted {
		busy := max(float64(o.hint.Own)/100-busyPressure, 0)
		evidence.Report = &routing.Report{QueueDelay: time.Duration(busy * float64(t.table.TypicalLatency()))}
		if o.hint.Leaving {
			evidence.Report.State = routing.Leaving
		}
	}
	t.table.Finish(now, p.choice, evidence)
}

// learn records the latency of an answered request of a route.
func (s *routes) learn(r *request, latency time.Duration) {
	const weight = 0.05 // of one answer in the average
	t := s.service(r.service)
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if usual, ok := t.latency[r.route.Name]; ok {
		latency = usual + time.Duration(weight*float64(latency-usual))
	}
	t.latency[r.route.Name] = latency
}

// usual is the time that another attempt needs to be worth making.
func (s *routes) usual(r *request) time.Duration {
	return time.Duration(usualShare * float64(s.latencyOf(r)))
}

// latencyOf returns the average latency of the route's answers, 0 if none came.
func (s *routes) latencyOf(r *request) time.Duration {
	t := s.service(r.service)
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latency[r.route.Name]
}

// budget reports whether the fleet may make a further attempt, and counts it.
func (s *routes) budget(service string, kind retryKind) bool {
	t := s.service(service)
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budgets[kind].Take(time.Now())
}

// part chooses the service of a request among the parts of its route, so that
// each gets its weight exactly: the part that lags most behind its share is next.
func (s *routes) part(route *catalog.Route) string {
	if len(route.Parts) == 1 {
		return route.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sp := s.splits[route.Name]
	if sp == nil || sp.route != route {
		sp = newSplit(route)
		s.splits[route.Name] = sp
	}
	return sp.next()
}

// split deals the requests of a route to its parts.
type split struct {
	route *catalog.Route
	// owed is what each part lags behind its share, in requests x total weight.
	owed  []int
	total int
}

// newSplit begins at a random point, so that the nodes of a fleet don't all send
// their first requests to the same part.
func newSplit(route *catalog.Route) *split {
	s := &split{route: route, owed: make([]int, len(route.Parts))}
	for _, part := range route.Parts {
		s.total += part.Weight
	}
	for range rand.N(s.total) {
		s.next()
	}
	return s
}

func (s *split) next() string {
	best := 0
	for i, part := range s.route.Parts {
		s.owed[i] += part.Weight
		if s.owed[i] > s.owed[best] {
			best = i
		}
	}
	s.owed[best] -= s.total
	return s.route.Parts[best].Service
}

// instanceIP returns the IP address of an instance.
func instanceIP(instance catalog.Instance) string {
	address, err := netip.ParseAddrPort(instance.Address)
	if err != nil {
		return "" // the list holds only addresses that parse
	}
	return address.Addr().String()
}

// nodeAddress returns the address of the node beside an instance: nodes listen
// on the same ports, at the address of their instance.
func nodeAddress(instance catalog.Instance, port uint16) string {
	address, err := netip.ParseAddrPort(instance.Address)
	if err != nil {
		return "" // the list holds only addresses that parse
	}
	return netip.AddrPortFrom(address.Addr(), port).String()
}
