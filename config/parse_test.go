package config

import (
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

const fleetBody = `revision: 3
classes:
  - {name: settlement, target: {completion: 0.999, within: 500ms}}
  - {name: bulk, target: {completion: 0.9, within: 1m}}
services: [ledger]
keyShards: 2
`

const serviceBody = `revision: 1
service: ledger
defaultClass: bulk
routes:
  - {path: /settle, class: settlement, method: POST}
  - {path: /settle, class: bulk, idempotent: true}
  - {path: /settle/public/, class: bulk, open: true}
`

const instancesBody = `revision: 1
service: ledger
instances:
  - {id: ledger-1, zone: a, peer: "10.0.0.1:80", control: "10.0.0.1:81"}
  - {id: ledger-2, zone: b, peer: "10.0.0.2:80", control: "10.0.0.2:81", state: leaving}
`

func keysBody(revision, shard int, workspace, digit string) string {
	return fmt.Sprintf("revision: %d\nshard: %d\nworkspaces:\n  - name: %s\n    rate: 20\n    burst: 40\n"+
		"    keys:\n      - digest: sha256:%s\n", revision, shard, workspace, strings.Repeat(digit, 64))
}

func aliasBomb() string {
	var b strings.Builder
	b.WriteString("revision: 3\na0: &a0 [x,x,x,x,x,x,x,x,x]\n")
	for i := 1; i < 12; i++ {
		fmt.Fprintf(&b, "a%d: &a%d [*a%d,*a%d,*a%d,*a%d,*a%d,*a%d,*a%d,*a%d]\n", i, i, i-1, i-1, i-1, i-1, i-1, i-1, i-1, i-1)
	}
	return b.String()
}

func TestParseRefusesInvalidValues(t *testing.T) {
	tests := []struct {
		name, value, body string
		want              error
		field             string
		line              int
	}{
		{"unknown name", "other", "revision: 3\n", ErrName, "", 0},
		{"shard with a leading zero", "keys/01", keysBody(3, 1, "w", "a"), ErrName, "", 0},
		{"other service in the body", "services/desk", strings.Replace(serviceBody, "1", "3", 1), ErrName, "", 1},
		{"other shard in the body", "keys/1", keysBody(3, 0, "w", "a"), ErrName, "", 1},
		{"revision differs", "fleet", strings.Replace(fleetBody, "3", "4", 1), ErrRevision, "revision", 1},
		{"revision missing", "fleet", strings.Replace(fleetBody, "revision: 3\n", "", 1), ErrRevision, "revision", 1},
		{"too large", "fleet", fleetBody + strings.Repeat("#", MaxBytes), ErrTooLarge, "", 0},
		{"too many elements", "fleet", "classes: [" + strings.Repeat("a,", maxElements) + "]", ErrTooLarge, "", 0},
		{"alias bomb", "fleet", aliasBomb(), ErrAlias, "", 2},
		{"empty", "fleet", "", ErrSyntax, "", 0},
		{"truncated", "fleet", fleetBody[:60], ErrSyntax, "", 0},
		{"a list", "fleet", "- a\n", ErrSyntax, "", 0},
		{"unknown field", "fleet", fleetBody + "weights: 3\n", ErrSyntax, "weights", 7},
		{"duplicate key", "fleet", fleetBody + "keyShards: 3\n", ErrSyntax, "keyShards", 7},
		{"second document", "fleet", fleetBody + "---\nrevision: 3\n", ErrSyntax, "", 7},
		{"wrong type", "fleet", strings.Replace(fleetBody, "keyShards: 2", "keyShards: many", 1), ErrSyntax, "", 6},
		{"no shard", "fleet", strings.Replace(fleetBody, "keyShards: 2", "keyShards: 0", 1), ErrField, "keyShards", 6},
		{"completion not a number", "fleet", strings.Replace(fleetBody, "0.999", ".nan", 1), ErrField, "classes[0].target.completion", 3},
		{"time without unit", "fleet", strings.Replace(fleetBody, "1m", "100", 1), ErrSyntax, "", 4},
		{"time too short", "fleet", strings.Replace(fleetBody, "1m", "1us", 1), ErrField, "classes[1].target.within", 4},
		{"class twice", "fleet", strings.Replace(fleetBody, "bulk", "settlement", 1), ErrField, "classes[1].name", 4},
		{"relative path", "services/ledger", strings.Replace(strings.Replace(serviceBody, "1", "3", 1), "path: /settle,", "path: settle,", 1), ErrField, "routes[0].path", 5},
		{"route twice", "services/ledger", strings.Replace(strings.Replace(serviceBody, "1", "3", 1), ", method: POST", "", 1), ErrField, "routes[1].path", 6},
		{"host name", "instances/ledger", strings.Replace(strings.Replace(instancesBody, "1", "3", 1), "10.0.0.2:80", "host:80", 1), ErrField, "instances[1].peer", 5},
		{"address twice", "instances/ledger", strings.Replace(strings.Replace(instancesBody, "1", "3", 1), "10.0.0.2:80", "10.0.0.1:80", 1), ErrField, "instances[1].peer", 5},
		{"infinite rate", "keys/0", strings.Replace(keysBody(3, 0, "w", "a"), "20", ".inf", 1), ErrField, "workspaces[0].rate", 5},
		{"short digest", "keys/0", strings.Replace(keysBody(3, 0, "w", "a"), "aaa", "", 1), ErrField, "workspaces[0].keys[0].digest", 8},
		{"plaintext key", "keys/0", strings.Replace(keysBody(3, 0, "w", "a"), "sha256:", "", 1), ErrField, "workspaces[0].keys[0].digest", 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse(tt.value, []byte(tt.body), 3)
			var invalid *InvalidError
			if !errors.Is(err, tt.want) || !errors.As(err, &invalid) {
				t.Fatalf("Parse: %v; want %v", err, tt.want)
			}
			if invalid.Field != tt.field || (tt.line != 0 && invalid.Line != tt.line) {
				t.Errorf("field %q, line %d; want %q, %d (%v)", invalid.Field, invalid.Line, tt.field, tt.line, err)
			}
		})
	}
}

