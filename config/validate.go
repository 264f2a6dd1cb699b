package config

import (
	"encoding/hex"
	"net/netip"
	"strings"
	"time"

	"github.com/toucancove/toucancove/core/target"
)

// Defaults, limits and formats of published fields.
const (
	defaultAttempts = 3
	maxAttempts     = 10
	minWithin       = time.Millisecond
	maxWithin       = 24 * time.Hour
	maxRate         = 1e9 // requests per second
	maxBurst        = 1e9 // requests
	maxServices     = 10_000
	maxRoutes       = 1_000
	digestPrefix    = "sha256:"
	digestBytes     = 32
	keyIDBytes      = 4
)

const (
	reasonIdentifier = "must be 1 to 63 letters, digits, dots, underscores or hyphens, starting with a letter or digit"
	reasonUnique     = "must be unique"
	reasonAddress    = "must be an IP address and a port"
)

func (v *Fleet) validate(f *fieldChecker) {
	f.check(len(v.Classes) > 0 && len(v.Classes) <= target.MaxClasses, "must hold 1 to 64 classes", "classes")
	f.check(len(v.Services) <= maxServices, "must hold at most 10000 services", "services")
	f.check(v.KeyShards >= 1 && v.KeyShards <= MaxKeyShards, "must be 1 to 64", "keyShards")
	classes := make(map[string]bool, len(v.Classes))
	for i, c := range v.Classes {
		f.check(identifier.MatchString(c.Name), reasonIdentifier, "classes[%d].name", i)
		f.check(!classes[c.Name], reasonUnique, "classes[%d].name", i)
		f.check(c.Target.Completion > 0 && c.Target.Completion <= 1, "must be above 0 and at most 1",
			"classes[%d].target.completion", i)
		f.check(c.Target.Within >= minWithin && c.Target.Within <= maxWithin, "must be 1ms to 24h, like 2s",
			"classes[%d].target.within", i)
		classes[c.Name] = true
	}
	services := make(map[string]bool, len(v.Services))
	for i, s := range v.Services {
		f.check(identifier.MatchString(s), reasonIdentifier, "services[%d]", i)
		f.check(!services[s], reasonUnique, "services[%d]", i)
		services[s] = true
	}
}

func (v *Service) validate(f *fieldChecker) {
	if v.Attempts == 0 {
		v.Attempts = defaultAttempts
	}
	f.check(v.Attempts >= 1 && v.Attempts <= maxAttempts, "must be 1 to 10", "attempts")
	f.check(identifier.MatchString(v.DefaultClass), reasonIdentifier, "defaultClass")
	f.check(len(v.Routes) <= maxRoutes, "must hold at most 1000 routes", "routes")
	type match struct{ method, path string }
	seen := make(map[match]bool, len(v.Routes))
	for i, r := range v.Routes {
		f.check(identifier.MatchString(r.Class), reasonIdentifier, "routes[%d].class", i)
		f.check(strings.HasPrefix(r.Path, "/"), "must start with /", "routes[%d].path", i)
		f.check(!strings.ContainsAny(r.Path, "?#% \t\r\n"), "must be a plain path", "routes[%d].path", i)
		f.check(validMethod(r.Method), "must be upper case letters", "routes[%d].method", i)
		key := match{r.Method, strings.TrimSuffix(r.Path, "/")}
		f.check(!seen[key], "method and path must be unique", "routes[%d].path", i)
		seen[key] = true
	}
}

func validMethod(method string) bool {
	for _, c := range method {
		if c < 'A' || c > 'Z' {
			return false
		}
	}
	return true
}

func (v *Instances) validate(f *fieldChecker) {
	ids := make(map[string]bool, len(v.Instances))
	addresses := make(map[string]bool, 2*len(v.Instances))
	for i := range v.Instances {
		n := &v.Instances[i]
		n.Service = v.Service
		if n.State == "" {
			n.State = Live
		}
		f.check(identifier.MatchString(string(n.ID)), reasonIdentifier, "instances[%d].id", i)
		f.check(!ids[string(n.ID)], reasonUnique, "instances[%d].id", i)
		f.check(identifier.MatchString(string(n.Zone)), reasonIdentifier, "instances[%d].zone", i)
		f.check(validAddress(n.Peer), reasonAddress, "instances[%d].peer", i)
		f.check(!addresses[n.Peer], reasonUnique, "instances[%d].peer", i)
		addresses[n.Peer] = true
		f.check(validAddress(n.Control), reasonAddress, "instances[%d].control", i)
		f.check(!addresses[n.Control], reasonUnique, "instances[%d].control", i)
		addresses[n.Control] = true
		f.check(n.State == Live || n.State == Leaving, "must be live or leaving", "instances[%d].state", i)
		ids[string(n.ID)] = true
	}
}

func validAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && address.Addr().Zone() == ""
}

func (v *Keys) validate(f *fieldChecker) {
	names := make(map[string]bool, len(v.Workspaces))
	digests := make(map[string]bool)
	for i, w := range v.Workspaces {
		f.check(identifier.MatchString(w.Name), reasonIdentifier, "workspaces[%d].name", i)
		f.check(!names[w.Name], reasonUnique, "workspaces[%d].name", i)
		f.check(w.Rate > 0 && w.Rate <= maxRate, "must be above 0 and at most 1e9", "workspaces[%d].rate", i)
		f.check(w.Burst >= 1 && w.Burst <= maxBurst, "must be 1 to 1e9", "workspaces[%d].burst", i)
		names[w.Name] = true
		ids := make(map[string]bool, len(w.Keys))
		for j, k := range w.Keys {
			digest, ok := parseDigest(k.Digest)
			f.check(ok, "must be sha256: and 64 lower case hexadecimal digits", "workspaces[%d].keys[%d].digest", i, j)
			f.check(!digests[k.Digest], "must be unique", "workspaces[%d].keys[%d].digest", i, j)
			f.check(!ids[KeyID(digest)], "must differ in its first 8 digits from the workspace's other keys",
				"workspaces[%d].keys[%d].digest", i, j)
			digests[k.Digest] = true
			ids[KeyID(digest)] = true
		}
	}
}

func parseDigest(text string) (digest [digestBytes]byte, ok bool) {
	digits, ok := strings.CutPrefix(text, digestPrefix)
	if !ok || len(digits) != hex.EncodedLen(digestBytes) || strings.ToLower(digits) != digits {
		return digest, false
	}
	_, err := hex.Decode(digest[:], []byte(digits))
	return digest, err == nil
}

// KeyID returns the short id of a key: the first 8 hexadecimal digits of its
// digest. It is not secret.
func KeyID(digest [digestBytes]byte) string { return hex.EncodeToString(digest[:keyIDBytes]) }
