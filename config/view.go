package config

import (
	"crypto/subtle"
	"maps"
	"slices"

	"github.com/toucancove/toucancove/core/target"
)

// View is a snapshot of the newest accepted values. It is immutable and safe
// for concurrent use; the zero View is empty.
type View struct {
	values    map[string]Value
	order     *target.Order
	fleet     *Fleet
	instances []Instance
	shards    [MaxKeyShards]*keyIndex
}

// NamedRevision is the revision of a named value in a view.
type NamedRevision struct {
	Name     string
	Revision Revision
}

// NewView returns an empty view.
func NewView() *View { return &View{order: target.NewOrder(nil)} }

// With returns a copy of v with the value added or replaced. It returns a
// *StaleRevisionError if v holds the same or a higher revision of the value.
func (v *View) With(value Value) (*View, error) {
	name := value.Name()
	if have, ok := v.values[name]; ok && value.Rev() <= have.Rev() {
		return nil, &StaleRevisionError{Name: name, Have: have.Rev(), Got: value.Rev()}
	}
	next := *v
	next.values = maps.Clone(v.values)
	if next.values == nil {
		next.values = make(map[string]Value)
	}
	next.values[name] = value
	switch value := value.(type) {
	case *Fleet:
		next.fleet = value
		next.order = target.NewOrder(classes(value))
		next.instances = next.listInstances()
	case *Instances:
		next.instances = next.listInstances()
	case *Keys:
		next.shards[value.Shard] = newKeyIndex(value)
	}
	return &next, nil
}

func classes(fleet *Fleet) []target.Class {
	list := make([]target.Class, 0, len(fleet.Classes))
	for _, c := range fleet.Classes {
		list = append(list, target.Class{
			Name:   c.Name,
			Target: target.Target{Completion: c.Target.Completion, Within: c.Target.Within},
		})
	}
	return list
}

func (v *View) listInstances() []Instance {
	var list []Instance
	for _, service := range v.services() {
		list = append(list, v.Instances(service)...)
	}
	return list
}

func (v *View) services() []string {
	if v.fleet == nil {
		return nil
	}
	return v.fleet.Services
}

// Fleet returns the fleet value, or nil if the view has none.
func (v *View) Fleet() *Fleet { return v.fleet }

// Order returns the order of the classes. It is empty without a fleet value.
func (v *View) Order() *target.Order {
	if v.order == nil {
		return target.NewOrder(nil)
	}
	return v.order
}

// Service returns the routes of a service.
func (v *View) Service(name string) (*Service, bool) {
	service, ok := v.values[ServiceName(name)].(*Service)
	return service, ok
}

// Instances returns the published instances of a service. Callers must not
// change the slice.
func (v *View) Instances(service string) []Instance {
	list, ok := v.values[InstancesName(service)].(*Instances)
	if !ok {
		return nil
	}
	return list.Instances
}

// AllInstances returns the published instances of all services of the fleet,
// in the order of the services. Callers must not change the slice.
func (v *View) AllInstances() []Instance { return v.instances }

// Workspace returns the workspace with the name. If several shards publish the
// same name, the lowest shard takes precedence.
func (v *View) Workspace(name string) (Workspace, bool) {
	for _, index := range v.keyShards() {
		if index == nil {
			continue
		}
		if workspace, ok := index.workspaces[name]; ok {
			return workspace.Workspace, true
		}
	}
	return Workspace{}, false
}

// LookupKey returns the workspace and the id of the key with the digest.
func (v *View) LookupKey(digest [digestBytes]byte) (workspace, keyID string, ok bool) {
	for _, index := range v.keyShards() {
		if index == nil {
			continue
		}
		for _, key := range index.keys[KeyID(digest)] {
			if subtle.ConstantTimeCompare(key.digest[:], digest[:]) == 1 {
				return key.workspace, KeyID(digest), true
			}
		}
	}
	return "", "", false
}

// HasKey reports whether the workspace has a key with the id.
func (v *View) HasKey(keyID, workspace string) bool {
	for _, index := range v.keyShards() {
		if index == nil {
			continue
		}
		if w, ok := index.workspaces[workspace]; ok {
			return w.keyIDs[keyID]
		}
	}
	return false
}

// keyShards returns the shards in use, whose number the fleet value sets. A
// shard that has not been received is nil.
func (v *View) keyShards() []*keyIndex {
	if v.fleet == nil {
		return nil
	}
	return v.shards[:v.fleet.KeyShards]
}

// Revision returns the revision of a value in the view, or 0.
func (v *View) Revision(name string) Revision {
	if value, ok := v.values[name]; ok {
		return value.Rev()
	}
	return 0
}

// Revisions returns the revisions of all values in the view, sorted by name.
func (v *View) Revisions() []NamedRevision {
	list := make([]NamedRevision, 0, len(v.values))
	for _, name := range slices.Sorted(maps.Keys(v.values)) {
		list = append(list, NamedRevision{Name: name, Revision: v.values[name].Rev()})
	}
	return list
}

// keyIndex indexes the workspaces and keys of one shard.
type keyIndex struct {
	workspaces map[string]indexedWorkspace // by name
	keys       map[string][]indexedKey     // by key id
}

type indexedWorkspace struct {
	Workspace
	keyIDs map[string]bool
}

type indexedKey struct {
	digest    [digestBytes]byte
	workspace string
}

func newKeyIndex(keys *Keys) *keyIndex {
	index := &keyIndex{
		workspaces: make(map[string]indexedWorkspace, len(keys.Workspaces)),
		keys:       make(map[string][]indexedKey),
	}
	for _, w := range keys.Workspaces {
		ids := make(map[string]bool, len(w.Keys))
		for _, k := range w.Keys {
			digest, _ := parseDigest(k.Digest)
			id := KeyID(digest)
			ids[id] = true
			index.keys[id] = append(index.keys[id], indexedKey{digest: digest, workspace: w.Name})
		}
		index.workspaces[w.Name] = indexedWorkspace{Workspace: w, keyIDs: ids}
	}
	return index
}
