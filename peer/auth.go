package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/toucancove/toucancove/core/member"
)

const (
	// headerSignature carries the HMAC of a control message in hex.
	headerSignature = "Toucancove-Signature"
	// maxMessageBytes is the size limit of a control message in bytes. A
	// configuration of the largest size fits in.
	maxMessageBytes = 2 << 20
)

// ErrMessageTooLarge is returned for a control message larger than
// maxMessageBytes.
var ErrMessageTooLarge = eris.New("control message is too large")

// Authenticator signs and verifies control messages with secrets that the nodes
// of the fleet share.
type Authenticator struct {
	// secrets are the valid secrets; the first one signs.
	secrets [][]byte
}

// NewAuthenticator returns an authenticator that signs with the first secret and
// accepts signatures with any of them, so that a secret can be rotated.
func NewAuthenticator(secrets ...[]byte) *Authenticator {
	return &Authenticator{secrets: secrets}
}

// sign returns the HMAC of a message. Zero bytes separate the parts, so that their
// boundaries are signed too.
func (a *Authenticator) sign(secret []byte, path string, audience member.InstanceID, body []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(path))
	mac.Write([]byte{0})
	mac.Write([]byte(audience))
	mac.Write([]byte{0})
	mac.Write(body)
	return mac.Sum(nil)
}

func (a *Authenticator) verify(signature, path string, audience member.InstanceID, body []byte) bool {
	got, err := hex.DecodeString(signature)
	if err != nil {
		return false
	}
	for _, secret := range a.secrets {
		if hmac.Equal(got, a.sign(secret, path, audience, body)) {
			return true
		}
	}
	return false
}

// signingTransport signs the requests to one peer.
type signingTransport struct {
	auth     *Authenticator
	audience member.InstanceID
	next     http.RoundTripper
	meter    *Meter
}

// RoundTrip implements http.RoundTripper.
func (t *signingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := readBody(req.Body)
	if err != nil {
		return nil, err
	}
	signed := req.Clone(req.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	sum := t.auth.sign(t.auth.secrets[0], req.URL.Path, t.audience, body)
	signed.Header.Set(headerSignature, hex.EncodeToString(sum))
	// An empty user agent keeps net/http from sending its own.
	signed.Header.Set("User-Agent", "")
	t.meter.messages.Add(1)
	return t.next.RoundTrip(signed)
}

// Middleware returns a handler that refuses control messages that are too large or
// not signed for the instance self.
func (a *Authenticator) Middleware(self member.InstanceID, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, err := readBody(req.Body)
		if err != nil {
			http.Error(w, "control message is too large", http.StatusRequestEntityTooLarge)
			return
		}
		if !a.verify(req.Header.Get(headerSignature), req.URL.Path, self, body) {
			http.Error(w, "control message is not signed for this node", http.StatusForbidden)
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, req)
	})
}

// readBody reads and closes a body of at most maxMessageBytes.
func readBody(body io.ReadCloser) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	defer func() { _ = body.Close() }()
	data, err := io.ReadAll(io.LimitReader(body, maxMessageBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "read control message")
	}
	if len(data) > maxMessageBytes {
		return nil, ErrMessageTooLarge
	}
	return data, nil
}
