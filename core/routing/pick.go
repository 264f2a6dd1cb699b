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
	drawn   [2]*instance
	count   uint64
	held    *instance
	heldOut uint64
}

func (p *pair) offer(i *instance, random uint64) {
	p.count++
	if p.count == 1 {
		p.drawn[0] = i
		return
	}
	if p.count == 2 {
		// The order is random because the first of two equal instances wins.
		p.drawn[1] = i
		if random&1 == 0 {
			p.drawn[0], p.drawn[1] = p.drawn[1], p.drawn[0]
		}
		return
	}
	if slot := bound(random, p.count); slot < 2 {
		p.drawn[slot] = i
	}
}

func (p *pair) holdBack(i *instance, random uint64) {
	p.heldOut++
	if bound(random, p.heldOut) == 0 {
		p.held = i
	}
}

// Pick selects an instance and counts the attempt as in flight there. random is
// a uniformly random value. It returns ErrNoInstance if none is available.
func (t *Table) Pick(now time.Time, random uint64, req Request) (Choice, error) {
	var own, other pair
	hang := t.HangTimeout()
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
				return t.start(now, i, true), nil
			}
			continue
		}
		group := &other
		if i.zone == t.own {
			group = &own
		}
		seed = mix(seed)
		if !i.startedAt.IsZero() && !i.taken(now, seed, t.policy.SlowStart) {
			group.holdBack(i, mix(seed))
			continue
		}
		group.offer(i, mix(seed))
	}
	chosen := t.between(now, hang, t.best(now, hang, &own), t.best(now, hang, &other))
	if chosen == nil {
		chosen = t.between(now, hang, own.held, other.held)
	}
	if chosen == nil && len(req.Exclude) == 0 {
		chosen = t.lastResort()
	}
	if chosen == nil {
		return Choice{}, ErrNoInstance
	}
	return t.start(now, chosen, false), nil
}

// lastResort returns an ejected instance, for use when all others are leaving
// or draining. If there is none and the policy sets UseLeaving, it returns the
// leaving or draining instance that is due to be probed first.
func (t *Table) lastResort() *instance {
	if i := t.firstEjected((*instance).takesWork); i != nil || !t.policy.UseLeaving {
		return i
	}
	var first *instance
	for _, i := range t.instances {
		if i.listed == Serving && (first == nil || i.stateUntil.Before(first.stateUntil)) {
			first = i
		}
	}
	return first
}

func (t *Table) start(now time.Time, i *instance, probe bool) Choice {
	if i.inFlight == 0 {
		i.silentSince = now
	}
	i.inFlight++
	if probe {
		i.probing = true
		i.silentSince = now
	}
	return Choice{ID: i.ID, Zone: i.Zone, Boot: i.Boot, Probe: probe, sent: now, instance: i}
}

// Pin returns the named instance for a request that only it may run, whatever
// its state, and counts the attempt as in flight there.
func (t *Table) Pin(now time.Time, id member.InstanceID) (Choice, error) {
	i := t.find(id)
	if i == nil {
		return Choice{}, ErrNoInstance
	}
	return t.start(now, i, false), nil
}

// best returns the better instance of the pair, or nil if the pair is empty: one
// that is not suspect, then the one with the lower cost.
func (t *Table) best(now time.Time, hang time.Duration, p *pair) *instance {
	a, b := p.drawn[0], p.drawn[1]
	if b == nil {
		return a
	}
	if sa, sb := a.suspect(now, hang), b.suspect(now, hang); sa != sb {
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

// between returns the instance of the own zone, unless it alone is suspect, its
// queue delay exceeds that of the other zone's instance plus the network cost,
// or the own zone is slow.
func (t *Table) between(now time.Time, hang time.Duration, own, other *instance) *instance {
	if own == nil {
		return other
	}
	if other == nil {
		return own
	}
	if so, sr := own.suspect(now, hang), other.suspect(now, hang); so != sr {
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
func (t *Table) ownZoneSlow(now time.Time, own, other *zoneCost, extra time.Duration) bool {
	if t.floor.at.IsZero() {
		return false
	}
	floor := t.floor.value
	return own.latency.estimate(now, floor) > slowZone*other.latency.estimate(now, floor)+extra
}

// cost estimates how long an additional request would take at the instance.
func (t *Table) cost(now time.Time, i *instance) time.Duration {
	latency := i.latency.estimate(now, t.TypicalLatency())
	queue := i.queueDelay.estimate(now, t.queueDelay.value)
	failing := max(i.busyUntil.Sub(now), 0)
	return time.Duration(i.inFlight+1)*latency + failing + queue + t.extraCost(now, i.zone)
}

// mix returns the next value of a pseudorandom sequence (SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// bound maps a random value to [0, n) without a division.
func bound(random, n uint64) uint64 {
	hi, _ := bits.Mul64(random, n)
	return hi
}
