package upstream

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/pass"
)

// A pass is random text in the alphabet of keys, and about one in 300,000
// contains "key-", as this one does. With so short a key prefix the stand-in
// would count a leak that didn't happen.
func TestPassIsNotCountedAsKeyLeak(t *testing.T) {
	signer, err := pass.NewSigner([]byte("a secret of some length"))
	if err != nil {
		t.Fatal(err)
	}
	token, err := signer.Sign(pass.Pass{
		Kind: pass.KindUpstream, Workspace: "hakata", Class: "browse", Budget: 1053237 * time.Millisecond, Attempts: 1, Audience: "claims-1",
	})
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(token, "key-") {
		t.Fatalf("pass %s does not contain \"key-\"", token)
	}
	s := &Server{}
	r := httptest.NewRequest("GET", "/", nil)
	r.Header.Set("Toucancove-Pass", token)
	s.record(r)
	if s.keyLeaks.Load() > 0 {
		t.Errorf("pass %s counted as a leaked key", token)
	}
}

func TestKeyLeakIsCounted(t *testing.T) {
	s := &Server{}
	r := httptest.NewRequest("GET", "/?k="+KeyPrefix+"a", nil)
	r.Header.Set("X-Any", "b "+KeyPrefix+"c")
	s.record(r)
	if leaks := s.keyLeaks.Load(); leaks != 2 {
		t.Errorf("%d leaks counted, want 2: one in the URL, one in a header", leaks)
	}
}
