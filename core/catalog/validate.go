package catalog

import (
	"fmt"
	"strings"
)

// InvalidError reports why a configuration is refused as a whole.
type InvalidError struct {
	Version Version
	// Field names the invalid item, like "route r1" or "workspace w1".
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("catalog: version %d: %s: %s", e.Version, e.Field, e.Reason)
}

func (d *Definition) invalid(field, reason string) error {
	return &InvalidError{Version: d.Version, Field: field, Reason: reason}
}

func (d *Definition) validate() error {
	if d.Version == 0 {
		return d.invalid("version", "missing")
	}
	services := make(map[string]bool, len(d.Services))
	for _, service := range d.Services {
		services[service.Name] = true
	}
	for i := range d.Routes {
		if err := d.validateRoute(&d.Routes[i], services); err != nil {
			return err
		}
	}
	return d.validateKeys()
}

func (d *Definition) validateRoute(r *Route, services map[string]bool) error {
	field := "route " + r.Name
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return d.invalid(field, "prefix must begin and end with a slash")
	}
	if len(r.Parts) == 0 {
		return d.invalid(field, "names no service")
	}
	if r.Timeout < 0 || r.Objective < 0 {
		return d.invalid(field, "timeout or target latency is negative")
	}
	if r.MaxAttempts < 1 {
		return d.invalid(field, "maximum number of attempts is below 1")
	}
	total := 0
	for _, part := range r.Parts {
		if !services[part.Service] {
			return d.invalid(field, "unknown service "+part.Service)
		}
		if part.Weight < 0 {
			return d.invalid(field, "negative weight")
		}
		total += part.Weight
	}
	if total == 0 {
		return d.invalid(field, "sum of weights is 0")
	}
	return nil
}

// validateKeys refuses a key that two workspaces share, since requests with the
// key could not be assigned to one of them.
func (d *Definition) validateKeys() error {
	owners := make(map[string]string)
	for _, workspace := range d.Workspaces {
		for _, key := range workspace.Keys {
			if owner, taken := owners[key]; taken && owner != workspace.Name {
				return d.invalid("workspace "+workspace.Name, "shares a key with "+owner)
			}
			owners[key] = workspace.Name
		}
	}
	return nil
}
