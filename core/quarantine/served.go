package quarantine

import (
	"hash/maphash"
	"time"
)

const (
	// servedWindow is how long a complete response shows that a request does not crash
	// instances. It is limited, since a change elsewhere may turn a request lethal.
	servedWindow = 10 * time.Second
	// servedSlots is the number of requests that servedRequests can hold.
	servedSlots = 2048
)

// servedRequests remembers which requests one start of an instance has served. It is a
// hash table of fixed size in which later requests replace earlier ones.
type servedRequests struct {
	seed  maphash.Seed
	slots []servedRequest
}

type servedRequest struct {
	hash uint64
	at   time.Time
}

func newServedRequests() *servedRequests {
	return &servedRequests{seed: maphash.MakeSeed(), slots: make([]servedRequest, servedSlots)}
}

func (s *servedRequests) add(now time.Time, r *Request) {
	hash := r.localHash(s.seed)
	s.slots[hash%servedSlots] = servedRequest{hash: hash, at: now}
}

// recently reports whether the request was served within servedWindow.
func (s *servedRequests) recently(now time.Time, r *Request) bool {
	hash := r.localHash(s.seed)
	slot := s.slots[hash%servedSlots]
	return slot.hash == hash && !slot.at.IsZero() && now.Sub(slot.at) <= servedWindow
}

// reset forgets all requests, when the instance has started again.
func (s *servedRequests) reset() { clear(s.slots) }
