package config

import (
	"errors"
	"testing"
)

func mustParse(t *testing.T, name, body string, rev Revision) Value {
	t.Helper()
	value, err := Parse(name, []byte(body), rev)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func mustWith(t *testing.T, view *View, value Value) *View {
	t.Helper()
	next, err := view.With(value)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func digestOf(t *testing.T, digit string) [32]byte {
	t.Helper()
	keys := mustParse(t, "keys/0", keysBody(1, 0, "w", digit), 1).(*Keys)
	digest, ok := parseDigest(keys.Workspaces[0].Keys[0].Digest)
	if !ok {
		t.Fatal("digest not read")
	}
	return digest
}

func TestMatch(t *testing.T) {
	service := mustParse(t, "services/ledger", serviceBody, 1).(*Service)
	tests := []struct {
		method, path, class string
		idempotent, open    bool
	}{
		{"POST", "/settle", "settlement", false, false},
		{"POST", "/settle/7", "settlement", false, false},
		{"PUT", "/settle/7", "bulk", true, false},
		{"POST", "/settlements", "bulk", false, false},
		{"POST", "/settle/public", "bulk", false, true},
		{"POST", "/settle/public/x", "bulk", false, true},
		{"POST", "/settle/publicity", "settlement", false, false},
		{"GET", "/other", "bulk", true, false},
		{"DELETE", "/other", "bulk", false, false},
	}
	for _, tt := range tests {
		got := service.Match(tt.method, tt.path)
		if got.Class != tt.class || got.Idempotent != tt.idempotent || got.Open != tt.open {
			t.Errorf("Match(%s %s) = %+v; want %+v", tt.method, tt.path, got, tt)
		}
	}
	if service.Attempts != defaultAttempts {
		t.Errorf("attempts %d; want the default", service.Attempts)
	}
}

func TestViewRevisionsOnlyIncrease(t *testing.T) {
	view := mustWith(t, NewView(), mustParse(t, FleetName, fleetBody, 3))
	same := mustParse(t, FleetName, fleetBody, 3)
	var stale *StaleRevisionError
	if _, err := view.With(same); !errors.As(err, &stale) || stale.Have != 3 || stale.Got != 3 {
		t.Fatalf("With the same revision: %v; want a StaleRevisionError", err)
	}
	if got := view.Revisions(); len(got) != 1 || got[0] != (NamedRevision{FleetName, 3}) {
		t.Errorf("revisions %v", got)
	}
}

func TestViewKeys(t *testing.T) {
	before := mustWith(t, NewView(), mustParse(t, FleetName, fleetBody, 3))
	before = mustWith(t, before, mustParse(t, "keys/0", keysBody(1, 0, "cedant", "a"), 1))
	before = mustWith(t, before, mustParse(t, "keys/1", keysBody(1, 1, "broker", "b"), 1))
	after := mustWith(t, before, mustParse(t, "keys/0", keysBody(2, 0, "cedant", "c"), 2))
	for _, tt := range []struct {
		name, digit, workspace string
		view                   *View
	}{
		{"first shard", "a", "cedant", before},
		{"second shard", "b", "broker", before},
		{"unknown key", "c", "", before},
		{"withdrawn key", "a", "", after},
		{"new key", "c", "cedant", after},
		{"without a fleet value", "a", "", mustWith(t, NewView(), mustParse(t, "keys/0", keysBody(1, 0, "cedant", "a"), 1))},
	} {
		digest := digestOf(t, tt.digit)
		workspace, id, ok := tt.view.LookupKey(digest)
		if workspace != tt.workspace || ok != (tt.workspace != "") {
			t.Errorf("%s: LookupKey = %q, %v; want %q", tt.name, workspace, ok, tt.workspace)
		}
		if got := tt.view.HasKey(KeyID(digest), tt.workspace); got != ok || (ok && id != KeyID(digest)) {
			t.Errorf("%s: HasKey = %v, id %q", tt.name, got, id)
		}
	}
	if before.HasKey(KeyID(digestOf(t, "a")), "broker") {
		t.Error("a key counts for another workspace")
	}
}

func TestViewInstances(t *testing.T) {
	list := mustParse(t, "instances/ledger", instancesBody, 1)
	view := mustWith(t, mustWith(t, NewView(), list), mustParse(t, FleetName, fleetBody, 3))
	all := view.AllInstances()
	if len(all) != 2 || all[0].Service != "ledger" || all[0].State != Live || all[1].State != Leaving {
		t.Errorf("AllInstances = %+v", all)
	}
	if rank, ok := view.Order().Rank("settlement"); !ok || rank != 0 {
		t.Errorf("rank %d, %v; want 0", rank, ok)
	}
	if NewView().Order().Len() != 0 || len(NewView().AllInstances()) != 0 {
		t.Error("an empty view holds something")
	}
}
