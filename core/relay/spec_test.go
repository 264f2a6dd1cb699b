package relay

import (
	"testing"
	"time"
)

// trace drives a starting node with two peers through the counterexample that
// the model checker finds for a mutant of spec/relay.pml. The value is a
// bootstrap value.
type trace struct {
	t     *testing.T
	now   time.Time
	state *State
	peers []Peer
}

const traced = "fleet"

func newTrace(t *testing.T) *trace {
	tr := &trace{t: t, now: time.Unix(0, 0), peers: testFleet(3, 1)}
	tr.state = New(Config{Self: "n0", Zone: "z0", Bootstrap: []string{traced}, Parse: parseTest}, tr.now)
	tr.state.SetPeers(tr.now, tr.peers, len(tr.peers))
	tr.state.Tick(tr.now)
	return tr
}

func (tr *trace) read(revision uint64) {
	tr.state.ReadDone(tr.now, traced, ReadFound, testValue(traced, revision))
}

func (tr *trace) reply(peer int, ready bool, known uint64) Effects {
	return tr.state.DigestAnswered(tr.now, DigestTo{To: tr.peers[peer].ID},
		DigestReply{Ready: ready, Known: []Version{{traced, known}}})
}

func (tr *trace) fetched(peer int, revision uint64) {
	request := FetchFrom{To: tr.peers[peer].ID, Fetch: Fetch{Wanted: []Version{{traced, revision}}}}
	tr.state.FetchAnswered(tr.now, request, FetchReply{Values: []Value{testValue(traced, revision)}})
}

func (tr *trace) want(ready bool, held uint64) {
	tr.t.Helper()
	tr.state.Tick(tr.now)
	if got := tr.state.entries[traced].held.Revision; tr.state.Ready() != ready || got != held {
		tr.t.Errorf("ready %v at revision %d; want %v at %d", tr.state.Ready(), got, ready, held)
	}
}

func TestCounterexamplesOfMutants(t *testing.T) {
	tests := []struct {
		mutant string
		run    func(tr *trace)
	}{
		{"NO_ASK", func(tr *trace) {
			tr.read(1) // the platform is stale
			tr.want(false, 1)
			tr.reply(1, true, 2)
			tr.reply(2, true, 2)
			tr.fetched(1, 2)
			tr.want(true, 2)
		}},
		{"NO_WAIT", func(tr *trace) {
			tr.read(1)
			tr.reply(1, true, 2)
			tr.reply(2, true, 2)
			tr.want(false, 1)
			tr.now = tr.now.Add(10 * bootTimeout) // not even after the wait for replies
			tr.want(false, 1)
			tr.fetched(1, 2)
			tr.want(true, 2)
		}},
		{"ASK_UNREADY", func(tr *trace) {
			tr.read(1)
			tr.reply(1, false, 1)
			tr.want(false, 1)
			tr.reply(2, true, 2)
			tr.fetched(2, 2)
			tr.want(true, 2)
		}},
		{"NO_ORDER", func(tr *trace) {
			tr.reply(1, true, 2)
			tr.reply(2, true, 2)
			tr.fetched(1, 2)
			tr.want(true, 2)
			tr.read(1)
			tr.want(true, 2)
			tr.state.HandleAnnounce(tr.now, Announce{From: "n1", Zone: "z0", Values: []Value{testValue(traced, 1)}})
			tr.want(true, 2)
		}},
		{"NO_EXCHANGE", func(tr *trace) {
			tr.reply(1, true, 2)
			tr.reply(2, true, 2)
			tr.fetched(1, 2)
			tr.want(true, 2)
			if fx := tr.reply(1, true, 3); len(fx.Fetches) != 1 { // its announcement was lost
				tr.t.Errorf("%d fetches; want 1", len(fx.Fetches))
			}
			tr.fetched(1, 3)
			tr.want(true, 3)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.mutant, func(t *testing.T) { tt.run(newTrace(t)) })
	}
}
