// Package pass defines the pass, the signed token that accompanies a request
// between nodes instead of the caller's API key. A pass contains the workspace
// and the class of the request, the time budget and the number of attempts that
// are left, and its audience, the only instance that may accept it.
//
// A pass is signed with HMAC-SHA256 under the fleet secret. Two secrets may be
// accepted at a time, so that the secret can be rotated without an outage.
package pass

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"hash"
	"math"
	"sync"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// Kind is the listener on which a pass is valid.
type Kind uint8

const (
	// KindPeer marks a pass that an entry node issues for the peer listener of
	// the audience.
	KindPeer Kind = 1
	// KindUpstream marks a pass that a node issues to its own upstream, valid on
	// the loopback listener of the same node.
	KindUpstream Kind = 2
)

// RequestID identifies a root request in its whole call chain.
type RequestID [16]byte

// String returns the identifier in hexadecimal.
func (id RequestID) String() string { return hex.EncodeToString(id[:]) }

// MaxHops is the maximum hop depth in a pass.
const MaxHops = 32

// MaxTokenBytes is the maximum size of an encoded pass in bytes.
const MaxTokenBytes = 1024

const (
	formatVersion  = 1
	signatureBytes = sha256.Size
	maxNameBytes   = 255
	fixedBytes     = 1 + 1 + 16 + 4 + 1 + 1 // version, kind, request, budget, hop and attempts
)

var (
	// ErrMalformed is returned for a token that cannot be decoded.
	ErrMalformed = errors.New("pass: malformed token")
	// ErrSignature is returned for a token that is not signed with an accepted
	// secret.
	ErrSignature = errors.New("pass: signature does not match")
	// ErrAudience is returned for a pass issued for another instance or listener.
	ErrAudience = errors.New("pass: wrong audience")
	// ErrFieldSize is returned when a field exceeds maxNameBytes.
	ErrFieldSize = errors.New("pass: field too long")
)

// Pass is the content of a pass.
type Pass struct {
	// Kind is the listener on which the pass is valid.
	Kind Kind
	// Request identifies the root request.
	Request RequestID
	// Workspace is the workspace of the caller; empty on open routes.
	Workspace string
	// KeyID is the short identifier of the caller's key; empty on open routes.
	KeyID string
	// Class is the class of the root request, inherited by the whole call chain.
	Class string
	// Budget is the time that was left when the pass was issued. It is encoded in
	// whole milliseconds, rounded down.
	Budget time.Duration
	// Hop is the hop depth: the number of service calls above this one, zero for
	// the root request.
	Hop uint8
	// Attempts is the number of attempts left to the receiver and to all calls
	// that the request causes below it.
	Attempts uint8
	// Audience is the instance that may accept the pass.
	Audience member.InstanceID
}

// Signer signs and verifies passes. It is safe for concurrent use.
type Signer struct {
	macs []*sync.Pool
}

// NewSigner returns a signer that signs with the first secret and accepts all
// of them. At least one secret is required.
func NewSigner(secrets ...[]byte) (*Signer, error) {
	if len(secrets) == 0 {
		return nil, errors.New("pass: at least one secret is required")
	}
	signer := &Signer{}
	for _, secret := range secrets {
		signer.macs = append(signer.macs, newMACPool(secret))
	}
	return signer, nil
}

func newMACPool(secret []byte) *sync.Pool {
	return &sync.Pool{New: func() any { return hmac.New(sha256.New, secret) }}
}

// Sign returns the encoded and signed pass.
func (s *Signer) Sign(p Pass) (string, error) {
	payload, err := p.encode()
	if err != nil {
		return "", err
	}
	var sum [signatureBytes]byte
	payload = append(payload, sign(s.macs[0], payload, &sum)...)
	return base64.RawURLEncoding.EncodeToString(payload), nil
}

// Verify decodes a token and checks its signature, kind and audience.
func (s *Signer) Verify(token []byte, kind Kind, audience member.InstanceID) (Pass, error) {
	if len(token) > MaxTokenBytes {
		return Pass{}, ErrMalformed
	}
	raw := make([]byte, base64.RawURLEncoding.DecodedLen(len(token)))
	n, err := base64.RawURLEncoding.Strict().Decode(raw, token)
	if err != nil || n < signatureBytes+fixedBytes {
		return Pass{}, ErrMalformed
	}
	payload, signature := raw[:n-signatureBytes], raw[n-signatureBytes:n]
	if !s.signed(payload, signature) {
		return Pass{}, ErrSignature
	}
	p, err := decode(payload)
	if err != nil {
		return Pass{}, err
	}
	if p.Kind != kind || p.Audience != audience {
		return Pass{}, ErrAudience
	}
	return p, nil
}

func (s *Signer) signed(payload, signature []byte) bool {
	for _, macs := range s.macs {
		var sum [signatureBytes]byte
		if subtle.ConstantTimeCompare(sign(macs, payload, &sum), signature) == 1 {
			return true
		}
	}
	return false
}

func sign(macs *sync.Pool, payload []byte, sum *[signatureBytes]byte) []byte {
	mac := macs.Get().(hash.Hash)
	mac.Reset()
	mac.Write(payload)
	out := mac.Sum(sum[:0])
	macs.Put(mac)
	return out
}

func (p Pass) encode() ([]byte, error) {
	names := [...]string{p.Workspace, p.KeyID, p.Class, string(p.Audience)}
	buf := make([]byte, 0, 256)
	buf = append(buf, formatVersion, byte(p.Kind))
	buf = append(buf, p.Request[:]...)
	buf = binary.BigEndian.AppendUint32(buf, budgetMillis(p.Budget))
	buf = append(buf, p.Hop, p.Attempts)
	for _, name := range names {
		if len(name) > maxNameBytes {
			return nil, ErrFieldSize
		}
		buf = append(buf, byte(len(name)))
		buf = append(buf, name...)
	}
	return buf, nil
}

// budgetMillis rounds down, so that encoding never increases a budget.
func budgetMillis(budget time.Duration) uint32 {
	ms := budget.Milliseconds()
	if ms < 0 {
		return 0
	}
	if ms > math.MaxUint32 {
		return math.MaxUint32
	}
	return uint32(ms)
}

func decode(payload []byte) (Pass, error) {
	if payload[0] != formatVersion {
		return Pass{}, ErrMalformed
	}
	var p Pass
	p.Kind = Kind(payload[1])
	copy(p.Request[:], payload[2:18])
	p.Budget = time.Duration(binary.BigEndian.Uint32(payload[18:22])) * time.Millisecond
	p.Hop, p.Attempts = payload[22], payload[23]
	rest := payload[fixedBytes:]
	var names [4]string
	for i := range names {
		name, left, ok := cutName(rest)
		if !ok {
			return Pass{}, ErrMalformed
		}
		names[i], rest = name, left
	}
	if len(rest) != 0 || p.Hop > MaxHops {
		return Pass{}, ErrMalformed
	}
	p.Workspace, p.KeyID, p.Class, p.Audience = names[0], names[1], names[2], member.InstanceID(names[3])
	return p, nil
}

func cutName(buf []byte) (name string, rest []byte, ok bool) {
	if len(buf) == 0 || len(buf) < 1+int(buf[0]) {
		return "", nil, false
	}
	end := 1 + int(buf[0])
	return string(buf[1:end]), buf[end:], true
}
