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
	// networkDelay is the one-way delay of a message between an entry and a guard.
	networkDelay = 500 * time.Microsecond
	// retryBackoff is the delay of a caller before a retry. Callers ignore the
	// Retry-After time, since the policy must also control overload from callers
	// that retry aggressively.
	retryBackoff = 10 * time.Millisecond
	// callTimeout bounds an attempt under policies that don't propagate deadlines.
	callTimeout = time.Second
	// tickInterval is the time between two calls of Guard.Tick.
	tickInterval = 5 * time.Millisecond
)

// result is the outcome of a call as its caller sees it.
type result uint8

const (
	completed result = iota
	congested        // completed, and the guard marked the response because its queue is long
	failed
	refused
)

// ok reports whether the call succeeded.
func (r result) ok() bool { return r == completed || r == congested }

// root is a request of an external caller with the state of its whole call chain.
type root struct {
	rank        int
	workspace   int
	start       time.Duration
	deadline    time.Duration
	ended       bool
	succeeded   bool
	retries     int // retries left in the call chain, under policies that bound them
	runs        int
	lastHopRuns int        // runs at the last hop
	inFlight    []*attempt // attempts in flight, outermost first
}

// attempt is one try of a call at one hop.
type attempt struct {
	call     *call
	id       admission.ID
	job      job
	queued   bool
	running  bool
	calledAt time.Duration // start of the call to the next hop; 0 if there is none
	ended    bool          // the caller has the result, timed out or cancelled the attempt
}

// call is one request to a hop with its retries.
type call struct {
	root  *root
	hop   *hop
	tries int
	done  func(result)
}

// hop is one service of the call chain with its guard and the entry of its caller.
type hop struct {
	index        int
	server       *server
	guard        Guard
	earlyRefusal *admission.EarlyRefusal
	retries      retryBudget
	attempts     map[admission.ID]*attempt
}

func (h *hop) instance() member.InstanceID {
	return member.InstanceID(strconv.Itoa(h.index))
}

// run is the state of one execution of a scenario.
type run struct {
	events
	scenario       Scenario
	rng            *rand.Rand
	hops           []*hop
	nextID         admission.ID
	effects        []admission.Effect
	workspaceNames [Workspaces]string
	result         *Result
}

