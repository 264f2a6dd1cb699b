package mesh

import (
	"strconv"
	"strings"

	"github.com/toucancove/toucancove/core/catalog"
)

// hint is what a guard tells with each answer.
type hint struct {
	// Own is the pressure of the guard's own instance in hundredths.
	Own int
	// Chain is the highest pressure of the services that requests of the
	// answered route lead to, in hundredths.
	Chain int
	// Leaving is set once the guard's node has begun a planned stop.
	Leaving bool
	known
}

// known is the version and revision that a node has read.
type known struct {
	Version  catalog.Version
	Revision catalog.Revision
}

// percent turns a pressure into hundredths, within three digits.
func percent(pressure float64) int { return min(int(100*pressure+0.5), 999) }

func (k known) append(b []byte) []byte {
	b = strconv.AppendUint(b, uint64(k.Version), 10)
	b = append(b, '.')
	return strconv.AppendUint(b, uint64(k.Revision), 10)
}

func (h hint) append(b []byte) []byte {
	b = strconv.AppendInt(b, int64(h.Own), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(h.Chain), 10)
	b = append(b, ' ')
	b = h.known.append(b)
	if h.Leaving {
		b = append(b, " leaving"...)
	}
	return b
}

func parseKnown(text string) (known, bool) {
	left, right, ok := strings.Cut(text, ".")
	if !ok {
		return known{}, false
	}
	version, err := strconv.ParseUint(left, 10, 64)
	if err != nil {
		return known{}, false
	}
	revision, err := strconv.ParseUint(right, 10, 64)
	if err != nil {
		return known{}, false
	}
	return known{catalog.Version(version), catalog.Revision(revision)}, true
}

// parseHint reads a hint; it is not ok for text of another form.
func parseHint(text string) (h hint, ok bool) {
	own, rest, _ := strings.Cut(text, " ")
	chain, rest, _ := strings.Cut(rest, " ")
	versions, leaving, _ := strings.Cut(rest, " ")
	var err error
	if h.Own, err = strconv.Atoi(own); err != nil {
		return hint{}, false
	}
	if h.Chain, err = strconv.Atoi(chain); err != nil {
		return hint{}, false
	}
	if h.known, ok = parseKnown(versions); !ok {
		return hint{}, false
	}
	h.Leaving = leaving == "leaving"
	return h, true
}

// callInfo is what an entry tells a guard about a request.
type callInfo struct {
	Rank catalog.Rank
	// Invested is set for a call made by a running request.
	Invested bool
	known
}

func (c callInfo) append(b []byte) []byte {
	b = strconv.AppendInt(b, int64(c.Rank), 10)
	if c.Invested {
		b = append(b, 'c')
	}
	b = append(b, ' ')
	return c.known.append(b)
}

func parseCall(text string) (c callInfo, ok bool) {
	rank, versions, _ := strings.Cut(text, " ")
	rank, c.Invested = strings.CutSuffix(rank, "c")
	number, err := strconv.Atoi(rank)
	if err != nil {
		return callInfo{}, false
	}
	c.Rank = catalog.Rank(number)
	c.known, ok = parseKnown(versions)
	return c, ok
}
