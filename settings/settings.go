// Package settings reads the YAML settings of one node: its listen addresses,
// zone and secrets, and the addresses of its upstream and of the platform. The
// configuration that all nodes of a fleet share is published by the platform, see
// package config.
package settings

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/toucancove/toucancove/core/member"
)

// MaxFileBytes is the size limit of a settings file in bytes.
const MaxFileBytes = 64 << 10

// MinSecretBytes is the smallest accepted length of a fleet secret in bytes.
const MinSecretBytes = 16

// ErrInvalid is wrapped by every error about the content of a settings file.
var ErrInvalid = eris.New("settings are not valid")

// Settings are the settings of one node.
type Settings struct {
	// Instance is the id of the upstream instance and of this node, unique in the
	// fleet.
	Instance member.InstanceID `yaml:"instance" validate:"required,max=255"`
	// Zone is the availability zone of the node.
	Zone member.Zone `yaml:"zone" validate:"required,max=255"`
	// Service is the service that the upstream belongs to.
	Service string `yaml:"service" validate:"required,max=255"`
	// Listen holds the addresses of the node's listeners.
	Listen Listen `yaml:"listen"`
	// Upstream describes the upstream instance beside this node.
	Upstream Upstream `yaml:"upstream"`
	// Platform describes the configuration service.
	Platform Platform `yaml:"platform"`
	// Secrets are the fleet secrets in hexadecimal. The first one signs; the
	// signatures of all are accepted.
	Secrets []Secret `yaml:"secrets" validate:"required,min=1,max=2"`
	// Limits bound the resources that callers can occupy.
	Limits Limits `yaml:"limits"`
	// Shutdown configures a planned stop.
	Shutdown Shutdown `yaml:"shutdown"`
	// Quota configures the timing of the fleet-wide quota.
	Quota Quota `yaml:"quota"`
	// TLS holds the paths of the certificate files; without them the listeners use
	// plain TCP.
	TLS TLS `yaml:"tls"`
}

// Listen holds listener addresses as IP:port.
type Listen struct {
	// Public accepts requests of callers.
	Public string `yaml:"public" validate:"required,ipport"`
	// Loopback accepts the calls that the upstream makes.
	Loopback string `yaml:"loopback" validate:"required,ipport"`
	// Peer accepts requests from the entries of other nodes.
	Peer string `yaml:"peer" validate:"required,ipport"`
	// Control accepts control messages of other nodes.
	Control string `yaml:"control" validate:"required,ipport"`
	// Operator serves health, metrics and status.
	Operator string `yaml:"operator" validate:"required,ipport"`
}

// Upstream describes the upstream instance beside the node.
type Upstream struct {
	// Address is the upstream's listener as IP:port.
	Address string `yaml:"address" validate:"required,ipport"`
	// Connections is the maximum number of connections to the upstream.
	Connections int `yaml:"connections" validate:"min=1,max=65535"`
	// HealthPath is polled for health and draining; empty for none.
	HealthPath string `yaml:"healthPath" validate:"omitempty,startswith=/"`
	// LoadPath is polled for the load that the upstream reports; empty for none.
	LoadPath string `yaml:"loadPath" validate:"omitempty,startswith=/"`
}

// Platform describes the configuration service.
type Platform struct {
	// Address is the service's listener as IP:port.
	Address string `yaml:"address" validate:"required,ipport"`
}

// Limits bound the public listener.
type Limits struct {
	// HeaderBytes is the maximum size of a request header in bytes.
	HeaderBytes int `yaml:"headerBytes" validate:"min=1024,max=1048576"`
	// BodyBytes is the maximum size of a request body in bytes.
	BodyBytes int64 `yaml:"bodyBytes" validate:"min=0"`
	// Connections is the maximum number of connections of callers.
	Connections int `yaml:"connections" validate:"min=1"`
	// ConnectionsPerIP is the maximum number of connections from one IP address;
	// 0 for no limit.
	ConnectionsPerIP int `yaml:"connectionsPerIP" validate:"min=0"`
	// ReadTimeout bounds the time in which a caller sends a request.
	ReadTimeout time.Duration `yaml:"readTimeout" validate:"min=1ms"`
	// WriteTimeout bounds the time in which a caller receives a response.
	WriteTimeout time.Duration `yaml:"writeTimeout" validate:"min=1ms"`
	// IdleTimeout is the time without requests after which a keep-alive
	// connection is closed.
	IdleTimeout time.Duration `yaml:"idleTimeout" validate:"min=1ms"`
}

