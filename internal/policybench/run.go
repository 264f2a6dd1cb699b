package policybench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/toucancove/toucancove/core/admission"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/target"
)

const (
	// networkDelay is the time of a message between an entry and a guard.
	networkDelay = 500 * time.Microsecond
	// retryBackoff is the pause of a caller before a retry. Callers ignore the
	// advised time on purpose: the policy must hold with callers that retry
	// hard.
	retryBackoff = 10 * time.Millisecond
	// callTimeout ends an attempt where deadlines aren't propagated.
	callTimeout = time.Second
	// tickInterval is the time between ticks of a guard.
	tickInterval = 5 * time.Millisecond
)

// result is the answer to a call.
type result uint8

const (
	completed result = iota
	congested        // completed, with the mark of a long queue
	failed
	refused
)

// ok reports whether the answer was whole.
func (r result) ok() bool { return r == completed || r == congested }

// root is a request of an outside caller and all work that follows from it.
type root struct {
	rank      int
	workspace int
	start     time.Duration
	deadline  time.Duration
	ended     bool
	succeeded bool
	retries   int // retries left in the whole chain, where they are bounded
	runs      int
	deepest   int        // runs at the last hop
	path      []*attempt // attempts under way, outermost first
}

// attempt is one try of a call at one hop.
type attempt struct {
	call    *call
	id      admission.ID
	job     job
	queued  bool
	running bool
	calling time.Duration // when the call to the next hop began; 0 if none did
	settled bool          // the caller has its answer or has given up
}

// call is one request to a hop with its retries.
type call struct {
	root  *root
	hop   *hop
	tries int
	done  func(result)
}

// hop is one service of the chain with its guard and the entry in front.
type hop struct {
	index    int
	server   *server
	guard    Guard
	early    *admission.EarlyRefusal
	retries  retryBudget
	attempts map[admission.ID]*attempt
}

func (h *hop) instance() member.InstanceID {
	return member.InstanceID(strconv.Itoa(h.index))
}

// run is one execution of a scenario.
type run struct {
	events
	scenario Scenario
	rng      *rand.Rand
	hops     []*hop
	nextID   admission.ID
	effects  []admission.Effect
	names    [Workspaces]string
	result   *Result
}

// Execute runs a scenario and returns what was measured.
func Execute(s Scenario) *Result {
	r := &run{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 0)), result: newResult(&s)}
	for i := range r.names {
		r.names[i] = "workspace-" + strconv.Itoa(i)
	}
	for i, slots := range s.Slots {
		srv := &server{events: &r.events, slots: slots, connections: s.Connections, sharing: s.Sharing, speed: s.speed(i)}
		h := &hop{
			index: i, server: srv, guard: s.Policy.guard(epoch, slots, s.Connections),
			early: admission.NewEarlyRefusal(), attempts: make(map[admission.ID]*attempt),
		}
		r.hops = append(r.hops, h)
		r.tick(h)
	}
	for _, f := range s.Faults {
		r.after(f.From, r.hops[f.Hop].server.speedChanged)
		r.after(f.To, r.hops[f.Hop].server.speedChanged)
	}
	for rank := range Ranks {
		r.nextArrival(rank)
	}
	r.runUntil(s.Duration)
	return r.result
}

func (r *run) tick(h *hop) {
	r.apply(h, h.guard.Tick(r.time(), r.effects[:0]))
	r.after(tickInterval, func() { r.tick(h) })
}

// nextArrival schedules the next request of a rank; arrivals are Poisson.
func (r *run) nextArrival(rank int) {
	rate := r.scenario.demand(r.now)[rank] * r.scenario.capacity()
	const idle = 10 * time.Millisecond
	if rate <= 0 {
		r.after(idle, func() { r.nextArrival(rank) })
		return
	}
	gap := time.Duration(r.rng.ExpFloat64() / rate * 1e9)
	if gap > time.Second {
		gap = time.Second
	}
	r.after(gap, func() {
		r.arrive(rank)
		r.nextArrival(rank)
	})
}

func (r *run) arrive(rank int) {
	rt := &root{
		rank: rank, workspace: r.pickWorkspace(), start: r.now,
		deadline: r.now + r.scenario.Deadline[rank], retries: rootRetries,
	}
	r.result.offered(rt)
	r.after(r.scenario.Deadline[rank], func() { r.expire(rt) })
	r.begin(rt, 0, func(res result) { r.end(rt, res.ok()) })
}

func (r *run) pickWorkspace() int {
	sum := 0.0
	for _, w := range r.scenario.Weights {
		sum += w
	}
	x := r.rng.Float64() * sum
	for i, w := range r.scenario.Weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return Workspaces - 1
}

// end records the final answer to a root request.
func (r *run) end(rt *root, ok bool) {
	if rt.ended {
		return
	}
	rt.ended, rt.succeeded = true, ok
	r.result.ended(rt, r.now)
}

// expire ends a root request at its deadline and cancels its work where
// cancellation is propagated.
func (r *run) expire(rt *root) {
	if rt.ended {
		return
	}
	r.end(rt, false)
	if !r.scenario.Policy.propagates() {
		return
	}
	for i := len(rt.path) - 1; i >= 0; i-- {
		r.cancel(rt.path[i])
	}
	rt.path = nil
}

func (r *run) cancel(a *attempt) {
	h := a.call.hop
	a.settled = true
	switch {
	case a.running:
		a.running = false
		h.server.abort(&a.job)
		delete(h.attempts, a.id)
		r.apply(h, h.guard.Done(r.time(), r.completion(a, admission.Cancelled, false), r.effects[:0]))
	case a.queued:
		a.queued = false
		delete(h.attempts, a.id)
		h.guard.Cancel(a.id)
	}
}

