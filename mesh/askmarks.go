package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/peer/meshpb"
)

// askForMarks makes a collector that has just started exchange marks with one of the
// nodes that will draw from it. Other nodes receive them with their first draw.
func (q *quota) askForMarks(ctx context.Context) {
	candidates, own := q.candidates(q.state().Instances())
	if q.collector(time.Now()) != own {
		return
	}
	tried := []member.InstanceID{own}
	for range maxDrawHops {
		id, ok := member.First(candidates, func(id member.InstanceID) bool { return slices.Contains(tried, id) })
		if !ok {
			return
		}
		tried = append(tried, id)
		if q.exchangeMarks(ctx, id) {
			return
		}
	}
}

// exchangeMarks exchanges marks with the node of another instance, and reports whether it
// responded.
func (q *quota) exchangeMarks(ctx context.Context, id member.InstanceID) bool {
	directory := q.state().Directory
	if directory == nil {
		return false
	}
	instance, ok := directory.Instance(id)
	if !ok {
		return false // it was just removed from the list
	}
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := q.clients.client(q.controlAddress(instance)).ExchangeMarks(bounded, &meshpb.MarkExchangeRequest{
		Node: q.node, Marks: q.quarantines.exchangeRequest(id),
	})
	if err != nil {
		q.log.Info("exchange of marks failed", "upstream", id, "reason", err.Error())
		return false
	}
	q.quarantines.applyReply(id, reply.Marks)
	return true
}
