package proxy

import (
	"sync"
	"time"
)

// recentDecisions is the number of refusals kept for operators.
const recentDecisions = 64

// Decision is a refusal sent by the node, kept for operators.
type Decision struct {
	Time time.Time `json:"time"`
	// Side is "entry" or "guard".
	Side      string `json:"side"`
	Request   string `json:"request,omitempty"`
	Service   string `json:"service,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Class     string `json:"class,omitempty"`
	Status    int    `json:"status"`
	Reason    Reason `json:"reason"`
	Run       Run    `json:"run"`
	Detail    string `json:"detail,omitempty"`
}

// Decisions keeps the most recent refusals. It is safe for concurrent use.
type Decisions struct {
	mu   sync.Mutex
	ring [recentDecisions]Decision
	next int
	full bool
}

// Add keeps a decision and drops the oldest one if recentDecisions are kept.
func (d *Decisions) Add(decision Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ring[d.next] = decision
	d.next = (d.next + 1) % recentDecisions
	d.full = d.full || d.next == 0
}

// Recent returns the kept decisions, newest first.
func (d *Decisions) Recent() []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := d.next
	if d.full {
		count = recentDecisions
	}
	list := make([]Decision, 0, count)
	for i := 1; i <= count; i++ {
		list = append(list, d.ring[(d.next-i+recentDecisions)%recentDecisions])
	}
	return list
}
