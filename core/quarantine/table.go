package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/toucancove/toucancove/core/member"
)

const (
	// maxRequests bounds the requests in a table. Beyond it, those that matter least
	// are dropped.
	maxRequests = 4096
	// maxMarks bounds the marks of one request. Further crashes change nothing.
	maxMarks = 8
	// maxMarksOfCrash bounds the requests that one crash marks, and so what one node
	// can claim. Instances run fewer requests at a time.
	maxMarksOfCrash = 512
	// clearedRetention is how long a cleared mark is kept, for nodes that still have
	// the mark.
	clearedRetention = 10 * time.Minute
	// suspectRetention and quarantineRetention are the times after which a request
	// that was not seen again is forgotten.
	suspectRetention    = time.Hour
	quarantineRetention = 24 * time.Hour
	// quarantineCrashes is the number of crashes that put a request in quarantine. It
	// takes maxCrashes if there seems to be another cause as well, since where many
	// instances crash an innocent request may run at two of them: an instance that did
	// not run the request crashed within unrelatedWindow of the last crash, or the
	// crashes are closer than minCrashGap, in which a request that is retried hardly
	// starts to run.
	quarantineCrashes = 2
	maxCrashes        = 3
	unrelatedWindow   = 5 * time.Second
	minCrashGap       = 10 * time.Millisecond
)

// Crash identifies the crash of one start of an instance.
type Crash struct {
	Instance member.InstanceID
	Boot     member.BootID
}

// Mark states that a request ran at an instance that crashed.
type Mark struct {
	Digest Digest
	Crash  Crash
	// Age is the time since the crash.
	Age time.Duration
	// Cleared is set once a complete response has shown that the request was not the
	// cause, or an operator has lifted the quarantine.
	Cleared bool
	// Source names how the node that holds the mark learned of it.
	Source string
}

// Position is a point in the history of a table. Incarnation differs between processes.
type Position struct {
	Incarnation, Sequence uint64
}

// mark is one Mark in a table.
type mark struct {
	crash   Crash
	at      time.Time
	cleared bool
	source  string
	// sequence is that of the table at the last change of the mark.
	sequence uint64
}

// suspect is a request with its marks.
type suspect struct {
	marks  []mark
	seenAt time.Time
}

func (s *suspect) crashes() int {
	n := 0
	for i := range s.marks {
		if !s.marks[i].cleared {
			n++
		}
	}
	return n
}

// Table holds the marks that a node knows. It is not safe for concurrent use.
type Table struct {
	position Position
	suspects map[Digest]*suspect
	crashes  map[Crash]*crashed
}

// crashed is a crash with the number of its marks.
type crashed struct {
	at    time.Time
	marks int
}

// NewTable returns an empty table. The incarnation differs between processes and is not
// zero.
func NewTable(incarnation uint64) *Table {
	return &Table{
		position: Position{Incarnation: incarnation},
		suspects: make(map[Digest]*suspect), crashes: make(map[Crash]*crashed),
	}
}

// Len returns the number of requests in the table.
func (t *Table) Len() int { return len(t.suspects) }

// Change is how a request stands before and after a change.
type Change struct {
	Digest Digest
	// Before and After are the numbers of crashes that count against the request.
	Before, After int
	// Entered and Left are set if the request enters or leaves quarantine.
	Entered, Left bool
}

// change applies a change to a request.
func (t *Table) change(d Digest, s *suspect, apply func()) Change {
	before, was := s.crashes(), t.isQuarantined(s)
	apply()
	is := t.isQuarantined(s)
	return Change{Digest: d, Before: before, After: s.crashes(), Entered: is && !was, Left: was && !is}
}

// Add merges a mark.
func (t *Table) Add(now time.Time, m Mark) Change {
	s := t.suspects[m.Digest]
	if s == nil {
		if !t.hasRoomFor(m.Crash) {
			return Change{Digest: m.Digest}
		}
		t.makeRoom()
		s = &suspect{seenAt: now}
		t.suspects[m.Digest] = s
	}
	return t.change(m.Digest, s, func() { t.merge(now, s, m) })
}

