package quarantine

import (
	"maps"
	"time"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
)

const (
	// maxMarksInMessage bounds the marks in one message, of some 50 bytes each. The
	// rest follows with the next.
	maxMarksInMessage = 512
	// maxReportTargets bounds the nodes that are told of a crash at once. Others learn
	// of it from the collector.
	maxReportTargets = 256
)

// Message holds the marks of its sender that the receiver does not have.
type Message struct {
	Marks []Mark
	// Reached is the position of the sender that the receiver has reached with these
	// marks, Have that of the receiver up to which the sender has its marks.
	Reached, Have Position
}

// Exchange is the anti-entropy between the table of a node and those of other nodes:
// in each exchange both sides send what they have learned since the last one. A node
// exchanges marks with the collector of the quota each time it draws from it, so that
// the collector spreads them to the fleet. It is not safe for concurrent use.
type Exchange struct {
	table *Table
	with  map[member.InstanceID]exchanged
}

// exchanged is how far this node and another one have each other's marks.
type exchanged struct {
	// sent is the position of the own table that the other node has reached, received
	// that of the other node which this one has reached.
	sent, received Position
}

// NewExchange returns an exchange of the marks in a table.
func NewExchange(table *Table) *Exchange {
	return &Exchange{table: table, with: make(map[member.InstanceID]exchanged)}
}

// Retain forgets the exchanges with the nodes of instances for which listed is false.
func (e *Exchange) Retain(listed func(member.InstanceID) bool) {
	maps.DeleteFunc(e.with, func(id member.InstanceID, _ exchanged) bool { return !listed(id) })
}

// Request returns the message to the node of an instance, nil while neither node is
// known to have marks.
func (e *Exchange) Request(now time.Time, to member.InstanceID) *Message {
	with := e.with[to]
	if e.table.position.Sequence == 0 && with.received == (Position{}) {
		return nil
	}
	marks, reached := e.table.since(now, with.sent, string(to))
	return &Message{Marks: marks, Reached: reached, Have: with.received}
}

// Reply merges the message of a node and returns the message to it, nil if neither has
// marks.
func (e *Exchange) Reply(now time.Time, node string, in *Message) (*Message, []Change) {
	if in == nil {
		if e.table.position.Sequence == 0 {
			return nil, nil
		}
		in = &Message{}
	}
	changes := e.table.Merge(now, in.Marks, node)
	marks, reached := e.table.since(now, in.Have, node)
	return &Message{Marks: marks, Reached: reached, Have: in.Reached}, changes
}

// Apply merges the reply of an instance's node.
func (e *Exchange) Apply(now time.Time, from member.InstanceID, reply *Message) []Change {
	if reply == nil {
		return nil
	}
	next := exchanged{sent: reply.Have, received: reply.Reached}
	if before := e.with[from].received.Incarnation; before != 0 && before != next.received.Incarnation {
		// What was sent to a former process of the node is lost with it.
		next.sent = Position{}
	}
	e.with[from] = next
	return e.table.Merge(now, reply.Marks, string(from))
}

// ReportTargets returns the instances whose nodes are told of a crash at once: those of
// the same service, which the request may reach next, and the collector.
func ReportTargets(instances []catalog.Instance, service string, collector member.InstanceID) []catalog.Instance {
	var targets []catalog.Instance
	for _, instance := range instances {
		if instance.ID == collector || (instance.Service == service && len(targets) < maxReportTargets) {
			targets = append(targets, instance)
		}
	}
	return targets
}
