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
	// quarantineCrashes is the number of crashes that put a request in quarantine.
	quarantineCrashes = 2
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
	// ofCrash counts the marks of each crash.
	ofCrash map[Crash]int
}

// NewTable returns an empty table. The incarnation differs between processes and is not
// zero.
func NewTable(incarnation uint64) *Table {
	return &Table{
		position: Position{Incarnation: incarnation},
		suspects: make(map[Digest]*suspect), ofCrash: make(map[Crash]int),
	}
}

// Len returns the number of requests in the table.
func (t *Table) Len() int { return len(t.suspects) }

// Position returns the current position.
func (t *Table) Position() Position { return t.position }

// Change is the number of crashes that count against a request before and after a change.
type Change struct {
	Digest        Digest
	Before, After int
}

// Quarantined reports whether the change puts the request in quarantine.
func (c Change) Quarantined() bool {
	return c.Before < quarantineCrashes && c.After >= quarantineCrashes
}

// Released reports whether the change takes the request out of quarantine.
func (c Change) Released() bool { return c.Before >= quarantineCrashes && c.After < quarantineCrashes }

// Add merges a mark. The change is not empty if that was new.
func (t *Table) Add(now time.Time, m Mark) Change {
	s := t.suspects[m.Digest]
	change := Change{Digest: m.Digest}
	if s == nil {
		if t.ofCrash[m.Crash] >= maxMarksOfCrash {
			return change
		}
		t.makeRoom()
		s = &suspect{seenAt: now}
		t.suspects[m.Digest] = s
	}
	change.Before = s.crashes()
	t.merge(now, s, m)
	change.After = s.crashes()
	return change
}

func (t *Table) merge(now time.Time, s *suspect, m Mark) {
	i := slices.IndexFunc(s.marks, func(known mark) bool { return known.crash == m.Crash })
	switch {
	case i >= 0 && (s.marks[i].cleared || !m.Cleared):
		return
	case i >= 0:
		t.clear(&s.marks[i], m.Source)
	case len(s.marks) < maxMarks && t.ofCrash[m.Crash] < maxMarksOfCrash:
		t.position.Sequence++
		t.ofCrash[m.Crash]++
		s.marks = append(s.marks, mark{
			crash: m.Crash, at: now.Add(-m.Age), cleared: m.Cleared, source: m.Source, sequence: t.position.Sequence,
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
	change := Change{Digest: d}
	if s := t.suspects[d]; s != nil {
		change.Before = s.crashes()
		for i := range s.marks {
			if !s.marks[i].cleared {
				t.clear(&s.marks[i], source)
			}
		}
	}
	return change
}

// standing is what a table says about a request.
type standing struct {
	crashes int
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
	var st standing
	for i := range s.marks {
		if m := &s.marks[i]; !m.cleared {
			st.crashes++
			st.own = st.own || m.source == SourceOwn
			if m.at.After(st.last) {
				st.last = m.at
			}
		}
	}
	return st
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

// Since returns up to most marks that have changed since a position, in the order of
// their changes, and the position up to which they reach. It leaves out what came from
// the source except. A position of another incarnation counts as the start.
func (t *Table) Since(now time.Time, after Position, except string, most int) ([]Mark, Position) {
	if after.Incarnation != t.position.Incarnation {
		after = Position{Incarnation: t.position.Incarnation}
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
			if m := &s.marks[i]; m.sequence > after.Sequence && (m.source != except || except == "") {
				list = append(list, changed{m.export(now, d), m.sequence})
			}
		}
	}
	slices.SortFunc(list, func(a, b changed) int { return cmp.Compare(a.sequence, b.sequence) })
	reached := t.position
	if len(list) > most {
		list = list[:most]
		reached.Sequence = list[most-1].sequence
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
		if s.crashes() >= quarantineCrashes {
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

// makeRoom drops the request that matters least if the table is full: the one with the
// fewest crashes, among these the one that was not seen for longest.
func (t *Table) makeRoom() {
	if len(t.suspects) < maxRequests {
		return
	}
	least := slices.MinFunc(slices.Collect(maps.Keys(t.suspects)), func(a, b Digest) int {
		return cmp.Or(
			cmp.Compare(t.suspects[a].crashes(), t.suspects[b].crashes()),
			t.suspects[a].seenAt.Compare(t.suspects[b].seenAt))
	})
	t.remove(least)
}

func (t *Table) remove(d Digest) {
	for _, m := range t.suspects[d].marks {
		if t.ofCrash[m.crash]--; t.ofCrash[m.crash] <= 0 {
			delete(t.ofCrash, m.crash)
		}
	}
	delete(t.suspects, d)
}
