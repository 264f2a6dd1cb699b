package routing

import (
	"math/bits"
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// pair is a reservoir sample of two instances, uniformly random, and of one
// instance in slow start that is used if there is no other.
type pair struct {
	sampled           [2]*instance
	count             uint64
	slowStarting      *instance
	slowStartingCount uint64
}

func (p *pair) add(i *instance, random uint64) {
	p.count++
	if p.count == 1 {
		p.sampled[0] = i
		return
	}
	if p.count == 2 {
		// The order is random because the first of two equal instances wins.
		p.sampled[1] = i
		if random&1 == 0 {
			p.sampled[0], p.sampled[1] = p.sampled[1], p.sampled[0]
		}
		return
	}
	if slot := reduceRange(random, p.count); slot < 2 {
		p.sampled[slot] = i
	}
}

func (p *pair) addSlowStarting(i *instance, random uint64) {
	p.slowStartingCount++
	if reduceRange(random, p.slowStartingCount) == 0 {
		p.slowStarting = i
	}
}

// Pick selects an instance and counts the attempt as in flight there. random is
// a uniformly random value. It returns ErrNoInstance if none is available.
func (t *Table) Pick(now time.Time, random uint64, req Request) (Choice, error) {
	var own, other pair
	hangTimeout := t.HangTimeout()
	seed := random
	for _, i := range t.instances {
		if len(req.Exclude) > 0 && slices.Contains(req.Exclude, i.ID) {
			continue
		}
		if i.listed != Serving {
			continue
		}
		if i.ejected || i.State != Serving {
			if i.probeDue(now, req.Retryable) {
				return t.startAttempt(now, i, true), nil
			}
			continue
		}
		group := &other
		if i.zone == t.ownZone {
			group = &own
		}
		seed = splitMix64(seed)
		if !i.slowStartedAt.IsZero() && !i.acceptsPick(now, seed, t.policy.SlowStart) {
			group.addSlowStarting(i, splitMix64(seed))
			continue
		}
		group.add(i, splitMix64(seed))
	}
	chosen := t.preferOwnZone(now, hangTimeout, t.best(now, hangTimeout, &own), t.best(now, hangTimeout, &other))
	if chosen == nil {
		chosen = t.preferOwnZone(now, hangTimeout, own.slowStarting, other.slowStarting)
	}
	if chosen == nil && len(req.Exclude) == 0 {
		chosen = t.lastResort()
	}
	if chosen == nil {
		return Choice{}, ErrNoInstance
	}
	return t.startAttempt(now, chosen, false), nil
}

// lastResort returns an ejected instance, for use when all others are leaving
// or draining. If there is none and the policy sets UseLeaving, it returns the
// leaving or draining instance that is due to be probed first.
func (t *Table) lastResort() *instance {
	if i := t.firstEjected((*instance).acceptsRequests); i != nil || !t.policy.UseLeaving {
		return i
	}
	var first *instance
	for _, i := range t.instances {
		if i.listed == Serving && (first == nil || i.stateProbeAt.Before(first.stateProbeAt)) {
			first = i
		}
	}
	return first
}

func (t *Table) startAttempt(now time.Time, i *instance, probe bool) Choice {
	if i.inFlight == 0 {
		i.waitingSince = now
	}
	i.inFlight++
	if probe {
		i.probing = true
		i.waitingSince = now
	}
	return Choice{ID: i.ID, Zone: i.Zone, Boot: i.Boot, Probe: probe, sentAt: now, instance: i}
}

// Pin returns the named instance for a request that only it may run, whatever
// its state, and counts the attempt as in flight there.
func (t *Table) Pin(now time.Time, id member.InstanceID) (Choice, error) {
	i := t.find(id)
	if i == nil {
		return Choice{}, ErrNoInstance
	}
	return t.startAttempt(now, i, false), nil
}

// best returns the better instance of the pair, or nil if the pair is empty: one
// that is not suspect, then the one with the lower cost.
func (t *Table) best(now time.Time, hangTimeout time.Duration, p *pair) *instance {
	a, b := p.sampled[0], p.sampled[1]
	if b == nil {
		return a
	}
	if sa, sb := a.suspect(now, hangTimeout), b.suspect(now, hangTimeout); sa != sb {
		if sa {
			return b
		}
		return a
	}
	if t.cost(now, b) < t.cost(now, a) {
		return b
	}
	return a
}

// preferOwnZone returns the instance of the own zone, unless it alone is
// suspect, its queue delay exceeds that of the other zone's instance plus the
// network cost, or the own zone is slow.
func (t *Table) preferOwnZone(now time.Time, hangTimeout time.Duration, own, other *instance) *instance {
	if own == nil {
		return other
	}
	if other == nil {
		return own
	}
	if so, sr := own.suspect(now, hangTimeout), other.suspect(now, hangTimeout); so != sr {
		if so {
			return other
		}
		return own
	}
	typical := t.queueDelay.value
	ownDelay := own.queueDelay.estimate(now, typical)
	otherDelay := other.queueDelay.estimate(now, typical)
	extra := t.extraCost(now, other.zone)
	if ownDelay > otherDelay+extra || t.ownZoneSlow(now, own.zone, other.zone, extra) {
		return other
	}
	return own
}

// ownZoneSlow compares the measured latencies of the zones, which do not depend
// on what guards report. The latency of a zone without recent responses decays
// to the lowest zone latency.
func (t *Table) ownZoneSlow(now time.Time, own, other *zoneStats, extra time.Duration) bool {
	if t.lowestZoneLatency.at.IsZero() {
		return false
	}
	lowest := t.lowestZoneLatency.value
	return own.latency.estimate(now, lowest) > slowZoneFactor*other.latency.estimate(now, lowest)+extra
}

// cost estimates how long an additional request would take at the instance.
func (t *Table) cost(now time.Time, i *instance) time.Duration {
	latency := i.latency.estimate(now, t.TypicalLatency())
	queue := i.queueDelay.estimate(now, t.queueDelay.value)
	penalty := max(i.penaltyUntil.Sub(now), 0)
	return time.Duration(i.inFlight+1)*latency + penalty + queue + t.extraCost(now, i.zone)
}

// splitMix64 returns the next value of a pseudorandom sequence (SplitMix64).
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// reduceRange maps a random value to [0, n) without a division.
func reduceRange(random, n uint64) uint64 {
	hi, _ := bits.Mul64(random, n)
	return hi
}
