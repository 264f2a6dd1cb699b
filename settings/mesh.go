package settings

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/toucancove/toucancove/core/member"
)

// Mesh are the settings of a node of a mesh. Operators publish the rest of its
// configuration in the platform's store.
type Mesh struct {
	// Node is the name of the node's process.
	Node string `yaml:"node" validate:"required,max=255"`
	// Zone is the availability zone of the node.
	Zone member.Zone `yaml:"zone" validate:"required,max=255"`
	// Service is the service that the upstream belongs to.
	Service string `yaml:"service" validate:"required,max=255"`
	// Listen holds the addresses of the node's listeners.
	Listen MeshListen `yaml:"listen"`
	// Upstream is the IP:port of the upstream instance beside this node.
	Upstream string `yaml:"upstream" validate:"required,ipport"`
	// Store is the IP:port of the platform's store.
	Store string `yaml:"store" validate:"required,ipport"`
	// Seeds are the control addresses, as IP:port, of up to three other nodes.
	Seeds []string `yaml:"seeds" validate:"dive,ipport"`
	// FirstStart is set if the whole fleet starts for the first time. A node that
	// starts later compares its state with other nodes before it is ready.
	FirstStart bool `yaml:"firstStart"`
	// Bounds are the limits that the platform requires, as name=value. Package
	// platform decodes them.
	Bounds []string `yaml:"bounds"`
	// MemoryMB is the memory limit of the process in MiB; 0 for no limit.
	MemoryMB int64 `yaml:"memoryMB" validate:"min=0"`
}

// MeshListen holds listener addresses as IP:port.
type MeshListen struct {
	// Entry accepts requests of clients and of the node's own upstream.
	Entry string `yaml:"entry" validate:"required,ipport"`
	// Peer accepts requests of other nodes.
	Peer string `yaml:"peer" validate:"required,ipport"`
	// Control accepts control messages of other nodes.
	Control string `yaml:"control" validate:"required,ipport"`
	// Ready serves the readiness check.
	Ready string `yaml:"ready" validate:"required,ipport"`
	// Metrics serves counters, histograms and the status.
	Metrics string `yaml:"metrics" validate:"required,ipport"`
}

// LoadMesh reads and validates a settings file.
func LoadMesh(path string) (Mesh, error) {
	data, err := readFile(path)
	if err != nil {
		return Mesh{}, err
	}
	return ParseMesh(path, data)
}

// ParseMesh decodes and validates the content of a settings file. Errors contain
// name.
func ParseMesh(name string, data []byte) (Mesh, error) {
	var parsed Mesh
	if err := decodeStrict(name, data, &parsed); err != nil {
		return Mesh{}, err
	}
	if err := validate(parsed); err != nil {
		return Mesh{}, eris.Wrapf(ErrInvalid, "%s: %s", name, describeError(data, err))
	}
	return parsed, nil
}

// decodeStrict decodes a settings file of at most MaxFileBytes and rejects unknown
// fields.
func decodeStrict(name string, data []byte, into any) error {
	if len(data) > MaxFileBytes {
		return eris.Wrapf(ErrInvalid, "%s: larger than %d bytes", name, MaxFileBytes)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(into); err != nil {
		return eris.Wrapf(ErrInvalid, "%s: %s", name, addFieldPath(data, oneLine(err)))
	}
	return nil
}

// ReloadInterval is the time between checks whether the settings file has
// changed.
const ReloadInterval = 2 * time.Second
