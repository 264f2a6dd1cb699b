package routing

import (
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

// defaultZoneCost is the network cost of a zone before it has been measured.
const defaultZoneCost = 2 * time.Millisecond

// defaultLatency is the typical latency before any has been measured.
const defaultLatency = 5 * time.Millisecond

// Policy says how evidence counts against an instance.
type Policy struct {
	// FailedWeight and LostWeight are the weights of one failed and one lost
	// attempt in an instance's failure share.
	FailedWeight, LostWeight float64
	// EjectShare is the failure share above which an instance is ejected.
	EjectShare float64
	// MaxEjected is the largest share of a table that is ejected at a time.
	MaxEjected float64
	// SlowStart is the time over which a new instance's share of its draws
	// grows to all of them.
	SlowStart time.Duration
	// LeavingLife is the time after which an instance that reported to leave is
	// probed.
	LeavingLife time.Duration
	// UseLeaving lets an instance that reported to leave take a request when
	// there is no other.
	UseLeaving bool
}

// DefaultPolicy suits single calls: an instance is given up once it fails half
// of them.
var DefaultPolicy = Policy{
	FailedWeight: 0.2, LostWeight: 0.4, EjectShare: 0.5, MaxEjected: 0.5,
	SlowStart: 10 * time.Second, LeavingLife: 20 * time.Second,
}

// ChainPolicy suits calls that a request makes many of, so that a small share of
// failures fails most requests: instances are given up at a smaller share, and
// one of four may carry the rest. A node that leaves is soon back, since its
// instance stays: it is probed when a restart can have ended.
var ChainPolicy = Policy{
	FailedWeight: 0.1, LostWeight: 0.2, EjectShare: 0.3, MaxEjected: 0.75,
	SlowStart: 3 * time.Second, LeavingLife: 2 * time.Second, UseLeaving: true,
}

// Table holds the instances of one service as one entry sees them.
type Table struct {
	policy    Policy
	own       *zoneCost
	instances []*instance
	zones     []*zoneCost
	updated   bool

	latency    sample
	queueDelay sample
	// floor is the lowest latency of a zone, rising slowly.
	floor sample
}

// NewTable returns an empty table for an entry in the given zone.
func NewTable(zone member.Zone) *Table { return NewTableWith(zone, DefaultPolicy) }

// NewTableWith returns an empty table with a policy of its own.
func NewTableWith(zone member.Zone, policy Policy) *Table {
	own := &zoneCost{zone: zone}
	return &Table{policy: policy, own: own, zones: []*zoneCost{own}}
}

// Update replaces the list of candidates. What is known of those that stay is
// kept. Instances that appear after the first update begin with a slow start,
// as do those whose boot id changed. An instance gets nothing new if the list
// says so or if it said so itself; the latter until a probe or a new boot id
// ends it, since the list lags.
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
	t.updated = true
	t.holdCap(now)
}

func (t *Table) add(now time.Time, c Candidate) *instance {
	i := &instance{Candidate: c, zone: t.zoneOf(c.Zone), listed: c.State}
	i.State = Serving
	if t.updated {
		i.startedAt = now
	}
	return i
}

func (t *Table) refresh(now time.Time, i *instance, c Candidate) {
	if i.Zone != c.Zone {
		i.Zone = c.Zone
		i.zone = t.zoneOf(c.Zone)
	}
	if c.Boot != 0 && c.Boot != i.Boot {
		i.restart(now, c.Boot)
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

func (t *Table) zoneOf(z member.Zone) *zoneCost {
	for _, known := range t.zones {
		if known.zone == z {
			return known
		}
	}
	added := &zoneCost{zone: z}
	t.zones = append(t.zones, added)
	return added
}

// extraCost is what reaching the zone costs more than staying in the own one.
func (t *Table) extraCost(now time.Time, z *zoneCost) time.Duration {
	if z == t.own {
		return 0
	}
	cost := defaultZoneCost
	if !z.network.at.IsZero() {
		cost = z.network.value
	}
	if !t.own.network.at.IsZero() {
		cost -= t.own.network.value
	}
	return max(cost, 0)
}

// TypicalLatency returns the latency that an attempt is expected to have.
func (t *Table) TypicalLatency() time.Duration {
	if t.latency.at.IsZero() {
		return defaultLatency
	}
	return t.latency.value
}

// Boot returns the boot id of an instance, zero if not known, and when the
// instance was last heard of.
func (t *Table) Boot(id member.InstanceID) (boot member.BootID, heard time.Time) {
	i := t.find(id)
	if i == nil {
		return 0, time.Time{}
	}
	return i.Boot, i.heardAt
}

// SetBoot records a boot id that the instance told otherwise than on a data
// response.
func (t *Table) SetBoot(now time.Time, id member.InstanceID, boot member.BootID) {
	if i := t.find(id); i != nil {
		i.heardAt = now
		if boot != i.Boot {
			i.restart(now, boot)
		}
	}
}

// Away returns the instances that get no ordinary requests because they
// reported to drain or leave, or were ejected.
func (t *Table) Away() []member.InstanceID {
	var away []member.InstanceID
	for _, i := range t.instances {
		if i.State != Serving || i.ejected {
			away = append(away, i.ID)
		}
	}
	return away
}

// Statuses describes all instances.
func (t *Table) Statuses(now time.Time) []Status {
	hang := t.Patience()
	out := make([]Status, 0, len(t.instances))
	for _, i := range t.instances {
		out = append(out, Status{
			ID: i.ID, Zone: i.Zone, Boot: i.Boot, State: max(i.listed, i.State), InFlight: i.inFlight,
			Latency:    i.latency.estimate(now, t.TypicalLatency()),
			QueueDelay: i.queueDelay.estimate(now, t.queueDelay.value),
			Ejected:    i.ejected, Suspect: i.suspect(now, hang),
		})
	}
	return out
}
