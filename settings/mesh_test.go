package settings

import (
	"errors"
	"strings"
	"testing"
)

const meshSettings = `node: n1
zone: a
service: desk
listen:
  entry: 10.0.0.1:1
  peer: 10.0.0.1:2
  control: 10.0.0.1:3
  ready: 10.0.0.1:4
  metrics: 10.0.0.1:5
upstream: 10.0.0.1:6
store: 10.0.0.2:7
seeds: [10.0.0.3:3]
bounds: ["QuotaSlack=20"]
memoryMB: 284
`

func TestMeshSettings(t *testing.T) {
	got, err := ParseMesh("file", []byte(meshSettings))
	if err != nil {
		t.Fatal(err)
	}
	if got.Listen.Metrics != "10.0.0.1:5" || got.Bounds[0] != "QuotaSlack=20" || got.MemoryMB != 284 || got.Seeds[0] != "10.0.0.3:3" {
		t.Errorf("unexpected settings %+v", got)
	}
	for name, change := range map[string][2]string{
		"unknown field":  {"node: n1", "node: n1\nnoed: n2"},
		"no service":     {"service: desk\n", ""},
		"no port":        {"10.0.0.1:2", "10.0.0.1"},
		"name of a host": {"10.0.0.2:7", "store:7"},
		"wrong seed":     {"10.0.0.3:3", "somewhere"},
		"wrong type":     {"memoryMB: 284", "memoryMB: much"},
	} {
		_, err := ParseMesh("file", []byte(strings.Replace(meshSettings, change[0], change[1], 1)))
		if !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: error %v, want ErrInvalid", name, err)
		}
	}
}
