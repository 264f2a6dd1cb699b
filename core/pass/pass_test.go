package pass

import (
	"errors"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

func samplePass() Pass {
	return Pass{
		Kind: KindPeer, Request: RequestID{1, 2, 3}, Workspace: "kyushu-1", KeyID: "0a1b2c3d",
		Class: "settlement", Budget: 1500 * time.Millisecond, Hop: 2, Attempts: 3, Audience: "claims-1",
	}
}

func mustSigner(t testing.TB, secrets ...string) *Signer {
	t.Helper()
	var raw [][]byte
	for _, s := range secrets {
		raw = append(raw, []byte(s))
	}
	signer, err := NewSigner(raw...)
	if err != nil {
		t.Fatal(err)
	}
	return signer
}

func TestRoundTrip(t *testing.T) {
	signer := mustSigner(t, "new", "old")
	token, err := signer.Sign(samplePass())
	if err != nil {
		t.Fatal(err)
	}
	got, err := signer.Verify([]byte(token), KindPeer, "claims-1")
	if err != nil || got != samplePass() {
		t.Fatalf("Verify = %+v, %v", got, err)
	}
}

func TestVerifyRejects(t *testing.T) {
	signer := mustSigner(t, "new", "old")
	good, _ := signer.Sign(samplePass())
	forged, _ := mustSigner(t, "other").Sign(samplePass())
	rotated, _ := mustSigner(t, "old").Sign(samplePass())
	flipped := []byte(good)
	flipped[30] ^= 1
	tests := []struct {
		name     string
		token    string
		kind     Kind
		audience string
		want     error
	}{
		{"previous secret", rotated, KindPeer, "claims-1", nil},
		{"forged", forged, KindPeer, "claims-1", ErrSignature},
		{"changed byte", string(flipped), KindPeer, "claims-1", ErrSignature},
		{"other instance", good, KindPeer, "claims-2", ErrAudience},
		{"other listener", good, KindUpstream, "claims-1", ErrAudience},
		{"empty", "", KindPeer, "claims-1", ErrMalformed},
		{"not base64", "!!!", KindPeer, "claims-1", ErrMalformed},
		{"truncated", good[:40], KindPeer, "claims-1", ErrMalformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := signer.Verify([]byte(tt.token), tt.kind, member.InstanceID(tt.audience))
			if !errors.Is(err, tt.want) {
				t.Fatalf("Verify error = %v, want %v", err, tt.want)
			}
		})
	}
}

func FuzzVerify(f *testing.F) {
	signer := mustSigner(f, "secret")
	good, _ := signer.Sign(samplePass())
	f.Add([]byte(good))
	f.Add([]byte("AQEB"))
	f.Fuzz(func(t *testing.T, token []byte) {
		p, err := signer.Verify(token, KindPeer, "claims-1")
		if err == nil && p != samplePass() {
			t.Fatalf("accepted a pass that was not signed: %+v", p)
		}
	})
}

func FuzzDecode(f *testing.F) {
	payload, _ := samplePass().encode()
	f.Add(payload)
	f.Fuzz(func(t *testing.T, payload []byte) {
		if len(payload) < fixedBytes {
			return
		}
		p, err := decode(payload)
		if err != nil {
			return
		}
		again, err := p.encode()
		if err != nil || string(again) != string(payload) {
			t.Fatalf("decode and encode differ: %x, %x, %v", payload, again, err)
		}
	})
}

func BenchmarkSignVerify(b *testing.B) {
	signer := mustSigner(b, "secret")
	for b.Loop() {
		token, _ := signer.Sign(samplePass())
		if _, err := signer.Verify([]byte(token), KindPeer, "claims-1"); err != nil {
			b.Fatal(err)
		}
	}
}
