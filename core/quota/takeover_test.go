package quota

import (
	"testing"
	"time"
)

// TestTakeoverKeepsThePool hands over a full pool: all tokens that have not
// expired must arrive, also those of lots whose oldest part has expired.
func TestTakeoverKeepsThePool(t *testing.T) {
	limit := Limit{Rate: 1000 * PerSecond, Burst: 200}
	lifetime := limit.lifetime()
	held := lot{rate: limit.Rate, from: 0, to: 3 * lifetime}
	const transit = time.Millisecond
	now := 3 * lifetime
	var b bucket
	credit(&b, limit, now+transit, now-transit, time.Nanosecond, toWire(now, []lot{held}))
	// Tokens expire earlier by the round trip of the pull.
	want := limit.Rate.over(lifetime - 3*transit)
	if got := b.available(now+transit, now+transit, lifetime); got < want {
		t.Errorf("%d picotokens after a takeover, want at least %d", got, want)
	}
}

// TestAskAfterHandoverIsForwarded sends an ask to a pooler that has handed
// over, as an entry with an older list does. The pooler must forward it, and
// the successor must answer the entry.
func TestAskAfterHandoverIsForwarded(t *testing.T) {
	s := newSim(1, 3, Limit{Rate: 100 * PerSecond, Burst: 50}, quickTiming(3), buildNode)
	s.runUntil(2 * time.Second)
	order := rendezvous(testWorkspace, s.members, 3)
	old, successor, entry := s.nodes[s.index(order[0])], s.nodes[s.index(order[1])], s.nodes[s.index(order[2])]
	s.request(entry)
	s.runUntil(s.now + 10*time.Millisecond)
	s.on(old, func() {
		old.d.Handle(s.time(), successor.id, &Pull{Workspace: testWorkspace, Nonce: Nonce{Boot: 9, Seq: 1}, Kind: PullAll}, &old.fx)
	})
	var fx Effects
	ask := &Ask{Workspace: testWorkspace, Nonce: Nonce{Boot: 7, Seq: 7}, Want: 1}
	old.d.Handle(s.time(), entry.id, ask, &fx)
	if len(fx.Sends) != 1 || fx.Sends[0].To != successor.id {
		t.Fatalf("messages %+v, want one to the successor", fx.Sends)
	}
	forwarded, ok := fx.Sends[0].Message.(*Ask)
	if !ok || forwarded.Origin != entry.id || forwarded.Nonce != ask.Nonce {
		t.Fatalf("forwarded %+v, want the ask of the entry", fx.Sends[0].Message)
	}
	fx.Reset()
	successor.d.Handle(s.time(), old.id, forwarded, &fx)
	s.apply(successor)
	for _, m := range fx.Sends {
		if _, ok := m.Message.(*Answer); ok && m.To != entry.id {
			t.Errorf("the successor answers %s, want the entry", m.To)
		}
	}
}

// TestOneTakeoverAtATime sends a node two Leaving messages from the pooler, as
// the pooler does for each ask that still reaches it. Only the first may cause
// a pull.
func TestOneTakeoverAtATime(t *testing.T) {
	s := newSim(1, 2, Limit{Rate: 100 * PerSecond, Burst: 50}, quickTiming(2), buildNode)
	s.runUntil(2 * time.Second)
	order := rendezvous(testWorkspace, s.members, 2)
	next := s.nodes[s.index(order[1])]
	pulls := 0
	for range 2 {
		next.d.Handle(s.time(), order[0], &Leaving{Workspace: testWorkspace}, &next.fx)
	}
	for _, m := range next.fx.Sends {
		if pull, ok := m.Message.(*Pull); ok && pull.Kind == PullAll {
			pulls++
		}
	}
	if pulls != 1 {
		t.Errorf("%d pulls of all tokens, want 1", pulls)
	}
}

// TestRestartedPoolerTakesOver restarts the pooler's process while a backup is in
// use. The entries return to the first pooler three seconds later (SuspectFor),
// when it must take over the tokens of the backup.
func TestRestartedPoolerTakesOver(t *testing.T) {
	restart := scenario{"restarted", func(s *sim) {
		pooler := s.nodes[s.index(rendezvous(testWorkspace, s.members, 1)[0])]
		s.at(faultAt, func() { pooler.down = true })
		s.at(faultAt+300*time.Millisecond, func() { s.start(pooler, time.Hour) })
	}}
	for _, limit := range benchLimits[2:] { // the burst is refilled within a second
		for seed := range uint64(seeds) {
			s := newSim(seed, fleetSize, limit, DefaultTiming(), buildNode)
			restart.run(s)
			s.limit = withoutOneMinter(limit, 16)
			conformant(s, 50, caseEnds)
			s.runUntil(caseEnds + time.Second)
			if late := countFrom(s.refused, faultAt+2*time.Second); late > 0 {
				t.Errorf("%+v, seed %d: %d wrongful refusals of %d requests", limit, seed, late, s.requests)
			}
			if x := excess(limit, s.admitted); x > 0 {
				t.Errorf("%+v, seed %d: %d picotokens over the limit", limit, seed, x)
			}
		}
	}
}

// TestHandedOverTokensAreNotPulledBack hands over a pool while a minter's reply
// to an earlier pull is in flight, and that reply names the new pooler as the
// previous one. The old pooler must not pull the tokens back, also not if it is
// leaving.
func TestHandedOverTokensAreNotPulledBack(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		s := newSim(1, 3, Limit{Rate: 100 * PerSecond, Burst: 50}, quickTiming(3), buildNode)
		s.runUntil(2 * time.Second)
		order := rendezvous(testWorkspace, s.members, 3)
		old, successor, minter := s.nodes[s.index(order[0])], order[1], order[2]
		s.on(old, func() {
			_, _ = old.d.Ask(s.time(), testWorkspace, 1, time.Second, &old.fx)
		})
		var fx Effects
		if leaving {
			old.d.(*Node).Leave(s.time(), &fx)
		}
		old.d.Handle(s.time(), successor, &Pull{Workspace: testWorkspace, Nonce: Nonce{Boot: 9, Seq: 1}, Kind: PullAll}, &fx)
		fx.Reset()
		nonce := old.d.(*Node).nonces.issue(s.now)
		old.d.Handle(s.time(), minter, &Stream{Workspace: testWorkspace, Nonce: nonce, Previous: successor}, &fx)
		for _, m := range fx.Sends {
			if pull, ok := m.Message.(*Pull); ok && pull.Kind == PullAll {
				t.Errorf("leaving %v: pulls back the tokens that it handed over", leaving)
			}
		}
	}
}
