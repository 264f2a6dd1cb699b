package config

import (
	"regexp"
	"strconv"
	"strings"
)

// Revision is the revision of one value. It increases with every publication.
type Revision uint64

// FleetName is the name of the value that describes the whole fleet.
const FleetName = "fleet"

const (
	servicesPrefix  = "services/"
	instancesPrefix = "instances/"
	keysPrefix      = "keys/"
)

// MaxKeyShards is the maximum number of key shards.
const MaxKeyShards = 64

// Kind is the kind of a value, which follows from its name.
type Kind uint8

// Kinds of values.
const (
	KindUnknown Kind = iota
	KindFleet
	KindService
	KindInstances
	KindKeys
)

var identifier = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// ServiceName returns the name of the value with the routes of a service.
func ServiceName(service string) string { return servicesPrefix + service }

// InstancesName returns the name of the value with the instances of a service.
func InstancesName(service string) string { return instancesPrefix + service }

// KeysName returns the name of the value with one shard of the workspaces.
func KeysName(shard int) string { return keysPrefix + strconv.Itoa(shard) }

// KindOf returns the kind of the named value, or KindUnknown for a name that
// no value can have.
func KindOf(name string) Kind {
	kind, _ := splitName(name)
	return kind
}

// splitName returns the kind of the named value and the rest of the name: the
// service or the shard.
func splitName(name string) (Kind, string) {
	if name == FleetName {
		return KindFleet, ""
	}
	if service, ok := strings.CutPrefix(name, servicesPrefix); ok && identifier.MatchString(service) {
		return KindService, service
	}
	if service, ok := strings.CutPrefix(name, instancesPrefix); ok && identifier.MatchString(service) {
		return KindInstances, service
	}
	if text, ok := strings.CutPrefix(name, keysPrefix); ok {
		shard, err := strconv.Atoi(text)
		if err == nil && shard >= 0 && shard < MaxKeyShards && strconv.Itoa(shard) == text {
			return KindKeys, text
		}
	}
	return KindUnknown, ""
}
