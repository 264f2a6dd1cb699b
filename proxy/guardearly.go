package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/core/admission"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/routing"
	"github.com/toucancove/toucancove/core/target"
)

// maxEarlyRefusals is the number of instances expected to refuse a request
// after which the entry refuses it.
const maxEarlyRefusals = 8

// EarlyRefusals refuses requests at an entry that the guards are expected to
// refuse by their latest hints. It is safe for concurrent use.
type EarlyRefusals struct {
	mu    sync.Mutex
	early *admission.EarlyRefusal
}

// NewEarlyRefusals returns an EarlyRefusals without hints, which refuses
// nothing.
func NewEarlyRefusals() *EarlyRefusals {
	return &EarlyRefusals{early: admission.NewEarlyRefusal()}
}

// Retain removes the instances that are no longer listed.
func (e *EarlyRefusals) Retain(listed []config.Instance) {
	ids := make([]member.InstanceID, len(listed))
	for i, instance := range listed {
		ids[i] = instance.ID
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.early.Retain(ids)
}

func (e *EarlyRefusals) observe(now time.Time, id member.InstanceID, hint admission.Hint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.early.Observe(now, id, hint)
}

// offer returns a refusal if the instance is expected to refuse the request,
// and nil if the request is to be sent, possibly as a probe.
func (e *EarlyRefusals) offer(now time.Time, id member.InstanceID, rank target.Rank, root bool) *Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	decision := e.early.Offer(now, id, rank, root)
	if decision.Verdict == admission.Run {
		return nil
	}
	return admissionRefusal(decision.Reason, decision.RetryAfter)
}

// peekAll returns a refusal if all instances are expected to refuse a root
// request. It uses no probe.
func (e *EarlyRefusals) peekAll(now time.Time, instances []config.Instance, rank target.Rank) *Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	var wait time.Duration
	for _, instance := range instances {
		decision := e.early.Peek(now, instance.ID, rank, true)
		if decision.Verdict == admission.Run {
			return nil
		}
		if wait == 0 || decision.RetryAfter < wait {
			wait = decision.RetryAfter
		}
	}
	if len(instances) == 0 {
		return nil
	}
	return admissionRefusal(admission.Overload, wait)
}

// rank returns the rank of the request's class, the last one for an unknown
// class.
func (e *Entry) rank(in *inbound) target.Rank {
	rank, _ := e.cfg.View().Order().Rank(in.claims.Class)
	return rank
}

// pick chooses an instance that is expected to admit the request.
func (e *Entry) pick(in *inbound, request *routing.Request) (Route, error) {
	var refusal *Refusal
	rank := e.rank(in)
	for range maxEarlyRefusals {
		route, err := e.cfg.Router.Pick(in.service, *request)
		if err != nil {
			return Route{}, preferRefusal(refusal, err)
		}
		now := time.Now()
		if refusal = e.cfg.Early.offer(now, route.Instance.ID, rank, in.root); refusal == nil {
			return route, nil
		}
		e.cfg.Router.Finished(route, Evidence{Err: context.Canceled})
		request.Exclude = append(request.Exclude, route.Instance.ID)
	}
	return Route{}, refusal
}

// observeHint records the hint of an instance. If the response is marked as
// congested or the request's rank is congested at the instance, the run that
// made the call is marked as congested too.
func (e *Entry) observeHint(in *inbound, id member.InstanceID, header string) {
	hint, congested, ok := parseHint(header)
	if !ok {
		return
	}
	e.cfg.Early.observe(time.Now(), id, hint)
	rankCongested := hint.CongestedFrom != admission.AllRanks && e.rank(in) >= hint.CongestedFrom
	if !in.root && (congested || rankCongested) {
		e.cfg.Deeper.markCongested(callerRunKey(in))
	}
}

// refuseEarly refuses a root request that no instance is expected to admit, so
// that it uses no quota token of its workspace. A request with a ticket is
// tried at its instance in any case.
func (e *Entry) refuseEarly(in *inbound) error {
	if !in.root || in.ticket != nil {
		return nil
	}
	instances := e.cfg.View().Instances(in.service)
	if refusal := e.cfg.Early.peekAll(time.Now(), instances, e.rank(in)); refusal != nil {
		return refusal
	}
	return nil
}
