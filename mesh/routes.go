package mesh

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/retry"
	"github.com/toucancove/toucancove/core/routing"
	"github.com/toucancove/toucancove/follow"
)

const (
	// maxTries bounds the number of instances tried for one request, including
	// those whose guards refused it.
	maxTries = 4
	// busyPressure is the pressure of a guard above which requests should prefer
	// other instances: the instance soon has no free slot.
	busyPressure = 0.75
	// minTimeLeftShare is the share of the average latency that must be left
	// before the deadline for another attempt.
	minTimeLeftShare = 0.7
)

// retryKind distinguishes retries by the load that they add to the fleet.
type retryKind uint8

const (
	// retryRejected: the instance did not run the request.
	retryRejected retryKind = iota
	// retryRepeated: the request and all its calls may run again.
	retryRepeated
)

// RetryLimits bound the retries at the instances of a service over the whole fleet.
type RetryLimits struct {
	// Ratio is the ratio of retries to requests, counted over Window.
	Ratio  float64
	Window time.Duration
	// Slack is the number of retries allowed in each window in addition to Ratio.
	Slack float64
}

// Shares of the limits for each kind of retry. The share of repeated requests is
// smaller, since they repeat their calls too, which count at the services called.
const (
	rejectedShare = 0.25
	repeatedShare = 0.12
	// resendShare is the share for requests that guards send to their instance again.
	resendShare = 0.25
	// slackShare is the share of the slack for each kind.
	slackShare = 0.1
)

// pick is the instance chosen for one attempt.
type pick struct {
	instance catalog.Instance
	// own is set for the own instance, which is reached without a peer.
	own    bool
	choice routing.Choice
	table  *serviceTable
}

// routes selects services and instances. It is safe for concurrent use.
type routes struct {
	zone member.Zone
	// own is the address of the own instance.
	own    string
	limits RetryLimits

	mu       sync.Mutex
	services map[string]*serviceTable
	// splits holds the split of each route that has several parts.
	splits map[string]*split
	// nodes is the number of nodes of the fleet.
	nodes int
}

// serviceTable is the state of the entry for one service: the load balancer, the
// listed instances, the retry budgets by kind, and the average latency by route.
type serviceTable struct {
	mu        sync.Mutex
	table     *routing.Table
	instances map[member.InstanceID]catalog.Instance
	announced knownAnnouncements
	budgets   [2]retry.WindowBudget
	latency   map[string]time.Duration
}

func newRoutes(zone member.Zone, ownAddress string, limits RetryLimits) *routes {
	return &routes{
		zone: zone, own: ownAddress, limits: limits,
		services: make(map[string]*serviceTable), splits: make(map[string]*split),
	}
}

// stateChanged applies the list of instances.
func (s *routes) stateChanged(now time.Time, state *follow.State) {
	if state.Directory == nil {
		return
	}
	byService := make(map[string][]catalog.Instance)
	for _, instance := range state.Instances() {
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
	s.nodes = max(len(state.Instances()), 1)
	limits := s.limits
	s.mu.Unlock()
	for name, table := range tables {
		table.update(now, byService[name])
		table.setBudgets(limits, len(state.Instances()))
		table.deleteRemovedRoutes(state)
	}
}

func newServiceTable(zone member.Zone) *serviceTable {
	return &serviceTable{
		table: routing.NewTableWith(zone, routing.ChainPolicy), latency: make(map[string]time.Duration),
		announced: make(knownAnnouncements),
	}
}

func (t *serviceTable) update(now time.Time, listed []catalog.Instance) {
	instances := make(map[member.InstanceID]catalog.Instance, len(listed))
	for _, instance := range listed {
		instances[instance.ID] = instance
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances = instances
	t.announced.deleteUnlisted(now, t.lists)
	t.updateTable(now)
}

// updateTable gives the load balancer the listed instances, of which those that are
// about to stop get no new requests. The caller holds mu.
func (t *serviceTable) updateTable(now time.Time) {
	candidates := make([]routing.Candidate, 0, len(t.instances))
	for _, instance := range t.instances {
		state := routing.Serving
		if instance.Draining || t.announced.leaving(instance) {
			state = routing.Leaving
		}
		candidates = append(candidates, routing.Candidate{ID: instance.ID, Zone: instance.Zone, Boot: instance.Boot, State: state})
	}
	t.table.Update(now, candidates)
}

// deleteRemovedRoutes drops the latencies of routes that are no longer published.
func (t *serviceTable) deleteRemovedRoutes(state *follow.State) {
	if state.Catalog == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.latency, func(name string, _ time.Duration) bool { return state.Catalog.Route(name) == nil })
}

// setBudgets sets this node's share of the retries that the fleet may make.
func (t *serviceTable) setBudgets(limits RetryLimits, nodes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slack := slackShare * limits.Slack / float64(max(nodes, 1))
	t.budgets[retryRejected].SetLimits(rejectedShare*limits.Ratio, slack, limits.Window)
	t.budgets[retryRepeated].SetLimits(repeatedShare*limits.Ratio, slack, limits.Window)
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

// pick selects an instance for the next attempt of a request.
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
			t.budgets[i].Requested(time.Now())
		}
	}
	instance := t.instances[choice.ID]
	return pick{instance: instance, own: instance.Address == s.own, choice: choice, table: t}, nil
}

