package proxy

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/routing"
)

func TestEvidenceResult(t *testing.T) {
	exchange := func(stage Stage, err error) error { return &ExchangeError{Stage: stage, Err: err} }
	refused := func(reason Reason, run Run) Evidence { return Evidence{Refusal: &Refusal{Reason: reason, Run: run}} }
	tests := []struct {
		name     string
		evidence Evidence
		want     routing.Result
	}{
		{"response", Evidence{Status: 200}, routing.Completed},
		{"response with a client error", Evidence{Status: 422}, routing.Completed},
		{"upstream sheds", Evidence{Status: 503}, routing.Refused},
		{"upstream error", Evidence{Status: 500}, routing.Failed},
		{"no connection", Evidence{Err: exchange(StageConnect, errors.New("refused"))}, routing.ConnectFailed},
		{"connection limit of the client reached", Evidence{Err: exchange(StageConnect, fasthttp.ErrNoFreeConns)}, routing.Refused},
		{"reset", Evidence{Err: exchange(StageRead, io.ErrUnexpectedEOF)}, routing.Lost},
		{"response truncated", Evidence{Status: 200, Err: io.ErrUnexpectedEOF}, routing.Lost},
		{"response not read to its end", Evidence{Status: 200, Err: io.ErrClosedPipe}, routing.Abandoned},
		{"caller disconnected", Evidence{Err: context.Canceled}, routing.Abandoned},
		{"deadline", Evidence{Err: fasthttp.ErrTimeout}, routing.TimedOut},
		{"guard refuses for load", refused(ReasonOverload, RunNo), routing.Refused},
		{"guard cannot connect to the upstream", refused(ReasonUpstreamFailed, RunNo), routing.ConnectFailed},
		{"guard loses the connection to the upstream", refused(ReasonUpstreamFailed, RunUnknown), routing.Lost},
		{"deadline passes at the guard", refused(ReasonDeadline, RunUnknown), routing.TimedOut},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.evidence.result(); got != tt.want {
				t.Errorf("result = %v, want %v", got, tt.want)
			}
		})
	}
}

func TestReportRoundTrip(t *testing.T) {
	want := routing.Report{Boot: 1 << 63, State: routing.Leaving, QueueDelay: 3 * time.Millisecond, GuardTime: time.Second}
	if got := parseReport(formatReport(&want)); got == nil || *got != want {
		t.Errorf("report became %+v, want %+v", got, want)
	}
	for _, value := range []string{"", "1", "1;serving;2", "x;serving;1;1", "1;serving;-1;1", "1;serving;1;99999999999", "1;serving;1;1;1"} {
		if got := parseReport(value); got != nil {
			t.Errorf("parseReport(%q) = %+v, want nil", value, got)
		}
	}
}
