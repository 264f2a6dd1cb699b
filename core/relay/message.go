package relay

import (
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// Version is a revision of a named value.
type Version struct {
	Name     string
	Revision uint64
}

// Value is a revision of a named value with its body, which callers must not
// modify.
type Value struct {
	Version
	Body []byte
}

// Announce reports newer revisions to a peer. A body of more than maxInlineBody
// bytes is left out.
type Announce struct {
	From   member.InstanceID
	Zone   member.Zone
	Values []Value
}

// Digest asks a peer for the revisions it knows, unless its hash of them equals
// the sender's.
type Digest struct {
	From member.InstanceID
	Zone member.Zone
	// Hash is the hash of the revisions that the sender knows; 0 asks for all.
	Hash uint64
}

// DigestReply answers a Digest.
type DigestReply struct {
	// Ready is false while the peer itself is starting and still collects
	// revisions.
	Ready bool
	// Same means that the hashes are equal; Known is then empty.
	Same bool
	// Known holds the highest revision that the peer knows of each value.
	Known []Version
}

// Fetch asks a peer for the bodies of values.
type Fetch struct {
	From member.InstanceID
	// Wanted holds the lowest revision that is useful to the sender, by value.
	Wanted []Version
}

// FetchReply answers a Fetch with the values that the peer holds.
type FetchReply struct {
	Values []Value
	// More means that values were left out to keep the reply below
	// maxReplyBytes.
	More bool
}

// AnnounceTo is an announcement to send. The caller reports a failure to
// AnnounceFailed.
type AnnounceTo struct {
	To       member.InstanceID
	Zone     member.Zone
	Announce Announce
	attempt  int // failed attempts before this one; maxAnnounceAttempts prevents a failover
}

// DigestTo is a digest to send. The caller passes the reply to DigestAnswered
// and reports a failure to DigestFailed.
type DigestTo struct {
	To     member.InstanceID
	Digest Digest
}

// FetchFrom is a fetch to send. The caller passes the reply to FetchAnswered
// and reports a failure to FetchFailed.
type FetchFrom struct {
	To    member.InstanceID
	Fetch Fetch
}

// Read is a read of the platform to perform. The caller reports its result to
// ReadDone.
type Read struct {
	Name string
	// After is the revision that the returned one must exceed.
	After uint64
	// Wait is how long the platform may hold the request open for a newer
	// revision (long polling); 0 asks for an immediate response.
	Wait time.Duration
}

// ReadStatus is the result of a read.
type ReadStatus uint8

// Results of reads.
const (
	// ReadFailed means that the platform refused the read or did not respond.
	ReadFailed ReadStatus = iota
	// ReadFound means that the platform responded with a value.
	ReadFound
	// ReadNotModified means that the platform has no newer revision.
	ReadNotModified
	// ReadNotFound means that the platform doesn't have the value.
	ReadNotFound
)

// Applied is a value to put in force.
type Applied struct {
	Value
	// Parsed is what Config.Parse returned for the value.
	Parsed any
}

// Refused is a value that Config.Parse refused.
type Refused struct {
	Version
	Err error
}

// Effects is the output that the caller must carry out, in the order of the
// fields.
type Effects struct {
	Apply     []Applied
	Refuse    []Refused
	Announces []AnnounceTo
	Fetches   []FetchFrom
	Digests   []DigestTo
	Reads     []Read
}