// hasRoomFor reports whether a crash may mark another request.
func (t *Table) hasRoomFor(c Crash) bool {
	known := t.crashes[c]
	return known == nil || known.marks < maxMarksOfCrash
}

// Merge adds the marks that came from a source.
func (t *Table) Merge(now time.Time, marks []Mark, source string) []Change {
	changes := make([]Change, 0, len(marks))
	for _, m := range marks {
		m.Source = source
		changes = append(changes, t.Add(now, m))
	}
	return changes
}

func (t *Table) merge(now time.Time, s *suspect, m Mark) {
	i := slices.IndexFunc(s.marks, func(known mark) bool { return known.crash == m.Crash })
	switch {
	case i >= 0 && (s.marks[i].cleared || !m.Cleared):
		return
	case i >= 0:
		t.clear(&s.marks[i], m.Source)
	case len(s.marks) < maxMarks && t.hasRoomFor(m.Crash):
		t.position.Sequence++
		at := now.Add(-m.Age)
		if t.crashes[m.Crash] == nil {
			t.crashes[m.Crash] = &crashed{at: at}
		}
		t.crashes[m.Crash].marks++
		s.marks = append(s.marks, mark{
			crash: m.Crash, at: at, cleared: m.Cleared, source: m.Source, sequence: t.position.Sequence,
		})
		s.seenAt = now
	}
}

func (t *Table) clear(m *mark, source string) {
	t.position.Sequence++
	m.cleared, m.source, m.sequence = true, source, t.position.Sequence
}

// Clear clears all marks of a request that are known now.
func (t *Table) Clear(d Digest, source string) Change {
	s := t.suspects[d]
	if s == nil {
		return Change{Digest: d}
	}
	return t.change(d, s, func() {
		for i := range s.marks {
			if !s.marks[i].cleared {
				t.clear(&s.marks[i], source)
			}
		}
	})
}

// isQuarantined reports whether enough crashes count against a request.
func (t *Table) isQuarantined(s *suspect) bool {
	n := s.crashes()
	return n >= maxCrashes || (n >= quarantineCrashes && s.span() >= minCrashGap && !t.hasUnrelated(s))
}

// span returns the time from the first to the last crash that counts.
func (s *suspect) span() time.Duration {
	first, last := s.last(), s.last()
	for i := range s.marks {
		if m := &s.marks[i]; !m.cleared && m.at.Before(first) {
			first = m.at
		}
	}
	return last.Sub(first)
}

// hasUnrelated reports whether an instance that did not run the request crashed around
// the time of the last crash that counts against it.
func (t *Table) hasUnrelated(s *suspect) bool {
	last := s.last()
	for crash, c := range t.crashes {
		ran := slices.ContainsFunc(s.marks, func(m mark) bool { return m.crash == crash })
		if !ran && c.at.Sub(last).Abs() <= unrelatedWindow {
			return true
		}
	}
	return false
}

// last returns the time of the last crash that counts.
func (s *suspect) last() time.Time {
	var last time.Time
	for i := range s.marks {
		if m := &s.marks[i]; !m.cleared && m.at.After(last) {
			last = m.at
		}
	}
	return last
}

// standing is what a table says about a request.
type standing struct {
	crashes     int
	quarantined bool
	// last is the time of the last crash.
	last time.Time
	// own is set if the instance beside the node crashed.
	own bool
}

// standing returns the standing of a request that has arrived.
func (t *Table) standing(now time.Time, d Digest) standing {
	s := t.suspects[d]
	if s == nil {
		return standing{}
	}
	s.seenAt = now
	return standing{
		crashes: s.crashes(), quarantined: t.isQuarantined(s), last: s.last(),
		own: slices.ContainsFunc(s.marks, func(m mark) bool { return !m.cleared && m.source == SourceOwn }),
	}
}

