package settings

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/toucancove/toucancove/core/member"
)

// Mesh are the settings of a node of a mesh whose configuration operators
// publish in the platform's store.
type Mesh struct {
	// Node names the process.
	Node string `yaml:"node" validate:"required,max=255"`
	// Zone is the availability zone of the node.
	Zone member.Zone `yaml:"zone" validate:"required,max=255"`
	// Service is the service that the upstream belongs to.
	Service string `yaml:"service" validate:"required,max=255"`
	// Listen holds the addresses of the node's listeners.
	Listen MeshListen `yaml:"listen"`
	// Upstream is the IP:port of the instance beside this node.
	Upstream string `yaml:"upstream" validate:"required,ipport"`
	// Store is the IP:port of the platform's store.
	Store string `yaml:"store" validate:"required,ipport"`
	// Seeds are control addresses of up to three other nodes.
	Seeds []string `yaml:"seeds" validate:"dive,ipport"`
	// Bounds are the figures of the platform's rules as name=value; the adapter
	// of the platform reads them.
	Bounds []string `yaml:"bounds"`
	// MemoryMB is what the process may use, in megabytes; 0 for no limit.
	MemoryMB int64 `yaml:"memoryMB" validate:"min=0"`
}

// MeshListen holds listener addresses as IP:port.
type MeshListen struct {
	// Entry takes requests of clients and of the own upstream.
	Entry string `yaml:"entry" validate:"required,ipport"`
	// Peer takes requests of other nodes.
	Peer string `yaml:"peer" validate:"required,ipport"`
	// Control takes control messages of other nodes.
	Control string `yaml:"control" validate:"required,ipport"`
	// Ready answers whether the node serves.
	Ready string `yaml:"ready" validate:"required,ipport"`
	// Metrics serves counters and histograms.
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

// ParseMesh validates the content of a settings file; name is used in errors.
func ParseMesh(name string, data []byte) (Mesh, error) {
	var parsed Mesh
	if err := decodeStrict(name, data, &parsed); err != nil {
		return Mesh{}, err
	}
	if err := validate(parsed); err != nil {
		return Mesh{}, eris.Wrapf(ErrInvalid, "%s: %s", name, locate(data, err))
	}
	return parsed, nil
}

// decodeStrict decodes a settings file and refuses unknown fields.
func decodeStrict(name string, data []byte, into any) error {
	if len(data) > MaxFileBytes {
		return eris.Wrapf(ErrInvalid, "%s: larger than %d bytes", name, MaxFileBytes)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(into); err != nil {
		return eris.Wrapf(ErrInvalid, "%s: %s", name, nameField(data, oneLine(err)))
	}
	return nil
}

// ReloadInterval is the time between looks for a changed settings file.
const ReloadInterval = 2 * time.Second
