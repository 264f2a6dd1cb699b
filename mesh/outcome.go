package mesh

import (
	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/routing"
)

// reason is the machine-readable cause of a refusal or failure, in log lines,
// metrics and between nodes.
type reason string

// Reasons why a request was not run.
const (
	reasonNotReady   reason = "not-ready"
	reasonNoRoute    reason = "no-route"
	reasonNoKey      reason = "unknown-key"
	reasonQuota      reason = "quota"
	reasonShed       reason = "chain-overloaded"
	reasonOverloaded reason = "instance-overloaded"
	reasonTooLate    reason = "too-late"
	reasonDraining   reason = "instance-draining"
	reasonLeaving    reason = "node-leaving"
	reasonNoInstance reason = "no-instance"
	reasonConnect    reason = "connect-failed"
	reasonRejected   reason = "instance-rejected"
	reasonWrongHost  reason = "other-instance"
	reasonBody       reason = "bad-body"
	reasonHeader     reason = "header-too-large"
)

// Reasons why a request that may have run has no answer.
const (
	reasonLost     reason = "answer-lost"
	reasonTimeout  reason = "timeout"
	reasonGone     reason = "caller-gone"
	reasonInternal reason = "internal"
)

// run tells whether a request has run; what is more certain is higher.
type run uint8

const (
	runNo run = iota
	runUnknown
	runYes
)

// outcome is how one attempt ended.
type outcome struct {
	run run
	// reply is the instance's answer; nil if there is none.
	reply  *reply
	reason reason
	// detail is the error behind the reason.
	detail string
	// reached is set if the attempt arrived at the instance.
	reached bool
	// instance is the one that the attempt was made at.
	instance member.InstanceID
	hint     hint
	hinted   bool
}

// refusedOutcome is that of a request that did not run.
func refusedOutcome(r reason, detail string) outcome {
	return outcome{run: runNo, reason: r, detail: detail}
}

// failedOutcome is that of a request that may have run.
func failedOutcome(r reason, detail string) outcome {
	return outcome{run: runUnknown, reason: r, detail: detail, reached: true}
}

// answered classifies an instance's answer. notRun is the name of the header by
// which an instance says that it did not run the request.
func answered(r *reply, notRun string) outcome {
	status := r.response.StatusCode()
	switch {
	case status == fasthttp.StatusMisdirectedRequest:
		return outcome{run: runNo, reason: reasonWrongHost, reply: r, reached: true}
	case len(r.response.Header.Peek(notRun)) > 0:
		return outcome{run: runNo, reason: reasonRejected, reply: r, reached: true}
	}
	return outcome{run: runYes, reply: r, reached: true}
}

// result is what the outcome says about the instance.
func (o *outcome) result() routing.Result {
	switch o.reason {
	case reasonOverloaded, reasonTooLate:
		return routing.Refused
	case reasonRejected:
		// Its guard keeps it below its slots, so it has no reason to reject.
		return routing.Failed
	case reasonConnect, reasonWrongHost, reasonDraining, reasonLeaving:
		return routing.ConnectFailed
	case reasonTimeout:
		return routing.TimedOut
	case reasonLost, reasonInternal:
		return routing.Lost
	case reasonGone:
		return routing.Abandoned
	}
	if o.reply != nil && o.reply.response.StatusCode() >= fasthttp.StatusInternalServerError {
		return routing.Failed
	}
	return routing.Completed
}

// after returns what is known of a request once a further attempt ended with o:
// one that did not run takes nothing back of an earlier one that may have, and an
// answer stays before none. It releases the other outcome.
func (o outcome) after(earlier outcome) outcome {
	if o.run < earlier.run {
		o.release()
		return earlier
	}
	earlier.release()
	return o
}

// release gives back the reply of an outcome that is not delivered.
func (o *outcome) release() {
	if o.reply != nil {
		o.reply.release()
		o.reply = nil
	}
}