// IsQuarantined reports whether a request is in quarantine.
func (t *Table) IsQuarantined(d Digest) bool {
	s := t.suspects[d]
	return s != nil && t.isQuarantined(s)
}

// Marks returns the marks of one request.
func (t *Table) Marks(now time.Time, d Digest) []Mark {
	s := t.suspects[d]
	if s == nil {
		return nil
	}
	marks := make([]Mark, 0, len(s.marks))
	for i := range s.marks {
		marks = append(marks, s.marks[i].export(now, d))
	}
	return marks
}

func (m *mark) export(now time.Time, d Digest) Mark {
	return Mark{Digest: d, Crash: m.crash, Age: now.Sub(m.at), Cleared: m.cleared, Source: m.source}
}

// since returns the marks that have changed since a position, in the order of their
// changes and at most maxMarksInMessage, and the position up to which they reach. It
// leaves out what came from the source except, unless the position is of another
// incarnation, which counts as the start: the source may have lost its marks.
func (t *Table) since(now time.Time, after Position, except string) ([]Mark, Position) {
	if after.Incarnation != t.position.Incarnation {
		after, except = Position{Incarnation: t.position.Incarnation}, ""
	}
	if after.Sequence >= t.position.Sequence {
		return nil, after
	}
	type changed struct {
		Mark
		sequence uint64
	}
	var list []changed
	for d, s := range t.suspects {
		for i := range s.marks {
			if m := &s.marks[i]; m.sequence > after.Sequence && (except == "" || m.source != except) {
				list = append(list, changed{m.export(now, d), m.sequence})
			}
		}
	}
	slices.SortFunc(list, func(a, b changed) int { return cmp.Compare(a.sequence, b.sequence) })
	reached := t.position
	if len(list) > maxMarksInMessage {
		list = list[:maxMarksInMessage]
		reached.Sequence = list[len(list)-1].sequence
	}
	marks := make([]Mark, len(list))
	for i := range list {
		marks[i] = list[i].Mark
	}
	return marks, reached
}

// Quarantined returns the marks of all requests in quarantine, by digest.
func (t *Table) Quarantined(now time.Time) []Mark {
	var marks []Mark
	for d, s := range t.suspects {
		if t.isQuarantined(s) {
			marks = append(marks, t.Marks(now, d)...)
		}
	}
	slices.SortFunc(marks, func(a, b Mark) int {
		return cmp.Or(slices.Compare(a.Digest[:], b.Digest[:]), cmp.Compare(b.Age, a.Age))
	})
	return marks
}

// Expire forgets requests that have not been seen for long.
func (t *Table) Expire(now time.Time) {
	for d, s := range t.suspects {
		retention := clearedRetention
		switch n := s.crashes(); {
		case n >= quarantineCrashes:
			retention = quarantineRetention
		case n > 0:
			retention = suspectRetention
		}
		if now.Sub(s.seenAt) > retention {
			t.remove(d)
		}
	}
}

// makeRoom drops the requests that matter least if the table is full: those with the
// fewest crashes, among these the ones that were not seen for longest. It drops several,
// so that sorting them is rare.
func (t *Table) makeRoom() {
	if len(t.suspects) < maxRequests {
		return
	}
	const dropped = maxRequests / 16
	byValue := slices.SortedFunc(maps.Keys(t.suspects), func(a, b Digest) int {
		return cmp.Or(
			cmp.Compare(t.suspects[a].crashes(), t.suspects[b].crashes()),
			t.suspects[a].seenAt.Compare(t.suspects[b].seenAt))
	})
	for _, d := range byValue[:dropped] {
		t.remove(d)
	}
}

func (t *Table) remove(d Digest) {
	for _, m := range t.suspects[d].marks {
		if c := t.crashes[m.crash]; c.marks > 1 {
			c.marks--
		} else {
			delete(t.crashes, m.crash)
		}
	}
	delete(t.suspects, d)
}
