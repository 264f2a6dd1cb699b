package mesh

import (
	"strconv"
	"strings"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/follow"
)

// hint is the state that a guard reports with each response.
type hint struct {
	// Own is the pressure of the guard's own instance in hundredths.
	Own int
	// Chain is the highest pressure among the services of the call chain of the
	// route, including the guard's own instance, in hundredths.
	Chain int
	// Leaving is set once the guard's node has announced a planned stop.
	Leaving bool
	versions
}

// versions are the version and position of the published state of a node.
type versions struct {
	Version  catalog.Version
	Position catalog.Position
}

// versionsOf returns the versions of a state.
func versionsOf(state *follow.State) versions {
	return versions{Version: state.Version(), Position: state.Position()}
}

// percent converts a pressure to hundredths, capped at 999.
func percent(pressure float64) int { return min(int(100*pressure+0.5), 999) }

// append writes the version and the revision. The era has its own header, see
// eraText, so that nodes which do not know it can read the rest.
func (v versions) append(b []byte) []byte {
	b = strconv.AppendUint(b, uint64(v.Version), 10)
	b = append(b, '.')
	return strconv.AppendUint(b, uint64(v.Position.Revision), 10)
}

// eraText returns the value of headerEra, empty if it is not sent: most stores have
// never been restored.
func (v versions) eraText() string {
	if v.Position.Era == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(v.Position.Era), 10)
}

// withEra returns the versions with the era in a value of headerEra. It returns false
// if the value is neither empty nor a number.
func (v versions) withEra(text []byte) (versions, bool) {
	if len(text) == 0 {
		return v, true
	}
	era, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return v, false
	}
	v.Position.Era = catalog.Era(era)
	return v, true
}

func (h hint) append(b []byte) []byte {
	b = strconv.AppendInt(b, int64(h.Own), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(h.Chain), 10)
	b = append(b, ' ')
	b = h.versions.append(b)
	if h.Leaving {
		b = append(b, " leaving"...)
	}
	return b
}

func parseVersions(text string) (versions, bool) {
	left, right, ok := strings.Cut(text, ".")
	if !ok {
		return versions{}, false
	}
	version, err := strconv.ParseUint(left, 10, 64)
	if err != nil {
		return versions{}, false
	}
	revision, err := strconv.ParseUint(right, 10, 64)
	if err != nil {
		return versions{}, false
	}
	return versions{Version: catalog.Version(version), Position: catalog.Position{Revision: catalog.Revision(revision)}}, true
}

// parseHint parses the form that hint.append writes.
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
	if h.versions, ok = parseVersions(versions); !ok {
		return hint{}, false
	}
	h.Leaving = leaving == "leaving"
	return h, true
}

// requestInfo is what an entry reports to a guard about a request.
type requestInfo struct {
	Rank catalog.Rank
	// Call is set for a call made by a running request.
	Call bool
	versions
}

func (c requestInfo) append(b []byte) []byte {
	b = strconv.AppendInt(b, int64(c.Rank), 10)
	if c.Call {
		b = append(b, 'c')
	}
	b = append(b, ' ')
	return c.versions.append(b)
}

func parseRequestInfo(text string) (c requestInfo, ok bool) {
	rank, versions, _ := strings.Cut(text, " ")
	rank, c.Call = strings.CutSuffix(rank, "c")
	number, err := strconv.Atoi(rank)
	if err != nil {
		return requestInfo{}, false
	}
	c.Rank = catalog.Rank(number)
	c.versions, ok = parseVersions(versions)
	return c, ok
}
