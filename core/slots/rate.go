package slots

import (
	"math"
	"time"
)

const (
	// MaxRateWait is the longest time that a request waits because of a request
	// limit. Other instances may have none, so it is short even for calls.
	MaxRateWait = 100 * time.Millisecond
	// burstTime is the time for which the starts that an idle instance did not use
	// are kept, so that requests that arrive together need not all wait.
	burstTime = 100 * time.Millisecond
	// minRate is the rate in requests per second that is used for lower limits: only
	// a response shows whether the limit has ended.
	minRate = 0.2
	// demandTimeConstant is the time constant of the average demand. At ten requests
	// a second it averages over ten of them.
	demandTimeConstant = time.Second
	// excessPressure is the pressure that a demand of twice the limit adds. Beyond a
	// limit requests are refused and do not wait, as they do for slots, so that the
	// pressure has to rise faster with the demand.
	excessPressure = 4
	// refusedWeight is the weight of a refused request in the demand: an entry tries
	// up to four instances with the same request.
	refusedWeight = 0.25
	// roundingSlack is how far a bucket may be below a whole token because of
	// rounding, in tokens.
	roundingSlack = 1e-6
)

// rateLimit is a token bucket for the starts of requests, with the average rate at
// which requests are offered. The zero value has no limit.
type rateLimit struct {
	// perSecond is the limit in requests per second, 0 for none.
	perSecond float64
	tokens    float64
	tokensAt  time.Time
	// demand is the average at demandAt, in requests per second.
	demand   float64
	demandAt time.Time
}

func (r *rateLimit) limited() bool { return r.perSecond > 0 }

// set sets the limit in requests per second. Tokens of an earlier limit are kept.
func (r *rateLimit) set(now time.Time, perSecond float64) {
	if !r.limited() {
		r.tokens, r.tokensAt = 0, now
	}
	r.refill(now)
	r.perSecond = max(perSecond, minRate)
	r.tokens = min(r.tokens, r.capacity())
}

func (r *rateLimit) clear() { r.perSecond = 0 }

func (r *rateLimit) capacity() float64 { return max(1, r.perSecond*burstTime.Seconds()) }

func (r *rateLimit) refill(now time.Time) {
	if elapsed := now.Sub(r.tokensAt); elapsed > 0 {
		r.tokens = min(r.tokens+r.perSecond*elapsed.Seconds(), r.capacity())
		r.tokensAt = now
	}
}

// offered records that a request was offered, and whether it was accepted.
func (r *rateLimit) offered(now time.Time, accepted bool) {
	weight := 1.0
	if !accepted {
		weight = refusedWeight
	}
	r.demand = r.demandNow(now) + weight/demandTimeConstant.Seconds()
	r.demandAt = now
}

func (r *rateLimit) demandNow(now time.Time) float64 {
	elapsed := max(now.Sub(r.demandAt), 0)
	return r.demand * math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
}

// take takes the token of one start. It returns false if there is none.
func (r *rateLimit) take(now time.Time) bool {
	if !r.limited() {
		return true
	}
	r.refill(now)
	if r.tokens < 1-roundingSlack {
		return false
	}
	r.tokens = max(r.tokens-1, 0)
	return true
}

// wait returns the time until the nth start from now.
func (r *rateLimit) wait(now time.Time, n int) time.Duration {
	if !r.limited() {
		return 0
	}
	r.refill(now)
	missing := max(float64(n)-r.tokens, 0)
	return time.Duration(missing / r.perSecond * float64(time.Second))
}

// pressure returns the demand as a share of the limit, steeper above it.
func (r *rateLimit) pressure(now time.Time) float64 {
	if !r.limited() {
		return 0
	}
	share := r.demandNow(now) / r.perSecond
	return share + excessPressure*max(share-1, 0)
}