// begin sends a call to a hop; done gets its final result unless the root
// request is cancelled before.
func (r *run) begin(rt *root, index int, done func(result)) {
	r.try(&call{root: rt, hop: r.hops[index], done: done})
}

func (r *run) try(c *call) {
	propagates := r.scenario.Policy.propagates()
	if propagates && c.root.ended {
		return
	}
	c.tries++
	if propagates {
		d := c.hop.early.Offer(r.time(), c.hop.instance(), target.Rank(c.root.rank), c.hop.index == 0)
		if d.Verdict == admission.Refused {
			r.answer(c, refused)
			return
		}
	}
	r.nextID++
	a := &attempt{call: c, id: r.nextID}
	c.root.path = append(c.root.path, a)
	r.after(networkDelay, func() { r.offer(a) })
	if !propagates {
		r.after(callTimeout, func() {
			if !a.settled {
				a.settled = true
				r.answer(c, failed)
			}
		})
	}
}

// offer hands an attempt that has arrived to the guard.
func (r *run) offer(a *attempt) {
	if a.settled {
		return
	}
	h, rt := a.call.hop, a.call.root
	d, effects := h.guard.Offer(r.time(), admission.Request{
		ID: a.id, Rank: target.Rank(rt.rank), Workspace: r.names[rt.workspace],
		Root: h.index == 0, Deadline: epoch.Add(rt.deadline),
	}, r.effects[:0])
	switch d.Verdict {
	case admission.Run:
		h.attempts[a.id] = a
		r.start(a)
	case admission.Queued:
		h.attempts[a.id] = a
		a.queued = true
	default:
		r.respond(a, refused)
	}
	r.apply(h, effects)
}

// apply carries out effects of a guard. Nested effects are collected in a
// slice of their own, so the shared one may be reused afterwards.
func (r *run) apply(h *hop, effects []admission.Effect) {
	if len(effects) == 0 {
		return
	}
	r.effects = nil
	for _, e := range effects {
		a := h.attempts[e.ID]
		a.queued = false
		if e.Kind == admission.Start {
			r.start(a)
			continue
		}
		delete(h.attempts, e.ID)
		r.respond(a, refused)
	}
	r.effects = effects[:0]
}

// start runs an attempt on the server.
func (r *run) start(a *attempt) {
	rt := a.call.root
	r.result.ran(rt, a.call.hop.index == len(r.hops)-1)
	a.running = true
	a.job.work = r.scenario.Spread.sample(r.rng, r.scenario.Service)
	a.job.finished = func() { r.worked(a) }
	if !a.call.hop.server.begin(&a.job) {
		r.settle(a, failed)
	}
}

// worked continues an attempt whose own work is done: the server keeps its
// slot while it calls the next service.
func (r *run) worked(a *attempt) {
	index := a.call.hop.index
	if index == len(r.hops)-1 {
		r.finish(a, completed)
		return
	}
	a.calling = r.now
	r.begin(a.call.root, index+1, func(res result) { r.finish(a, res) })
}

func (r *run) finish(a *attempt, res result) {
	a.call.hop.server.release(&a.job)
	r.settle(a, res)
}

// settle reports the end of a run to the guard and answers the caller.
func (r *run) settle(a *attempt, res result) {
	h := a.call.hop
	a.running = false
	delete(h.attempts, a.id)
	outcome := [...]admission.Outcome{
		completed: admission.Succeeded, congested: admission.Succeeded, failed: admission.Failed, refused: admission.RefusedDownstream,
	}[res]
	effects := h.guard.Done(r.time(), r.completion(a, outcome, res == congested), r.effects[:0])
	r.respond(a, res)
	r.apply(h, effects)
}

// completion describes the end of a run; the call to the next hop, if there was
// one, lasted until now.
func (r *run) completion(a *attempt, outcome admission.Outcome, marked bool) admission.Completion {
	end := admission.Completion{ID: a.id, Outcome: outcome, Congested: marked}
	if a.calling > 0 {
		end.DeeperTime = r.now - a.calling
	}
	return end
}

// respond sends the answer of a guard, with its hint, back to the entry.
func (r *run) respond(a *attempt, res result) {
	h := a.call.hop
	hint := h.guard.Hint(r.time())
	if res == completed && h.index > 0 && h.guard.Congested(target.Rank(a.call.root.rank)) {
		res = congested
	}
	r.after(networkDelay, func() {
		h.early.Observe(r.time(), h.instance(), hint)
		if a.settled {
			return
		}
		a.settled = true
		r.answer(a.call, res)
	})
}

// answer gives the result of an attempt to its caller, which retries failures.
func (r *run) answer(c *call, res result) {
	rt := c.root
	if n := len(rt.path); n > 0 && rt.path[n-1].call == c {
		rt.path = rt.path[:n-1]
	}
	if res.ok() {
		c.hop.retries.succeeded()
		c.done(res)
		return
	}
	if c.tries > r.scenario.Retries || rt.ended || !r.mayRetry(c) {
		c.done(res)
		return
	}
	r.after(retryBackoff, func() { r.try(c) })
}

func (r *run) mayRetry(c *call) bool {
	if !r.scenario.Policy.propagates() {
		return true
	}
	if r.now+retryBackoff >= c.root.deadline {
		return false
	}
	return c.hop.retries.spend(c.root)
}
