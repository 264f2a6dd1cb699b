package node

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/quota"
	"github.com/toucancove/toucancove/peer/peerpb"
)

// call sends the messages of an outbox to a peer and handles those of the reply.
// A successful probe also counts as contact with the peer.
func (q *quotaControl) call(to config.Instance, box *quotaOutbox, probe bool) {
	batch := q.batch(box.messages)
	box.messages = nil
	box.calls++
	client, sent := q.dial(to), time.Now()
	q.calls.Go(func() {
		ctx, cancel := context.WithTimeout(q.ctx, quotaCallTimeout)
		defer cancel()
		reply, err := client.Exchange(ctx, batch)
		q.submit(func(now time.Time) {
			box.calls--
			if probe && err == nil && reply.GetListRevision() <= q.listRevision {
				q.contact.recordReply(to.ID, sent)
				q.core.Contact(now, q.contact.lastMajorityContact())
			}
			switch {
			case err == nil:
				q.handleBatch(now, to.ID, reply)
			case ctx.Err() == nil:
				q.core.Unreachable(now, to.ID, &q.effects)
			}
		})
	})
}

func (q *quotaControl) batch(messages []*peerpb.QuotaMessage) *peerpb.QuotaBatch {
	return &peerpb.QuotaBatch{
		Instance:     string(q.self),
		ListRevision: q.listRevision,
		Settled:      q.settled.Load(),
		Messages:     messages,
	}
}

// handleBatch passes the messages of a peer to the core. Messages about
// workspaces without a known limit are dropped.
func (q *quotaControl) handleBatch(now time.Time, from member.InstanceID, batch *peerpb.QuotaBatch) {
	if batch.GetSettled() && batch.GetListRevision() == q.listRevision {
		q.settled.Store(true)
	}
	for _, wire := range batch.GetMessages() {
		if !q.ensureLimit(quota.Workspace(wire.GetWorkspace())) {
			continue
		}
		if m := fromQuotaMessage(wire); m != nil {
			q.core.Handle(now, from, m, &q.effects)
		}
	}
}

// Exchange implements peerpb.Quota.
func (q *quotaControl) Exchange(ctx context.Context, batch *peerpb.QuotaBatch) (*peerpb.QuotaBatch, error) {
	replies := make(chan *peerpb.QuotaBatch, 1)
	q.submit(func(now time.Time) {
		from := member.InstanceID(batch.GetInstance())
		q.handleBatch(now, from, batch)
		replies <- q.batch(q.takeReplies(from))
	})
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "quota exchange")
	case <-q.stopped:
		return nil, eris.New("node has stopped")
	}
}

// takeReplies removes the messages to a peer from the effects and returns them.
func (q *quotaControl) takeReplies(to member.InstanceID) []*peerpb.QuotaMessage {
	var replies []*peerpb.QuotaMessage
	remaining := q.effects.Sends[:0]
	for _, s := range q.effects.Sends {
		if s.To == to {
			replies = append(replies, toQuotaMessage(s.Message))
		} else {
			remaining = append(remaining, s)
		}
	}
	q.effects.Sends = remaining
	return replies
}
