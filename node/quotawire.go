package node

import (
	"time"

	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/quota"
	"github.com/toucancove/toucancove/peer/peerpb"
)

// toQuotaMessage converts a message to its wire format.
func toQuotaMessage(m quota.Message) *peerpb.QuotaMessage {
	switch m := m.(type) {
	case *quota.Ask:
		return quotaMessage(m.Workspace, m.Nonce, &peerpb.QuotaMessage{Body: &peerpb.QuotaMessage_Ask{Ask: &peerpb.QuotaAsk{
			Want: m.Want, Wait: int64(m.Wait), Margin: int64(m.Margin), Origin: string(m.Origin),
		}}})
	case *quota.Answer:
		return quotaMessage(m.Workspace, m.Nonce, &peerpb.QuotaMessage{Body: &peerpb.QuotaMessage_Answer{Answer: &peerpb.QuotaAnswer{
			Lots: toQuotaLots(m.Lots), Refused: m.Refused, RetryAfter: int64(m.RetryAfter),
		}}})
	case *quota.Pull:
		return quotaMessage(m.Workspace, m.Nonce, &peerpb.QuotaMessage{Body: &peerpb.QuotaMessage_Pull{Pull: &peerpb.QuotaPull{
			All: m.Kind == quota.PullAll, Ahead: int64(m.Ahead),
		}}})
	case *quota.Stream:
		return quotaMessage(m.Workspace, m.Nonce, &peerpb.QuotaMessage{Body: &peerpb.QuotaMessage_Stream{Stream: &peerpb.QuotaStream{
			Lots: toQuotaLots(m.Lots), Until: int64(m.Until), All: m.Kind == quota.PullAll, Previous: string(m.Previous),
		}}})
	case *quota.Leaving:
		return quotaMessage(m.Workspace, quota.Nonce{}, &peerpb.QuotaMessage{Body: &peerpb.QuotaMessage_Leaving{Leaving: &peerpb.QuotaLeaving{}}})
	}
	return nil
}

func quotaMessage(ws quota.Workspace, nonce quota.Nonce, m *peerpb.QuotaMessage) *peerpb.QuotaMessage {
	m.Workspace, m.NonceBoot, m.NonceSeq = string(ws), uint64(nonce.Boot), nonce.Seq
	return m
}

func toQuotaLots(lots []quota.Lot) []*peerpb.QuotaLot {
	out := make([]*peerpb.QuotaLot, len(lots))
	for i, l := range lots {
		out[i] = &peerpb.QuotaLot{Rate: int64(l.Rate), From: int64(l.From), Length: int64(l.To - l.From), Slack: int64(l.Slack)}
	}
	return out
}

// fromQuotaMessage converts a message from its wire format. It returns nil if
// the kind is unknown.
func fromQuotaMessage(m *peerpb.QuotaMessage) quota.Message {
	ws := quota.Workspace(m.GetWorkspace())
	nonce := quota.Nonce{Boot: member.BootID(m.GetNonceBoot()), Seq: m.GetNonceSeq()}
	switch body := m.GetBody().(type) {
	case *peerpb.QuotaMessage_Ask:
		return &quota.Ask{
			Workspace: ws, Nonce: nonce, Want: body.Ask.GetWant(),
			Wait: time.Duration(body.Ask.GetWait()), Margin: time.Duration(body.Ask.GetMargin()),
			Origin: member.InstanceID(body.Ask.GetOrigin()),
		}
	case *peerpb.QuotaMessage_Answer:
		return &quota.Answer{
			Workspace: ws, Nonce: nonce, Lots: fromQuotaLots(body.Answer.GetLots()),
			Refused: body.Answer.GetRefused(), RetryAfter: time.Duration(body.Answer.GetRetryAfter()),
		}
	case *peerpb.QuotaMessage_Pull:
		return &quota.Pull{Workspace: ws, Nonce: nonce, Kind: pullKind(body.Pull.GetAll()), Ahead: time.Duration(body.Pull.GetAhead())}
	case *peerpb.QuotaMessage_Stream:
		return &quota.Stream{
			Workspace: ws, Nonce: nonce, Lots: fromQuotaLots(body.Stream.GetLots()),
			Until: time.Duration(body.Stream.GetUntil()), Kind: pullKind(body.Stream.GetAll()),
			Previous: member.InstanceID(body.Stream.GetPrevious()),
		}
	case *peerpb.QuotaMessage_Leaving:
		return &quota.Leaving{Workspace: ws}
	}
	return nil
}

func pullKind(all bool) quota.PullKind {
	if all {
		return quota.PullAll
	}
	return quota.PullMinting
}

func fromQuotaLots(lots []*peerpb.QuotaLot) []quota.Lot {
	out := make([]quota.Lot, len(lots))
	for i, l := range lots {
		from := time.Duration(l.GetFrom())
		out[i] = quota.Lot{
			Rate: quota.Rate(l.GetRate()), From: from, To: from + time.Duration(l.GetLength()),
			Slack: time.Duration(l.GetSlack()),
		}
	}
	return out
}
