package catalog

import (
	"slices"
	"strings"
	"time"
)

// Version orders configurations; a higher one replaces a lower one.
type Version uint64

// Kind determines how often a request of a route may run.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests may run once for each attempt of a client.
	AtMostOnce
	// Download requests are idempotent and have large responses.
	Download
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k != AtMostOnce }

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case AtMostOnce:
		return "at-most-once"
	case Download:
		return "download"
	default:
		return "idempotent"
	}
}

// Rank orders requests by urgency, the most urgent first: by the rank of the
// workspace, then by that of the route.
type Rank int

// routeRanks is the number of ranks of routes within one rank of workspaces.
const routeRanks = 1000

// rankOf combines the published ranks of a workspace and a route.
func rankOf(workspace, route int) Rank {
	return Rank(workspace*routeRanks + min(max(route, 0), routeRanks-1))
}

// Route describes the requests of one host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds how long a caller waits for the response, 0 for no limit.
	Timeout time.Duration
	// Objective is the target latency: a response within it has its full value.
	// 0 means not published.
	Objective time.Duration
	// Rank orders the routes; 0 is the most urgent.
	Rank int
	// Public routes need no key.
	Public bool
	// MaxAttempts bounds the number of instances that one request is sent to.
	MaxAttempts int
	// Parts are the services among which the requests of the route are split.
	Parts []Part
}

// Part is a service with its weight in the split of a route.
type Part struct {
	Service string
	Weight  int
}

// Service describes the instances of one service.
type Service struct {
	Name string
	// MaxConnections is the number of connections that each instance accepts
	// from all callers together.
	MaxConnections int
}

// Workspace is a tenant with its keys and its quota over the whole fleet.
type Workspace struct {
	Name string
	Keys []string
	// Rank orders the workspaces and takes precedence over the rank of the
	// route; 0 is the most urgent.
	Rank int
	// Rate is the quota in requests per second, 0 for none; Burst is the number
	// of requests that may arrive at once.
	Rate  float64
	Burst float64
}

// Limited reports whether the workspace has a quota.
func (w *Workspace) Limited() bool { return w.Rate > 0 }

// Limits bound the resources that one caller can occupy: sizes in bytes and
// times. Zero means not published.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Definition is the content of a configuration before it is validated.
type Definition struct {
	Version    Version
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Catalog is one valid version of the configuration.
type Catalog struct {
	definition Definition
	byHost     map[string][]*Route
	byKey      map[string]*Workspace
	byName     map[string]*Route
	services   map[string]*Service
	// mostUrgentWorkspaceRank is the rank of the most urgent workspace.
	mostUrgentWorkspaceRank int
	ranks                   []Rank
}

// New validates a definition as a whole and returns its catalog. Errors are
// *InvalidError.
func New(d Definition) (*Catalog, error) {
	if err := d.validate(); err != nil {
		return nil, err
	}
	c := &Catalog{
		definition: d,
		byHost:     make(map[string][]*Route),
		byKey:      make(map[string]*Workspace),
		byName:     make(map[string]*Route),
		services:   make(map[string]*Service),
	}
	for i := range d.Routes {
		route := &d.Routes[i]
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
		c.byName[route.Name] = route
	}
	for i := range d.Workspaces {
		for _, key := range d.Workspaces[i].Keys {
			c.byKey[key] = &d.Workspaces[i]
		}
	}
	for i := range d.Services {
		c.services[d.Services[i].Name] = &d.Services[i]
	}
	c.setRanks()
	return c, nil
}

// Version returns the version of the configuration.
func (c *Catalog) Version() Version { return c.definition.Version }

// Limits returns the published limits.
func (c *Catalog) Limits() Limits { return c.definition.Limits }

// Workspaces returns all workspaces. The slice must not be changed.
func (c *Catalog) Workspaces() []Workspace { return c.definition.Workspaces }

// Routes returns all routes. The slice must not be changed.
func (c *Catalog) Routes() []Route { return c.definition.Routes }

// Route returns a route by its name, or nil.
func (c *Catalog) Route(name string) *Route { return c.byName[name] }

// Service returns a service by its name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Match returns the route with the longest prefix of the path among those of
// the host, or nil. A port in host is ignored.
func (c *Catalog) Match(host, path string) *Route {
	host, _, _ = strings.Cut(host, ":")
	var best *Route
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// Owner returns the workspace that the key belongs to, or nil.
func (c *Catalog) Owner(key string) *Workspace { return c.byKey[key] }

// RankOf returns the rank of a request. Requests without a workspace have the
// rank of the most urgent one.
func (c *Catalog) RankOf(route *Route, workspace *Workspace) Rank {
	if workspace == nil {
		return rankOf(c.mostUrgentWorkspaceRank, route.Rank)
	}
	return rankOf(workspace.Rank, route.Rank)
}

// Ranks returns the ranks of requests that need a key, the most urgent first.
func (c *Catalog) Ranks() []Rank { return c.ranks }

func (c *Catalog) setRanks() {
	workspaces, routes := []int{}, []int{}
	for _, workspace := range c.definition.Workspaces {
		workspaces = append(workspaces, workspace.Rank)
	}
	if len(workspaces) > 0 {
		c.mostUrgentWorkspaceRank = slices.Min(workspaces)
	} else {
		workspaces = []int{0}
	}
	for _, route := range c.definition.Routes {
		if !route.Public {
			routes = append(routes, route.Rank)
		}
	}
	for _, workspace := range workspaces {
		for _, route := range routes {
			c.ranks = append(c.ranks, rankOf(workspace, route))
		}
	}
	slices.Sort(c.ranks)
	c.ranks = slices.Compact(c.ranks)
}
