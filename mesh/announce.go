package mesh

import (
	"maps"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/slots"
)

// announcements are what an instance says of itself in its responses.
type announcements struct {
	limit slots.AdvertisedLimit
	// leaving is set once the instance has announced that it leaves, at leavingAt.
	leaving   bool
	leavingAt time.Time
}

// observe records the announcements of a response to a request that was sent at the
// given time. It reports whether any changed.
func (a *announcements) observe(sent, now time.Time, header *fasthttp.ResponseHeader, names Headers) bool {
	changed := false
	if isLeaving(header, names) && !a.leaving {
		a.leaving, a.leavingAt, changed = true, now, true
	}
	value := header.Peek(names.RequestLimit)
	if rate, ok := parseRate(value); ok {
		return a.limit.Advertised(now, rate) || changed
	}
	// An error response without the id may be from an instance that read nothing.
	if len(value) == 0 && len(header.Peek(names.RequestID)) > 0 {
		return a.limit.Omitted(sent) || changed
	}
	return changed
}

// isLeaving reports whether a response announces that its instance leaves.
func isLeaving(header *fasthttp.ResponseHeader, names Headers) bool {
	leaving, err := strconv.ParseBool(string(header.Peek(names.InstanceLeaving)))
	return err == nil && leaving
}

// parseRate parses a rate in requests per second.
func parseRate(value []byte) (float64, bool) {
	rate, err := strconv.ParseFloat(string(value), 64)
	return rate, err == nil && rate >= 0 && !math.IsInf(rate, 0)
}

// knownAnnouncements are the announcements of the listed instances of a service that
// an entry has received.
type knownAnnouncements map[member.InstanceID]*bootAnnouncements

// bootAnnouncements are the announcements of one start of an instance.
type bootAnnouncements struct {
	announcements
	boot member.BootID
}

// leavingMemory is how long an instance that is no longer listed is known to have
// announced that it leaves. Its entry may come back, as in a store that is restored.
const leavingMemory = time.Minute

// leaving reports whether an instance as listed has announced that it leaves.
func (k knownAnnouncements) leaving(instance catalog.Instance) bool {
	known := k[instance.ID]
	return known != nil && known.boot == instance.Boot && known.leaving
}

// deleteUnlisted drops what instances said that are no longer listed.
func (k knownAnnouncements) deleteUnlisted(now time.Time, listed func(member.InstanceID) bool) {
	maps.DeleteFunc(k, func(id member.InstanceID, known *bootAnnouncements) bool {
		return !listed(id) && (!known.leaving || now.Sub(known.leavingAt) > leavingMemory)
	})
}

// of returns the announcements of an instance as listed, which are new if it has
// started again.
func (k knownAnnouncements) of(instance catalog.Instance) *bootAnnouncements {
	known := k[instance.ID]
	if known == nil || known.boot != instance.Boot {
		known = &bootAnnouncements{boot: instance.Boot}
		k[instance.ID] = known
	}
	return known
}

// limitText returns the limit as it appears in log lines.
func (a *announcements) limitText() string {
	rate, limited := a.limit.Rate()
	if !limited {
		return "none"
	}
	return formatRate(rate)
}

func formatRate(rate float64) string { return strconv.FormatFloat(rate, 'g', 6, 64) }