// Execute runs a scenario and returns its measurements.
func Execute(s Scenario) *Result {
	r := &run{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 0)), result: newResult(&s)}
	for i := range r.workspaceNames {
		r.workspaceNames[i] = "workspace-" + strconv.Itoa(i)
	}
	for i, slots := range s.Slots {
		srv := &server{events: &r.events, slots: slots, connections: s.Connections, discipline: s.Discipline, speed: s.speed(i)}
		h := &hop{
			index: i, server: srv, guard: s.Policy.guard(epoch, slots, s.Connections),
			earlyRefusal: admission.NewEarlyRefusal(), attempts: make(map[admission.ID]*attempt),
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
	r.result.recordOffered(rt)
	r.after(r.scenario.Deadline[rank], func() { r.expire(rt) })
	r.startCall(rt, 0, func(res result) { r.end(rt, res.ok()) })
}

func (r *run) pickWorkspace() int {
	sum := 0.0
	for _, w := range r.scenario.WorkspaceWeights {
		sum += w
	}
	x := r.rng.Float64() * sum
	for i, w := range r.scenario.WorkspaceWeights {
		if x -= w; x < 0 {
			return i
		}
	}
	return Workspaces - 1
}

// end records the final result of a root request.
func (r *run) end(rt *root, ok bool) {
	if rt.ended {
		return
	}
	rt.ended, rt.succeeded = true, ok
	r.result.recordEnd(rt, r.now)
}

// expire ends a root request at its deadline and cancels its attempts in flight if
// the policy propagates cancellation.
func (r *run) expire(rt *root) {
	if rt.ended {
		return
	}
	r.end(rt, false)
	if !r.scenario.Policy.propagates() {
		return
	}
	for i := len(rt.inFlight) - 1; i >= 0; i-- {
		r.cancel(rt.inFlight[i])
	}
	rt.inFlight = nil
}

func (r *run) cancel(a *attempt) {
	h := a.call.hop
	a.ended = true
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

// startCall sends a call to a hop. done is called with its final result, unless
// the root request is cancelled before.
func (r *run) startCall(rt *root, index int, done func(result)) {
	r.try(&call{root: rt, hop: r.hops[index], done: done})
}

func (r *run) try(c *call) {
	propagates := r.scenario.Policy.propagates()
	if propagates && c.root.ended {
		return
	}
	c.tries++
	if propagates {
		d := c.hop.earlyRefusal.Offer(r.time(), c.hop.instance(), target.Rank(c.root.rank), c.hop.index == 0)
		if d.Verdict == admission.Refused {
			r.handleResult(c, refused)
			return
		}
	}
	r.nextID++
	a := &attempt{call: c, id: r.nextID}
	c.root.inFlight = append(c.root.inFlight, a)
	r.after(networkDelay, func() { r.offer(a) })
	if !propagates {
		r.after(callTimeout, func() {
			if !a.ended {
				a.ended = true
				r.handleResult(c, failed)
			}
		})
	}
}

// offer passes an attempt that has arrived at a hop to its guard.
func (r *run) offer(a *attempt) {
	if a.ended {
		return
	}
	h, rt := a.call.hop, a.call.root
	d, effects := h.guard.Offer(r.time(), admission.Request{
		ID: a.id, Rank: target.Rank(rt.rank), Workspace: r.workspaceNames[rt.workspace],
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

// apply carries out the effects of a guard. Calls nested in it allocate a slice of
// their own for their effects, so the shared slice can be reused afterwards.
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
	r.result.recordRun(rt, a.call.hop.index == len(r.hops)-1)
	a.running = true
	a.job.work = r.scenario.Distribution.sample(r.rng, r.scenario.MeanServiceTime)
	a.job.finished = func() { r.workDone(a) }
	if !a.call.hop.server.accept(&a.job) {
		r.endRun(a, failed)
	}
}

// workDone continues an attempt when its own work is done: it calls the next
// service and holds its slot until that call ends.
func (r *run) workDone(a *attempt) {
	index := a.call.hop.index
	if index == len(r.hops)-1 {
		r.finish(a, completed)
		return
	}
	a.calledAt = r.now
	r.startCall(a.call.root, index+1, func(res result) { r.finish(a, res) })
}

func (r *run) finish(a *attempt, res result) {
	a.call.hop.server.release(&a.job)
	r.endRun(a, res)
}

// endRun reports the end of a run to the guard and responds to the caller.
func (r *run) endRun(a *attempt, res result) {
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

// completion returns the report of the end of a run. The call to the next hop, if
// any, ends now.
func (r *run) completion(a *attempt, outcome admission.Outcome, marked bool) admission.Completion {
	end := admission.Completion{ID: a.id, Outcome: outcome, Congested: marked}
	if a.calledAt > 0 {
		end.DeeperTime = r.now - a.calledAt
	}
	return end
}

// respond sends a result back to the entry with the guard's load hint.
func (r *run) respond(a *attempt, res result) {
	h := a.call.hop
	hint := h.guard.Hint(r.time())
	if res == completed && h.index > 0 && h.guard.Congested(target.Rank(a.call.root.rank)) {
		res = congested
	}
	r.after(networkDelay, func() {
		h.earlyRefusal.Observe(r.time(), h.instance(), hint)
		if a.ended {
			return
		}
		a.ended = true
		r.handleResult(a.call, res)
	})
}

// handleResult handles the result of an attempt at its caller, which retries
// failures and refusals.
func (r *run) handleResult(c *call, res result) {
	rt := c.root
	if n := len(rt.inFlight); n > 0 && rt.inFlight[n-1].call == c {
		rt.inFlight = rt.inFlight[:n-1]
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