// Refusing a body must not allocate memory out of proportion to a value of 1 MB.
func TestParseBoundsMemory(t *testing.T) {
	const limit = 48 << 20 // bytes allocated, under a node's 64 MB
	bodies := map[string]string{
		"alias bomb":     aliasBomb(),
		"short elements": "classes: [" + strings.Repeat("a,", MaxBytes/2-10) + "]",
		"nested dashes":  "classes: " + strings.Repeat("- ", MaxBytes/2-10),
		"deep flow":      strings.Repeat("[", MaxBytes),
	}
	for name, body := range bodies {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := Parse(FleetName, []byte(body), 1)
		runtime.ReadMemStats(&after)
		if err == nil {
			t.Errorf("%s: accepted", name)
		}
		if got := after.TotalAlloc - before.TotalAlloc; got > limit {
			t.Errorf("%s: %d bytes allocated; want at most %d", name, got, limit)
		}
	}
}

func FuzzParse(f *testing.F) {
	for name, body := range map[string]string{
		FleetName: fleetBody, "services/ledger": serviceBody, "instances/ledger": instancesBody,
		"keys/0": keysBody(1, 0, "w", "a"),
	} {
		f.Add(name, []byte(body), uint64(1))
	}
	f.Fuzz(func(t *testing.T, name string, body []byte, rev uint64) {
		value, err := Parse(name, body, Revision(rev))
		var invalid *InvalidError
		if err != nil && !errors.As(err, &invalid) {
			t.Fatalf("untyped error %v", err)
		}
		if err == nil && (value.Name() != name || value.Rev() != Revision(rev)) {
			t.Fatalf("accepted %s at %d as %s at %d", name, rev, value.Name(), value.Rev())
		}
	})
}
