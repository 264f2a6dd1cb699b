package mesh

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/quarantine"
	"github.com/toucancove/toucancove/telemetry"
)

const (
	// linesPerSecond and lineBurst bound the log lines about each kind of failed
	// request. A line costs some microseconds of processor time.
	linesPerSecond = 20
	lineBurst      = 100
	// answersPerSecond bounds the log lines about answered requests, a sample to
	// compare failures with.
	answersPerSecond = 1
)

// reporter records the decisions about requests in the log and the metrics. It is
// safe for concurrent use.
type reporter struct {
	headers Headers
	log     logr.Logger
	metrics *telemetry.Metrics
	// failures and answers limit the log lines about failed and answered requests.
	failures *telemetry.Sampler
	answers  *telemetry.Sampler
	// observeLatency is called for each request that was answered without a
	// server error.
	observeLatency func(r *request, latency time.Duration)
}

func newReporter(headers Headers, log logr.Logger, metrics *telemetry.Metrics) *reporter {
	return &reporter{
		headers: headers, log: log, metrics: metrics,
		failures: telemetry.NewSampler(linesPerSecond, lineBurst),
		answers:  telemetry.NewSampler(answersPerSecond, 1),
	}
}

func workspaceName(r *request) string {
	if r.workspace == nil {
		return ""
	}
	return r.workspace.Name
}

// series returns the metrics of the request's route and workspace.
func (p *reporter) series(r *request) []*telemetry.Series {
	var list []*telemetry.Series
	if r.route != nil {
		list = append(list, p.metrics.Class(r.route.Name))
	}
	if r.workspace != nil {
		list = append(list, p.metrics.Workspace(r.workspace.Name))
	}
	return list
}

// answered records a request for which an instance sent a response.
func (p *reporter) answered(r *request, by member.InstanceID, status int) {
	now := time.Now()
	latency := now.Sub(r.arrived)
	for _, series := range p.series(r) {
		series.ObserveLatency(latency)
		series.Completed.Inc(1)
	}
	if status < fasthttp.StatusInternalServerError {
		p.observeLatency(r, latency)
	}
	kind := "answered"
	sampler := p.answers
	if status >= fasthttp.StatusInternalServerError {
		kind, sampler = "instance-error", p.failures
	}
	suppressed, ok := sampler.Allow(now, kind)
	if !ok {
		return
	}
	p.log.Info("request answered", "id", r.id, "route", r.route.Name, "workspace", workspaceName(r),
		"service", r.service, "upstream", by, "status", status, "attempts", len(r.tried),
		"took", latency.String(), "leftOut", suppressed)
}

// refused records a request to which the entry responded in place of an instance.
func (p *reporter) refused(e *entry, r *request, refused *refusal) {
	for _, series := range p.series(r) {
		series.Refused(string(refused.reason))
	}
	now := time.Now()
	suppressed, ok := p.failures.Allow(now, string(refused.reason))
	if !ok {
		return
	}
	state := e.cfg.state()
	values := []any{
		"id", r.id, "status", refused.status, "reason", refused.reason, "ran", refused.run.String(),
		"workspace", workspaceName(r), "call", r.call, "version", state.Version(),
		"versionAge", now.Sub(state.CatalogChangedAt).Round(time.Millisecond).String(), "confirmedAge", e.confirmedAgeText(now),
		"era", state.Position().Era, "revision", state.Position().Revision, "took", now.Sub(r.arrived).String(),
	}
	if r.route != nil {
		gate := e.cfg.gates.status(r, now)
		values = append(values, "route", r.route.Name, "service", r.service, "rank", int(r.rank), "returned", r.retried,
			"tried", triedList(r), "budget", r.budget.String(),
			"window", fmt.Sprintf("%.1f", gate.window), "inFlight", gate.inFlight, "pressure", fmt.Sprintf("%.2f", gate.pressure),
			"pressureAge", gate.age.Round(time.Millisecond).String(), "callsFailed", fmt.Sprintf("%.2f", gate.failureShare))
	}
	if r.call {
		values = append(values, "parentFound", r.parent != nil)
	}
	if refused.reason == reasonQuota {
		quota := e.cfg.quota.status(now, r.workspace.Name)
		values = append(values, "quotaRate", quota.Rate, "tokens", fmt.Sprintf("%.1f", quota.Tokens),
			"demand", fmt.Sprintf("%.1f", quota.Demand), "fleetDemand", fmt.Sprintf("%.1f", quota.FleetDemand),
			"quotaAge", quota.Age.Round(time.Millisecond).String())
	}
	if refused.retryAfter > 0 {
		values = append(values, "retryAfter", refused.retryAfter.Round(time.Millisecond).String())
	}
	if refused.digest != "" {
		values = append(values, "digest", refused.digest)
	}
	if refused.detail != "" {
		values = append(values, "detail", refused.detail)
	}
	p.log.Info("request refused", append(values, "leftOut", suppressed)...)
}

// confirmedAgeText returns the time since the store last confirmed the published state
// of this node, as it appears in log lines.
func (e *entry) confirmedAgeText(now time.Time) string {
	age, ok := e.cfg.confirmedAge(now)
	if !ok {
		return "never"
	}
	return age.Round(time.Millisecond).String()
}

func triedList(r *request) string {
	tried := make([]string, len(r.tried))
	for i, id := range r.tried {
		tried[i] = string(id)
	}
	return strings.Join(tried, ",")
}

// guardDecision records a request that the guard did not forward to its instance or
// that got no response of it.
func (p *reporter) guardDecision(ctx *fasthttp.RequestCtx, c guardRequest, o *outcome, took time.Duration) {
	suppressed, ok := p.failures.Allow(time.Now(), "guard-"+string(o.reason))
	if !ok {
		return
	}
	p.log.Info("guard turned request away", "id", string(ctx.Request.Header.Peek(p.headers.RequestID)),
		"reason", o.reason, "ran", o.run.String(), "route", c.route, "rank", int(c.info.Rank), "call", c.info.Call,
		"pressure", o.hint.Own, "chainPressure", o.hint.Chain, "took", took.String(), "digest", digestText(o, c.identity),
		"detail", o.detail, "leftOut", suppressed)
}

// digestText returns the digest of a request under which the instance crashed or that is
// kept from it, as it appears in log lines, and "" for others.
func digestText(o *outcome, r *quarantine.Request) string {
	if r == nil || !o.reason.needsDigest() {
		return ""
	}
	return r.Digest().String()
}

// announced records what the own instance newly said of itself.
func (p *reporter) announced(a *announcements) {
	if suppressed, ok := p.failures.Allow(time.Now(), "announced"); ok {
		p.log.Info("instance announced its state", "requestLimit", a.limitText(), "leaving", a.leaving, "leftOut", suppressed)
	}
}

// String returns the value as it appears in log lines.
func (r run) String() string {
	switch r {
	case runNo:
		return "no"
	case runYes:
		return "yes"
	default:
		return "unknown"
	}
}
