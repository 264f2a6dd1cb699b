package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

const (
	// DefaultLifetime is the lifetime of a new ticket.
	DefaultLifetime = 2 * time.Minute
	// MaxLifetime is the maximum remaining lifetime of a ticket that a node
	// accepts.
	MaxLifetime = 10 * time.Minute
	// MaxEncodedBytes is the maximum length of an encoded ticket in bytes.
	MaxEncodedBytes = 1024
	// MinSecretBytes is the minimum length of a fleet secret in bytes.
	MinSecretBytes = 16

	ticketVersion = 1
	ticketDomain  = "toucancove ticket"
	// fixedSize is the encoded size of the version, id, boot id and expiry in
	// bytes.
	fixedSize = 1 + 16 + 8 + 8
)

// Errors of the signer.
var (
	// ErrMalformed: the text is not an encoded ticket.
	ErrMalformed = errors.New("once: malformed ticket")
	// ErrBadSignature: the ticket is not signed with an accepted secret.
	ErrBadSignature = errors.New("once: ticket signature is not valid")
	// ErrFieldTooLong: a name exceeds 255 bytes, or the encoded ticket exceeds
	// MaxEncodedBytes.
	ErrFieldTooLong = errors.New("once: name too long for a ticket")
	// ErrShortSecret: no secret is given, or one has fewer than
	// MinSecretBytes.
	ErrShortSecret = errors.New("once: secret is missing or shorter than 16 bytes")
)

// TicketID is a random identifier, unique to each ticket.
type TicketID [16]byte

// String hides the identifier, which must not appear in logs.
func (TicketID) String() string { return "hidden" }

// Ticket permits one request to run at most once.
type Ticket struct {
	ID TicketID
	// Instance and Boot identify the only node that may run the request, and the
	// only boot of it.
	Instance member.InstanceID
	Boot     member.BootID
	// Service and Workspace are those for which the ticket was issued.
	Service   string
	Workspace string
	// Expires is encoded with a resolution of one millisecond.
	Expires time.Time
}

// Signer encodes tickets with the current secret and decodes those signed with
// any accepted one. It is safe for concurrent use.
type Signer struct {
	secrets [][]byte
}

// NewSigner returns a signer that signs with the first secret and accepts all
// of them. At least one secret is required.
func NewSigner(secrets ...[]byte) (*Signer, error) {
	if len(secrets) == 0 {
		return nil, ErrShortSecret
	}
	s := &Signer{}
	for _, secret := range secrets {
		if len(secret) < MinSecretBytes {
			return nil, ErrShortSecret
		}
		s.secrets = append(s.secrets, append([]byte(nil), secret...))
	}
	return s, nil
}

// Encode returns the signed ticket as text for use in a header.
func (s *Signer) Encode(t Ticket) (string, error) {
	raw := make([]byte, 0, 256)
	raw = append(raw, ticketVersion)
	raw = append(raw, t.ID[:]...)
	raw = binary.BigEndian.AppendUint64(raw, uint64(t.Boot))
	raw = binary.BigEndian.AppendUint64(raw, uint64(t.Expires.UnixMilli()))
	for _, field := range []string{string(t.Instance), t.Service, t.Workspace} {
		if len(field) > 255 {
			return "", ErrFieldTooLong
		}
		raw = append(raw, byte(len(field)))
		raw = append(raw, field...)
	}
	raw = append(raw, sign(s.secrets[0], raw)...)
	text := base64.RawURLEncoding.EncodeToString(raw)
	if len(text) > MaxEncodedBytes {
		return "", ErrFieldTooLong
	}
	return text, nil
}

// Decode checks the signature and returns the ticket. It does not check the
// expiry; Table.Begin does.
func (s *Signer) Decode(text string) (Ticket, error) {
	if len(text) > MaxEncodedBytes {
		return Ticket{}, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) < fixedSize+sha256.Size || raw[0] != ticketVersion {
		return Ticket{}, ErrMalformed
	}
	body, mac := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	if !s.signed(body, mac) {
		return Ticket{}, ErrBadSignature
	}
	return parse(body)
}

func (s *Signer) signed(body, mac []byte) bool {
	for _, secret := range s.secrets {
		if hmac.Equal(mac, sign(secret, body)) {
			return true
		}
	}
	return false
}

func sign(secret, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(ticketDomain))
	h.Write(body)
	return h.Sum(nil)
}

func parse(body []byte) (Ticket, error) {
	var t Ticket
	copy(t.ID[:], body[1:17])
	t.Boot = member.BootID(binary.BigEndian.Uint64(body[17:25]))
	t.Expires = time.UnixMilli(int64(binary.BigEndian.Uint64(body[25:33])))
	rest := body[fixedSize:]
	var fields [3]string
	for i := range fields {
		if len(rest) == 0 || len(rest) < 1+int(rest[0]) {
			return Ticket{}, ErrMalformed
		}
		fields[i] = string(rest[1 : 1+int(rest[0])])
		rest = rest[1+int(rest[0]):]
	}
	if len(rest) != 0 {
		return Ticket{}, ErrMalformed
	}
	t.Instance, t.Service, t.Workspace = member.InstanceID(fields[0]), fields[1], fields[2]
	return t, nil
}
