package proxy

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/toucancove/toucancove/core/admission"
	"github.com/toucancove/toucancove/core/target"
)

// noRank encodes an empty set of admitted ranks in the hint header.
const noRank = "-"

// hintFields is the number of fields of the hint header.
const hintFields = 6

// formatHint returns the value of HeaderHint, fields separated by semicolons:
// the lowest admitted rank of calls and of root requests, the queue delay in
// microseconds, the time after which to retry in milliseconds, the first
// congested rank, and 1 if a deeper service was congested during this request,
// else 0.
func formatHint(h admission.Hint, congested bool) string {
	mark := "0"
	if congested {
		mark = "1"
	}
	return strings.Join([]string{
		formatAdmitted(h.Calls), formatAdmitted(h.Roots),
		strconv.FormatInt(h.QueueDelay.Microseconds(), 10),
		strconv.FormatInt(h.RetryAfter.Milliseconds(), 10),
		strconv.Itoa(int(h.CongestedFrom)), mark,
	}, ";")
}

func formatAdmitted(a admission.Admitted) string {
	if a.None {
		return noRank
	}
	return strconv.Itoa(int(a.Lowest))
}

// parseHint parses a value of HeaderHint. ok is false if it is malformed.
func parseHint(value string) (h admission.Hint, congested, ok bool) {
	fields := strings.Split(value, ";")
	if len(fields) != hintFields {
		return h, false, false
	}
	var errs [5]error
	h.Calls, errs[0] = parseAdmitted(fields[0])
	h.Roots, errs[1] = parseAdmitted(fields[1])
	queue, err := strconv.ParseUint(fields[2], 10, 32)
	errs[2] = err
	retry, err := strconv.ParseUint(fields[3], 10, 32)
	errs[3] = err
	from, err := strconv.ParseUint(fields[4], 10, 8)
	errs[4] = err
	h.QueueDelay = time.Duration(queue) * time.Microsecond
	h.RetryAfter = time.Duration(retry) * time.Millisecond
	h.CongestedFrom = target.Rank(from)
	return h, fields[5] == "1", errors.Join(errs[:]...) == nil
}

func parseAdmitted(field string) (admission.Admitted, error) {
	if field == noRank {
		return admission.Admitted{None: true}, nil
	}
	rank, err := strconv.ParseUint(field, 10, 8)
	return admission.Admitted{Lowest: target.Rank(rank)}, err
}
