package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash/maphash"
)

// digestSize is the size of a digest in bytes: half of a SHA-256 hash, for which nobody
// finds two requests.
const digestSize = 16

// Digest identifies a request that comes again: same method, host, path with query,
// workspace and body. Ids, time budgets and other headers are not part of it.
type Digest [digestSize]byte

// String returns the digest in hexadecimal form.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the form that String writes.
func ParseDigest(text string) (d Digest, ok bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != digestSize {
		return d, false
	}
	return Digest(raw), true
}

// Request is what identifies a request. It is not safe for concurrent use.
type Request struct {
	// head holds the parts other than the body, each with its length in front.
	head   []byte
	body   []byte
	digest Digest
	hashed bool
}

// NewRequest returns the identity of a request. It copies the parts but keeps body. A
// body that is streamed is not known before the request runs: its length in bytes
// stands for it, -1 if that is not known either.
func NewRequest(method, host, uri, workspace, body []byte, streamed bool, length int) *Request {
	const lengths = 5 * binary.MaxVarintLen64
	head := make([]byte, 0, lengths+len(method)+len(host)+len(uri)+len(workspace))
	for _, part := range [][]byte{method, host, uri, workspace} {
		head = binary.AppendUvarint(head, uint64(len(part)))
		head = append(head, part...)
	}
	if streamed {
		body = binary.AppendVarint([]byte("streamed "), int64(length))
	}
	return &Request{head: head, body: body}
}

// Digest returns the digest, which is computed at the first call.
func (r *Request) Digest() Digest {
	if !r.hashed {
		hash := sha256.New()
		hash.Write(r.head)
		hash.Write(r.body)
		copy(r.digest[:], hash.Sum(nil))
		r.hashed = true
	}
	return r.digest
}

// release computes the digest and drops the body, which is not valid after the request
// has ended.
func (r *Request) release() {
	r.Digest()
	r.body = nil
}

// localHash returns a hash that is cheaper than the digest and differs from process to
// process.
func (r *Request) localHash(seed maphash.Seed) uint64 {
	var hash maphash.Hash
	hash.SetSeed(seed)
	_, _ = hash.Write(r.head) // never fails
	_, _ = hash.Write(r.body)
	return hash.Sum64()
}
