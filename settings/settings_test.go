package settings

import (
	"errors"
	"strings"
	"testing"
)

const validSettings = `instance: claims-1
zone: fukuoka-a
service: claims
listen:
  public: 127.0.0.1:7000
  loopback: 127.0.0.1:7001
  peer: 127.0.0.1:7002
  control: 127.0.0.1:7003
  operator: 127.0.0.1:7004
upstream:
  address: 127.0.0.1:8000
platform:
  address: 127.0.0.1:9000
secrets:
  - 000102030405060708090a0b0c0d0e0f
`

func TestParseValid(t *testing.T) {
	s, err := Parse("node.yaml", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Instance != "claims-1" || s.Limits.HeaderBytes != Default().Limits.HeaderBytes || len(s.Secrets[0]) != 16 {
		t.Fatalf("unexpected settings %+v", s)
	}
}

func TestParseRejects(t *testing.T) {
	tests := []struct{ name, from, to, want string }{
		{"unknown field", "zone:", "zoned:", "line 2: field zoned not found"},
		{"host name instead of an address", "127.0.0.1:8000", "upstream.example:80", "line 11: field upstream.address"},
		{"port zero", "127.0.0.1:7002", "127.0.0.1:0", "line 7: field listen.peer"},
		{"missing secret", "secrets:\n  - 000102030405060708090a0b0c0d0e0f\n", "", "field secrets: is missing"},
		{"short secret", "000102030405060708090a0b0c0d0e0f", "0001", "line 15: secret is shorter"},
		{"not hexadecimal", "000102030405060708090a0b0c0d0e0f", "zz", "line 15: secret is not hexadecimal"},
		{"missing service", "service: claims\n", "", "field service: is missing"},
		{"duplicate field", "zone: fukuoka-a", "zone: a\nzone: b", "already defined"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("node.yaml", []byte(strings.Replace(validSettings, tt.from, tt.to, 1)))
			if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), tt.want) || !strings.Contains(err.Error(), "node.yaml") {
				t.Fatalf("error = %v, want %q", err, tt.want)
			}
			if strings.Contains(err.Error(), "\n") {
				t.Fatalf("error spans lines: %q", err)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("node.yaml", data)
		if err == nil && (s.Instance == "" || len(s.Secrets) == 0) {
			t.Fatalf("accepted incomplete settings %+v", s)
		}
	})
}
