package mesh

import (
	"context"
	"encoding/base64"
	"errors"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/quarantine"
	"github.com/toucancove/toucancove/follow"
	"github.com/toucancove/toucancove/peer/meshpb"
)

// reportWorkers is the number of nodes that are told of a crash at the same time.
const reportWorkers = 32

// exchangeRequest returns the message that goes with a draw to the node of an instance.
func (q *quarantines) exchangeRequest(to member.InstanceID) *meshpb.MarkExchange {
	q.mu.Lock()
	defer q.mu.Unlock()
	return exchangeMessage(q.exchange.Request(time.Now(), to))
}

// applyReply merges the message in the reply of an instance's node.
func (q *quarantines) applyReply(from member.InstanceID, reply *meshpb.MarkExchange) {
	q.mu.Lock()
	changes := q.exchange.Apply(time.Now(), from, exchangeFrom(reply))
	q.mu.Unlock()
	q.changed(changes...)
}

// handleExchange merges the marks that came with a draw and returns those that its
// sender lacks.
func (q *quarantines) handleExchange(node string, in *meshpb.MarkExchange) *meshpb.MarkExchange {
	q.mu.Lock()
	reply, changes := q.exchange.Reply(time.Now(), node, exchangeFrom(in))
	q.mu.Unlock()
	q.changed(changes...)
	return exchangeMessage(reply)
}

func exchangeMessage(m *quarantine.Message) *meshpb.MarkExchange {
	if m == nil {
		return nil
	}
	return &meshpb.MarkExchange{
		Marks: markMessages(m.Marks), Reached: positionMessage(m.Reached), Have: positionMessage(m.Have),
	}
}

func exchangeFrom(m *meshpb.MarkExchange) *quarantine.Message {
	if m == nil {
		return nil
	}
	return &quarantine.Message{Marks: marksFrom(m.Marks), Reached: positionFrom(m.Reached), Have: positionFrom(m.Have)}
}

func markMessages(marks []quarantine.Mark) []*meshpb.Mark {
	list := make([]*meshpb.Mark, 0, len(marks))
	for i := range marks {
		m := &marks[i]
		list = append(list, &meshpb.Mark{
			Digest: m.Digest[:], Instance: string(m.Crash.Instance), BootId: uint64(m.Crash.Boot),
			AgeMs: uint64(max(m.Age.Milliseconds(), 0)), Cleared: m.Cleared,
		})
	}
	return list
}

// marksFrom decodes marks and ignores those without a valid digest.
func marksFrom(messages []*meshpb.Mark) []quarantine.Mark {
	marks := make([]quarantine.Mark, 0, len(messages))
	for _, m := range messages {
		if len(m.Digest) != len(quarantine.Digest{}) || m.Instance == "" {
			continue
		}
		marks = append(marks, quarantine.Mark{
			Digest: quarantine.Digest(m.Digest),
			Crash:  quarantine.Crash{Instance: member.InstanceID(m.Instance), Boot: member.BootID(m.BootId)},
			Age:    time.Duration(min(m.AgeMs, maxMarkAgeMs)) * time.Millisecond, Cleared: m.Cleared,
		})
	}
	return marks
}

// maxMarkAgeMs caps the age of a mark in a message, far above any retention.
const maxMarkAgeMs = uint64(1000 * time.Hour / time.Millisecond)

func positionMessage(p quarantine.Position) *meshpb.MarkPosition {
	return &meshpb.MarkPosition{Incarnation: p.Incarnation, Sequence: p.Sequence}
}

func positionFrom(m *meshpb.MarkPosition) quarantine.Position {
	return quarantine.Position{Incarnation: m.GetIncarnation(), Sequence: m.GetSequence()}
}

// encodeMarks returns marks as the value of headerMarks.
func encodeMarks(marks []quarantine.Mark) (string, error) {
	raw, err := proto.Marshal(&meshpb.MarkReport{Marks: markMessages(marks)})
	if err != nil {
		return "", err
	}
	return base64.RawStdEncoding.EncodeToString(raw), nil
}

// setMarks sends marks, if there are any, with a request or a response. They are left out
// if they can't be encoded: other ways of the exchange carry them too.
func setMarks(header interface{ Set(key, value string) }, marks []quarantine.Mark) {
	if len(marks) == 0 {
		return
	}
	if value, err := encodeMarks(marks); err == nil {
		header.Set(headerMarks, value)
	}
}

// decodeMarks parses a value of headerMarks. A value that is not valid holds no marks.
func decodeMarks(value []byte) []quarantine.Mark {
	if len(value) == 0 {
		return nil
	}
	raw, err := base64.RawStdEncoding.DecodeString(string(value))
	if err != nil {
		return nil
	}
	var report meshpb.MarkReport
	if err := proto.Unmarshal(raw, &report); err != nil {
		return nil
	}
	return marksFrom(report.Marks)
}

// markReporter tells other nodes of new marks at once. It is safe for concurrent use.
type markReporter struct {
	node    string
	service string
	state   func() *follow.State
	clients *controlClients
	// controlAddress returns the control address of the node beside an instance,
	// empty for this node.
	controlAddress func(catalog.Instance) string
	collector      func(now time.Time) member.InstanceID
	workers        pond.Pool
}

func (r *markReporter) report(marks []quarantine.Mark) {
	message := &meshpb.MarkReport{Node: r.node, Marks: markMessages(marks)}
	for _, target := range quarantine.ReportTargets(r.state().Instances(), r.service, r.collector(time.Now())) {
		address := r.controlAddress(target)
		if address == "" {
			continue
		}
		r.workers.Submit(func() {
			ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
			defer cancel()
			// A node that is not reached learns of the marks from the collector, or with
			// the request.
			_, _ = r.clients.client(address).ReportMarks(ctx, message)
		})
	}
}

// ReportMarks implements the twirp service.
func (s *controlService) ReportMarks(_ context.Context, in *meshpb.MarkReport) (*meshpb.MarkReportReply, error) {
	s.quarantines.merge(marksFrom(in.Marks), in.Node)
	return &meshpb.MarkReportReply{}, nil
}

// LiftQuarantine implements the twirp service.
func (s *controlService) LiftQuarantine(_ context.Context, in *meshpb.LiftRequest) (*meshpb.LiftReply, error) {
	if len(in.Digest) != len(quarantine.Digest{}) {
		return nil, twirp.InvalidArgumentError("digest", "has a wrong length")
	}
	return &meshpb.LiftReply{Crashes: uint32(s.quarantines.lift(quarantine.Digest(in.Digest)))}, nil
}

// ErrInvalidDigest means that a text is not the digest of a request.
var ErrInvalidDigest = errors.New("mesh: digest is not valid")

// LiftQuarantine asks the node with a control address to take a request out of
// quarantine in the fleet. It returns the number of crashes that counted against it.
// Errors are ErrInvalidDigest or those of the call.
func LiftQuarantine(ctx context.Context, controlAddress, digest string) (crashes int, err error) {
	d, ok := quarantine.ParseDigest(digest)
	if !ok {
		return 0, ErrInvalidDigest
	}
	reply, err := newControlClients(logr.Discard()).client(controlAddress).LiftQuarantine(ctx, &meshpb.LiftRequest{Digest: d[:]})
	return int(reply.GetCrashes()), err
}
