package config

import (
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// Value is one published value: *Fleet, *Service, *Instances or *Keys. It is
// immutable once parsed.
type Value interface {
	// Name returns the name that the value is published under.
	Name() string
	// Rev returns the revision of the value.
	Rev() Revision
	validate(f *fieldChecker)
}

// Fleet is the configuration that all services share.
type Fleet struct {
	Revision Revision `yaml:"revision"`
	Classes  []Class  `yaml:"classes"`
	Services []string `yaml:"services"`
	// KeyShards is the number of Keys values, which are named from keys/0 up.
	KeyShards int `yaml:"keyShards"`
}

// Class is a class of requests with its target.
type Class struct {
	Name   string `yaml:"name"`
	Target Target `yaml:"target"`
}

// Target is a service level objective: the share of requests that must complete
// within a time.
type Target struct {
	// Completion is the share of requests, above 0 and at most 1.
	Completion float64 `yaml:"completion"`
	// Within is a duration with a unit, like 2s.
	Within time.Duration `yaml:"within"`
}

// Service sets the classes of the requests to one service and bounds their
// attempts.
type Service struct {
	Revision Revision `yaml:"revision"`
	Service  string   `yaml:"service"`
	// DefaultClass is the class of requests that match no route.
	DefaultClass string `yaml:"defaultClass"`
	// Attempts bounds the attempts of a root request over its whole call chain.
	Attempts int     `yaml:"attempts"`
	Routes   []Route `yaml:"routes"`
}

// Route sets the class of the requests of one method and path prefix.
type Route struct {
	// Method is an HTTP method; empty matches any.
	Method string `yaml:"method"`
	// Path is a prefix of whole path segments.
	Path  string `yaml:"path"`
	Class string `yaml:"class"`
	// Idempotent requests may be retried.
	Idempotent bool `yaml:"idempotent"`
	// Open requests need no workspace key.
	Open bool `yaml:"open"`
}

// Instances lists the instances of one service. The list lags behind the actual
// state of the instances.
type Instances struct {
	Revision  Revision   `yaml:"revision"`
	Service   string     `yaml:"service"`
	Instances []Instance `yaml:"instances"`
}

// State is the published state of an instance.
type State string

// States of instances. An empty state means Live.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one upstream instance with its node.
type Instance struct {
	// Service is set from the list that contains the instance.
	Service string            `yaml:"-"`
	ID      member.InstanceID `yaml:"id"`
	Zone    member.Zone       `yaml:"zone"`
	// Peer is the IP address and port of the node's data listener for peers.
	Peer string `yaml:"peer"`
	// Control is the IP address and port of the node's control listener.
	Control string `yaml:"control"`
	State   State  `yaml:"state"`
}

// Keys holds one shard of the workspaces.
type Keys struct {
	Revision   Revision    `yaml:"revision"`
	Shard      int         `yaml:"shard"`
	Workspaces []Workspace `yaml:"workspaces"`
}

// Workspace is a tenant with its quota over the whole fleet.
type Workspace struct {
	Name string `yaml:"name"`
	// Rate is the quota in requests per second.
	Rate float64 `yaml:"rate"`
	// Burst is the number of requests that may arrive at once.
	Burst float64 `yaml:"burst"`
	Keys  []Key   `yaml:"keys"`
}

// Key is the digest of a workspace key. The key itself is never published.
type Key struct {
	// Digest is sha256: and 64 lower case hexadecimal digits.
	Digest string `yaml:"digest"`
}

// Name implements Value.
func (v *Fleet) Name() string { return FleetName }

// Rev implements Value.
func (v *Fleet) Rev() Revision { return v.Revision }

// Name implements Value.
func (v *Service) Name() string { return ServiceName(v.Service) }

// Rev implements Value.
func (v *Service) Rev() Revision { return v.Revision }

// Name implements Value.
func (v *Instances) Name() string { return InstancesName(v.Service) }

// Rev implements Value.
func (v *Instances) Rev() Revision { return v.Revision }

// Name implements Value.
func (v *Keys) Name() string { return KeysName(v.Shard) }

// Rev implements Value.
func (v *Keys) Rev() Revision { return v.Revision }
