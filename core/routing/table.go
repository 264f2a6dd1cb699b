package routing

import (
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// defaultZoneCost is the network time to a zone before it has been measured.
const defaultZoneCost = 2 * time.Millisecond

// defaultLatency is the typical latency before any has been measured.
const defaultLatency = 5 * time.Millisecond

// Policy holds the parameters of outlier detection and slow start.
type Policy struct {
	// FailedWeight and LostWeight are the weights of one failed and one lost
	// attempt in the moving average of an instance's failure rate.
	FailedWeight, LostWeight float64
	// EjectThreshold is the failure rate, from 0 to 1, above which an outlier is
	// ejected.
	EjectThreshold float64
	// MaxEjected is the maximum share of a table's instances that are ejected at
	// a time, from 0 to 1.
	MaxEjected float64
	// SlowStart is the time over which the share of its picks that a new
	// instance accepts grows to all of them.
	SlowStart time.Duration
	// LeavingProbeDelay is the time after which an instance that reported to be
	// leaving is probed.
	LeavingProbeDelay time.Duration
	// UseLeaving allows requests to an instance that reported to be leaving or
	// draining if there is no other.
	UseLeaving bool
}

// DefaultPolicy suits single calls: an instance is ejected once it fails more
// than half of them.
var DefaultPolicy = Policy{
	FailedWeight: 0.2, LostWeight: 0.4, EjectThreshold: 0.5, MaxEjected: 0.5,
	SlowStart: 10 * time.Second, LeavingProbeDelay: 20 * time.Second,
}

// ChainPolicy suits services that a request calls many times, so that a small
// failure rate of single calls fails most requests. Instances are ejected at a
// lower failure rate, and up to three of four, so that one in four carries the
// load. A leaving node is expected back soon because its instance stays: it is
// probed after the time in which a restart can complete.
var ChainPolicy = Policy{
	FailedWeight: 0.1, LostWeight: 0.2, EjectThreshold: 0.3, MaxEjected: 0.75,
	SlowStart: 3 * time.Second, LeavingProbeDelay: 2 * time.Second, UseLeaving: true,
}

// Table holds one entry's view of the instances of one service.
type Table struct {
	policy    Policy
	ownZone   *zoneStats
	instances []*instance
	zones     []*zoneStats
	hasList   bool

	latency    sample
	queueDelay sample
	// lowestZoneLatency is the lowest latency of any zone. It rises slowly when
	// zones get slower.
	lowestZoneLatency sample
}

// NewTable returns an empty table for an entry in the given zone.
func NewTable(zone member.Zone) *Table { return NewTableWith(zone, DefaultPolicy) }

// NewTableWith returns an empty table with the given policy.
func NewTableWith(zone member.Zone, policy Policy) *Table {
	ownZone := &zoneStats{zone: zone}
	return &Table{policy: policy, ownZone: ownZone, zones: []*zoneStats{ownZone}}
}

// Update replaces the list of candidates. The state of instances that stay
// listed is kept. Instances that appear after the first update begin with a slow
// start, as do those whose boot id changed. An instance receives no new requests
// if the list or the instance itself reports it as leaving or draining. The list
// lags, so what the instance itself reported holds until a report on a later
// response or a new boot id ends it.
func (t *Table) Update(now time.Time, candidates []Candidate) {
	next := make([]*instance, 0, len(candidates))
	for _, c := range candidates {
		if slices.ContainsFunc(next, func(i *instance) bool { return i.ID == c.ID }) {
			continue
		}
		old := t.find(c.ID)
		if old == nil {
			old = t.add(now, c)
		} else {
			t.refresh(now, old, c)
		}
		next = append(next, old)
	}
	t.instances = next
	t.hasList = true
	t.enforceMaxEjected(now)
}

func (t *Table) add(now time.Time, c Candidate) *instance {
	i := &instance{Candidate: c, zone: t.zoneOf(c.Zone), listed: c.State}
	i.State = Serving
	if t.hasList {
		i.slowStartedAt = now
	}
	return i
}

func (t *Table) refresh(now time.Time, i *instance, c Candidate) {
	if i.Zone != c.Zone {
		i.Zone = c.Zone
		i.zone = t.zoneOf(c.Zone)
	}
	if c.Boot != 0 && c.Boot != i.Boot {
		i.updateBoot(now, c.Boot)
	}
	i.listed = c.State
}

func (t *Table) find(id member.InstanceID) *instance {
	for _, i := range t.instances {
		if i.ID == id {
			return i
		}
	}
	return nil
}

func (t *Table) zoneOf(z member.Zone) *zoneStats {
	for _, known := range t.zones {
		if known.zone == z {
			return known
		}
	}
	added := &zoneStats{zone: z}
	t.zones = append(t.zones, added)
	return added
}

// extraCost returns the additional network time of a request to the zone
// compared with one in the own zone.
func (t *Table) extraCost(now time.Time, z *zoneStats) time.Duration {
	if z == t.ownZone {
		return 0
	}
	cost := defaultZoneCost
	if !z.network.at.IsZero() {
		cost = z.network.value
	}
	if !t.ownZone.network.at.IsZero() {
		cost -= t.ownZone.network.value
	}
	return max(cost, 0)
}

// TypicalLatency returns the expected latency of an attempt.
func (t *Table) TypicalLatency() time.Duration {
	if t.latency.at.IsZero() {
		return defaultLatency
	}
	return t.latency.value
}

// Boot returns the boot id of an instance, zero if not known, and the time of
// the last contact with it.
func (t *Table) Boot(id member.InstanceID) (boot member.BootID, lastContact time.Time) {
	i := t.find(id)
	if i == nil {
		return 0, time.Time{}
	}
	return i.Boot, i.lastContact
}

// SetBoot records a boot id that the instance reported by other means than a
// response to an attempt.
func (t *Table) SetBoot(now time.Time, id member.InstanceID, boot member.BootID) {
	if i := t.find(id); i != nil {
		i.lastContact = now
		if boot != i.Boot {
			i.updateBoot(now, boot)
		}
	}
}

// Unavailable returns the instances that receive no requests other than probes
// because they reported to be draining or leaving, or are ejected.
func (t *Table) Unavailable() []member.InstanceID {
	var unavailable []member.InstanceID
	for _, i := range t.instances {
		if i.State != Serving || i.ejected {
			unavailable = append(unavailable, i.ID)
		}
	}
	return unavailable
}

// Statuses returns the status of all instances.
func (t *Table) Statuses(now time.Time) []Status {
	hangTimeout := t.HangTimeout()
	out := make([]Status, 0, len(t.instances))
	for _, i := range t.instances {
		out = append(out, Status{
			ID: i.ID, Zone: i.Zone, Boot: i.Boot, State: max(i.listed, i.State), InFlight: i.inFlight,
			Latency:    i.latency.estimate(now, t.TypicalLatency()),
			QueueDelay: i.queueDelay.estimate(now, t.queueDelay.value),
			Ejected:    i.ejected, Suspect: i.suspect(now, hangTimeout),
		})
	}
	return out
}
