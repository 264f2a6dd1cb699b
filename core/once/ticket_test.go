package once

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
)

func newSigner(tb testing.TB, secrets ...string) *Signer {
	tb.Helper()
	var accepted [][]byte
	for _, s := range secrets {
		accepted = append(accepted, bytes.Repeat([]byte(s), MinSecretBytes))
	}
	s, err := NewSigner(accepted...)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

func TestTicketEncoding(t *testing.T) {
	want := ticket(3, 1<<63+5, start)
	text, err := newSigner(t, "a").Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		signer *Signer
		text   string
		err    error
	}{
		{"same secret", newSigner(t, "a"), text, nil},
		{"during rotation", newSigner(t, "b", "a"), text, nil},
		{"secret no longer accepted", newSigner(t, "b"), text, ErrBadSignature},
		{"altered", newSigner(t, "a"), text[:10] + "_" + text[11:], ErrBadSignature},
		{"truncated", newSigner(t, "a"), text[:len(text)-4], ErrBadSignature},
		{"empty", newSigner(t, "a"), "", ErrMalformed},
		{"not base64", newSigner(t, "a"), "!" + text, ErrMalformed},
		{"too long", newSigner(t, "a"), strings.Repeat(text, 20), ErrMalformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := tt.signer.Decode(tt.text)
			if !errors.Is(err, tt.err) {
				t.Fatalf("error %v, want %v", err, tt.err)
			}
			if err == nil && (!got.Expires.Equal(want.Expires) || got.ID != want.ID || got.Boot != want.Boot || got.Instance != want.Instance) {
				t.Errorf("Decode = %+v, want %+v", got, want)
			}
		})
	}
	if _, err := newSigner(t, "a").Encode(Ticket{Service: strings.Repeat("x", 256)}); !errors.Is(err, ErrFieldTooLong) {
		t.Errorf("long name: %v, want ErrFieldTooLong", err)
	}
	if _, err := NewSigner(); !errors.Is(err, ErrShortSecret) {
		t.Errorf("no secret: %v, want ErrShortSecret", err)
	}
	if _, err := NewSigner([]byte("short")); !errors.Is(err, ErrShortSecret) {
		t.Errorf("short secret: %v, want ErrShortSecret", err)
	}
	if shown := fmt.Sprint(want); strings.Contains(shown, "[3 0") {
		t.Errorf("formatted ticket shows its id: %s", shown)
	}
}

// FuzzParse calls the parser directly, since the signature check would reject
// nearly all generated inputs.
func FuzzParse(f *testing.F) {
	f.Add([]byte{})
	f.Add(make([]byte, fixedSize+3))
	f.Add(append(make([]byte, fixedSize), 255, 1))
	s := newSigner(f, "a")
	f.Fuzz(func(t *testing.T, body []byte) {
		if len(body) < fixedSize {
			return
		}
		k, err := parse(body)
		if err != nil {
			return
		}
		text, err := s.Encode(k)
		if err != nil {
			return
		}
		if again, err := s.Decode(text); err != nil || again != k {
			t.Fatalf("%+v decoded as %+v, %v after encoding", k, again, err)
		}
	})
}
