package quota

import (
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// nonceTable issues nonces and redeems each at most once. When it is full, a new
// nonce evicts the oldest.
type nonceTable struct {
	boot member.BootID
	next uint64
	ring [nonceSlots]issuedNonce
}

// nonceSlots is the number of the latest nonces that can be redeemed.
const nonceSlots = 2048

type issuedNonce struct {
	seq uint64
	at  time.Duration
}

// issue returns a nonce that was never issued before.
func (t *nonceTable) issue(now time.Duration) Nonce {
	t.next++
	t.ring[t.next%nonceSlots] = issuedNonce{seq: t.next, at: now}
	return Nonce{Boot: t.boot, Seq: t.next}
}

// redeem returns when the nonce was issued. ok is false if the nonce is unknown,
// evicted or already redeemed.
func (t *nonceTable) redeem(n Nonce) (at time.Duration, ok bool) {
	slot := &t.ring[n.Seq%nonceSlots]
	if n.Boot != t.boot || n.Seq == 0 || slot.seq != n.Seq {
		return 0, false
	}
	slot.seq = 0
	return slot.at, true
}