// Shutdown configures a planned stop.
type Shutdown struct {
	// Notice is how long the node announces that it is leaving while it still
	// accepts requests.
	Notice time.Duration `yaml:"notice" validate:"min=0"`
	// Timeout bounds the wait for requests in flight.
	Timeout time.Duration `yaml:"timeout" validate:"min=1ms"`
}

// Quota configures the timing that the fleet-wide quota assumes. All nodes must
// have the same values.
type Quota struct {
	// ListLag bounds how far a node's list of instances lags behind the
	// platform's.
	ListLag time.Duration `yaml:"listLag" validate:"min=10ms,max=1m"`
	// IsolateAfter is how long a node that has lost contact to its peers continues
	// to mint tokens.
	IsolateAfter time.Duration `yaml:"isolateAfter" validate:"min=100ms,max=1m"`
}

// TLS holds paths of PEM files.
type TLS struct {
	// Certificate and Key are the node's certificate and private key.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key" validate:"required_with=Certificate"`
	// PeerCA is the authority that verifies the certificates of other nodes; with
	// it the listeners for other nodes require mutual TLS.
	PeerCA string `yaml:"peerCA"`
}

// Secret is a fleet secret. It hides its value when printed.
type Secret []byte

// String implements fmt.Stringer without the value of the secret.
func (Secret) String() string { return "[secret]" }

// UnmarshalYAML decodes a secret from hexadecimal.
func (s *Secret) UnmarshalYAML(node *yaml.Node) error {
	raw, err := hex.DecodeString(node.Value)
	if err != nil {
		return fmt.Errorf("line %d: secret is not hexadecimal", node.Line)
	}
	if len(raw) < MinSecretBytes {
		return fmt.Errorf("line %d: secret is shorter than %d bytes", node.Line, MinSecretBytes)
	}
	*s = raw
	return nil
}

// Default returns the values of the settings that a file omits.
func Default() Settings {
	return Settings{
		Upstream: Upstream{Connections: 200},
		Limits: Limits{
			HeaderBytes:  16 << 10,
			BodyBytes:    1 << 30,
			Connections:  4096,
			ReadTimeout:  30 * time.Second,
			WriteTimeout: 60 * time.Second,
			IdleTimeout:  60 * time.Second,
		},
		Shutdown: Shutdown{Notice: 3 * time.Second, Timeout: 30 * time.Second},
		Quota:    Quota{ListLag: 3 * time.Second, IsolateAfter: 3 * time.Second},
	}
}

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, data)
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open settings")
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return data, nil
}

// Parse decodes and validates the content of a settings file. Errors contain
// name.
func Parse(name string, data []byte) (Settings, error) {
	parsed := Default()
	if err := decodeStrict(name, data, &parsed); err != nil {
		return Settings{}, err
	}
	if err := validate(parsed); err != nil {
		return Settings{}, eris.Wrapf(ErrInvalid, "%s: %s", name, describeError(data, err))
	}
	return parsed, nil
}

func validate(s any) error {
	check := validator.New()
	check.RegisterTagNameFunc(yamlFieldName)
	if err := check.RegisterValidation("ipport", isIPPort); err != nil {
		return err
	}
	return check.Struct(s)
}

func isIPPort(field validator.FieldLevel) bool {
	addr, err := netip.ParseAddrPort(field.Field().String())
	return err == nil && addr.Port() != 0
}

func oneLine(err error) string {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	text = strings.TrimPrefix(text, "unmarshal errors:")
	return strings.Join(strings.Fields(text), " ")
}

// describeError returns the first invalid field, its line and the reason.
func describeError(data []byte, err error) string {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err.Error()
	}
	first := fields[0]
	_, path, _ := strings.Cut(first.Namespace(), ".")
	return fmt.Sprintf("line %d: field %s: %s", lineOf(data, path), path, describeField(first))
}

func describeField(field validator.FieldError) string {
	switch field.Tag() {
	case "required":
		return "is missing"
	case "ipport":
		return fmt.Sprintf("%q is not an IP address with a port", field.Value())
	default:
		return fmt.Sprintf("must satisfy %s=%s", field.Tag(), field.Param())
	}
}
