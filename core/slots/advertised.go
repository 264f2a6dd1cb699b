package slots

import "time"

// AdvertisedLimit follows the request limit that an instance advertises in its
// responses: the requests a second that it accepts of all callers together. The limit
// holds from the first response that advertises it until one that does not, to a request
// sent after the limit was last advertised. A response to an earlier request may have
// been delayed. The zero value is an instance without a limit. It is not safe for
// concurrent use.
type AdvertisedLimit struct {
	rate       float64
	advertised bool
	// lastAt is when the limit was last advertised.
	lastAt time.Time
}

// Rate returns the limit in requests per second. It returns false if there is none.
func (l *AdvertisedLimit) Rate() (perSecond float64, ok bool) { return l.rate, l.advertised }

// Advertised records a response that advertises a limit. It reports whether the limit
// changed.
func (l *AdvertisedLimit) Advertised(now time.Time, perSecond float64) bool {
	changed := !l.advertised || l.rate != perSecond
	l.rate, l.advertised, l.lastAt = perSecond, true, now
	return changed
}

// Omitted records a response without a limit, to a request sent at the given time. It
// reports whether the limit ended.
func (l *AdvertisedLimit) Omitted(sent time.Time) bool {
	if !l.advertised || !sent.After(l.lastAt) {
		return false
	}
	l.advertised = false
	return true
}
