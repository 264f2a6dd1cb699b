package upstream

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/pass"
)

// A pass is random text in the alphabet of keys. This one holds "key-", as one of
// some 300,000 does.
func TestPassIsNotTakenForAKey(t *testing.T) {
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
		t.Fatalf("pass %s does not hold what the test is about", token)
	}
	s := &Server{}
	r := httptest.NewRequest("GET", "/", nil)
	r.Header.Set("Toucancove-Pass", token)
	s.record(r)
	if s.keyLeaks.Load() > 0 {
		t.Errorf("pass %s taken for a key", token)
	}
}

func TestKeyIsNoticed(t *testing.T) {
	s := &Server{}
	r := httptest.NewRequest("GET", "/?k="+KeyPrefix+"a", nil)
	r.Header.Set("X-Any", "b "+KeyPrefix+"c")
	s.record(r)
	if leaks := s.keyLeaks.Load(); leaks != 2 {
		t.Errorf("%d leaks noticed, want that of the URL and that of the header", leaks)
	}
}
