package mesh

import (
	"time"

	"github.com/toucancove/toucancove/core/usage"
	"github.com/toucancove/toucancove/peer/meshpb"
)

func drawMessages(draws []usage.Draw) []*meshpb.Draw {
	list := make([]*meshpb.Draw, 0, len(draws))
	for _, d := range draws {
		list = append(list, &meshpb.Draw{
			Workspace: d.Workspace, Wanted: float32(d.Wanted), Held: float32(d.Held), Demand: float32(d.Demand),
		})
	}
	return list
}

func callerFrom(message *meshpb.DrawRequest) usage.Caller {
	return usage.Caller{
		Node:       message.Node,
		SinceOther: time.Duration(message.AwayMs) * time.Millisecond,
		SinceFill:  time.Duration(message.FilledMs) * time.Millisecond,
		Switched:   message.Switched,
		Depleted:   message.Depleted,
	}
}

func drawsFrom(messages []*meshpb.Draw) []usage.Draw {
	list := make([]usage.Draw, 0, len(messages))
	for _, m := range messages {
		list = append(list, usage.Draw{
			Workspace: m.Workspace, Wanted: float64(m.Wanted), Held: float64(m.Held), Demand: float64(m.Demand),
		})
	}
	return list
}

func grantMessages(grants []usage.Grant) []*meshpb.Grant {
	list := make([]*meshpb.Grant, 0, len(grants))
	for _, g := range grants {
		list = append(list, &meshpb.Grant{
			Workspace: g.Workspace, Tokens: float32(g.Tokens), Demand: float32(g.Demand),
			RetryAfterMs: uint32(g.RetryAfter.Milliseconds()), Credit: g.Credit, Overdrawn: g.Overdrawn,
		})
	}
	return list
}

func grantsFrom(messages []*meshpb.Grant) []usage.Grant {
	list := make([]usage.Grant, 0, len(messages))
	for _, m := range messages {
		list = append(list, usage.Grant{
			Workspace: m.Workspace, Tokens: float64(m.Tokens), Demand: float64(m.Demand),
			RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond, Credit: m.Credit, Overdrawn: m.Overdrawn,
		})
	}
	return list
}