// finish records the outcome of an attempt.
func (s *routes) finish(p pick, o *outcome, latency time.Duration) {
	now := time.Now()
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	evidence := routing.Outcome{Result: o.routingResult(), Latency: latency}
	if o.hasHint {
		busy := max(float64(o.hint.Own)/100-busyPressure, 0)
		evidence.Report = &routing.Report{QueueDelay: time.Duration(busy * float64(t.table.TypicalLatency()))}
		if o.hint.Leaving {
			evidence.Report.State = routing.Leaving
		}
	}
	t.table.Finish(now, p.choice, evidence)
}

// observeAnnouncements records what the instance of an attempt says of itself in its
// response.
func (s *routes) observeAnnouncements(p pick, sent, now time.Time, header *fasthttp.ResponseHeader, names Headers) {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.listsStart(p.instance) {
		return
	}
	known := t.announced.of(p.instance)
	stayed := !known.leaving
	if known.observe(sent, now, header, names) && stayed && known.leaving {
		t.updateTable(now)
	}
}

// lists reports whether an instance is listed. The caller holds mu.
func (t *serviceTable) lists(id member.InstanceID) bool {
	_, ok := t.instances[id]
	return ok
}

// listsStart reports whether the same start of an instance is still listed. The caller
// holds mu.
func (t *serviceTable) listsStart(instance catalog.Instance) bool {
	return t.lists(instance.ID) && t.instances[instance.ID].Boot == instance.Boot
}

// requestLimit returns the request limit that the instance of an attempt names. It
// returns false if it advertises none.
func (s *routes) requestLimit(p pick) (perSecond float64, ok bool) {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.listsStart(p.instance) {
		return 0, false
	}
	return t.announced.of(p.instance).limit.Rate()
}

// observeLatency records the latency of an answered request of a route.
func (s *routes) observeLatency(r *request, latency time.Duration) {
	const weight = 0.05 // of one response in the moving average
	t := s.service(r.service)
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if average, ok := t.latency[r.route.Name]; ok {
		latency = average + time.Duration(weight*float64(latency-average))
	}
	t.latency[r.route.Name] = latency
}

// minRetryTime returns the time before the deadline that another attempt needs.
func (s *routes) minRetryTime(r *request) time.Duration {
	return time.Duration(minTimeLeftShare * float64(s.latencyOf(r)))
}

// latencyOf returns the average latency of the route's responses, 0 before the first.
func (s *routes) latencyOf(r *request) time.Duration {
	t := s.service(r.service)
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latency[r.route.Name]
}

// takeRetry reports whether the retry budget allows another attempt, and counts it.
func (s *routes) takeRetry(service string, kind retryKind) bool {
	t := s.service(service)
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budgets[kind].Take(time.Now())
}

// chooseService selects the service of a request among the parts of its route by
// smooth weighted round-robin, so that each part gets exactly its weight.
func (s *routes) chooseService(route *catalog.Route) string {
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

// split is a smooth weighted round-robin over the parts of a route.
type split struct {
	route *catalog.Route
	// current is the current weight of each part; the highest is next. It is
	// the number of requests by which the part lags behind its share, multiplied by
	// totalWeight.
	current     []int
	totalWeight int
}

// newSplit starts at a random position, so that the nodes of a fleet don't all send
// their first requests to the same part.
func newSplit(route *catalog.Route) *split {
	s := &split{route: route, current: make([]int, len(route.Parts))}
	for _, part := range route.Parts {
		s.totalWeight += part.Weight
	}
	for range rand.N(s.totalWeight) {
		s.next()
	}
	return s
}

func (s *split) next() string {
	best := 0
	for i, part := range s.route.Parts {
		s.current[i] += part.Weight
		if s.current[i] > s.current[best] {
			best = i
		}
	}
	s.current[best] -= s.totalWeight
	return s.route.Parts[best].Service
}

// instanceIP returns the IP address of an instance.
func instanceIP(instance catalog.Instance) string {
	address, err := netip.ParseAddrPort(instance.Address)
	if err != nil {
		return "" // listed addresses always parse
	}
	return address.Addr().String()
}

// nodeAddress returns the address of the node beside an instance. A node listens on
// the IP address of its instance, and the ports are the same on all nodes.
func nodeAddress(instance catalog.Instance, port uint16) string {
	address, err := netip.ParseAddrPort(instance.Address)
	if err != nil {
		return "" // listed addresses always parse
	}
	return netip.AddrPortFrom(address.Addr(), port).String()
}
