package catalog

import "errors"

// Errors about the era of a list.
var (
	// ErrStaleEra means that a response of the store names an earlier era than a
	// response before it.
	ErrStaleEra = errors.New("store reported a later era before")
	// ErrUnconfirmedEra means that a peer names a new era that neither the peer
	// itself read from the store nor another peer named.
	ErrUnconfirmedEra = errors.New("era of the peer is not confirmed")
)

// maxEraClaims bounds the unconfirmed eras that are kept.
const maxEraClaims = 16

// StoreEras checks the eras that the store itself reports. They only rise: a lower one
// comes from a stale response, which must be ignored. Its zero value has seen no era.
// It is not safe for concurrent use.
type StoreEras struct{ highest Era }

// Observe records the era of a response of the store. It returns ErrStaleEra if the
// store reported a later era before.
func (s *StoreEras) Observe(era Era) error {
	if era < s.highest {
		return ErrStaleEra
	}
	s.highest = era
	return nil
}

// EraClaims decides whether to accept a new era from a peer. It handles nodes that
// learn of a restoration of the store at different times and from each other. A peer
// with a wrong era would make its neighbors ignore the store from then on, since eras
// only rise; so a peer must have read the era from the store, or another peer must
// name it too. Its zero value has no claims. It is not safe for concurrent use.
type EraClaims struct {
	// first is the first peer that named each unconfirmed era.
	first map[Era]string
}

// Check decides about a list of a peer. inForce is the era of the node's own list, and
// confirmed is set if the peer read the era of its list from the store. It returns
// ErrUnconfirmedEra if the list must be ignored.
func (c *EraClaims) Check(inForce, era Era, peer string, confirmed bool) error {
	if era <= inForce || confirmed {
		return nil
	}
	if first, claimed := c.first[era]; claimed && first != peer {
		return nil
	}
	if c.first == nil || len(c.first) >= maxEraClaims {
		c.first = make(map[Era]string)
	}
	if _, claimed := c.first[era]; !claimed {
		c.first[era] = peer
	}
	return ErrUnconfirmedEra
}
