package usage

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucancove/toucancove/core/member"
)

// reportLife is the age at which a report counts as that of a lost node.
const reportLife = 3 * time.Second

// Collector adds up the demand that nodes report. It is not safe for concurrent
// use.
type Collector struct {
	reports map[string]report
}

type report struct {
	at     time.Time
	demand []Demand
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{reports: make(map[string]report)} }

// Report takes the demand of one node and returns that of all for the same
// workspaces.
func (c *Collector) Report(now time.Time, node string, demand []Demand) Total {
	c.reports[node] = report{at: now, demand: demand}
	sums := make(map[string]float64, len(demand))
	for name, r := range c.reports {
		if now.Sub(r.at) > reportLife {
			delete(c.reports, name)
			continue
		}
		for _, d := range r.demand {
			sums[d.Workspace] += d.PerSecond
		}
	}
	total := Total{Nodes: len(c.reports)}
	for _, d := range demand {
		total.Demand = append(total.Demand, Demand{Workspace: d.Workspace, PerSecond: sums[d.Workspace]})
	}
	return total
}

// CollectorOf chooses the instance whose node collects: the first in rendezvous
// order that does not drain and was not found silent. It returns false if there is none.
func CollectorOf(ids []member.InstanceID, silent func(member.InstanceID) bool) (member.InstanceID, bool) {
	var best member.InstanceID
	var bestHash uint64
	found := false
	for _, id := range ids {
		if silent(id) {
			continue
		}
		if hash := xxhash.Sum64String(string(id)); !found || hash < bestHash {
			best, bestHash, found = id, hash, true
		}
	}
	return best, found
}
