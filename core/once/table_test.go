package once

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucancove/toucancove/core/member"
)

var (
	start   = time.Unix(1_000_000, 0)
	request = Request{Service: "ledger", Workspace: "w", Fingerprint: 1}
)

func ticket(n byte, boot member.BootID, expires time.Time) Ticket {
	return Ticket{ID: TicketID{n}, Instance: "i0", Boot: boot, Service: "ledger", Workspace: "w", Expires: expires}
}

func TestBegin(t *testing.T) {
	expires := start.Add(DefaultLifetime)
	first := ticket(1, 1, expires)
	paid := Outcome{Verdict: Done, Status: 200, Body: []byte("paid")}
	tests := []struct {
		name    string
		before  func(b *Table) // called when the first use of ticket 1 is running
		ticket  Ticket
		request Request
		at      time.Duration
		want    Verdict
		err     error
	}{
		{name: "first use", ticket: ticket(2, 1, expires), request: request, want: Run},
		{name: "concurrent repeat", ticket: first, request: request, want: Running},
		{name: "repeat", before: func(b *Table) { b.Finish(start, first.ID, paid) }, ticket: first, request: request, want: Done},
		{name: "repeat after not run", before: func(b *Table) { b.Finish(start, first.ID, Outcome{Verdict: NotRun}) }, ticket: first, request: request, want: NotRun},
		{name: "repeat after a lost response", before: func(b *Table) { b.Finish(start, first.ID, Outcome{}) }, ticket: first, request: request, want: Unknown},
		{name: "late second outcome", before: func(b *Table) {
			b.Finish(start, first.ID, paid)
			b.Finish(start, first.ID, Outcome{Verdict: NotRun})
		}, ticket: first, request: request, want: Done},
		{name: "earlier boot", ticket: ticket(2, 7, expires), request: request, want: Unknown},
		{name: "expired unused", ticket: ticket(2, 1, start), request: request, err: ErrExpired},
		{name: "expired while running", ticket: first, request: request, at: DefaultLifetime, want: Running},
		{name: "expired after it finished", before: func(b *Table) { b.Finish(start, first.ID, paid) }, ticket: first, request: request, at: DefaultLifetime, err: ErrExpired},
		{name: "finished after it expired", before: func(b *Table) { b.Finish(expires, first.ID, paid) }, ticket: first, request: request, at: DefaultLifetime, err: ErrExpired},
		{name: "clock stepped back", before: func(b *Table) { b.Finish(expires, first.ID, paid) }, ticket: first, request: request, err: ErrExpired},
		{name: "lifetime too long", ticket: ticket(2, 1, start.Add(time.Hour)), request: request, err: ErrLifetimeTooLong},
		{name: "other instance", ticket: Ticket{Instance: "i1", Boot: 1, Expires: expires}, request: request, err: ErrOtherInstance},
		{name: "other workspace", ticket: first, request: Request{Service: "ledger", Workspace: "v", Fingerprint: 1}, err: ErrMismatch},
		{name: "other service", ticket: first, request: Request{Service: "x", Workspace: "w", Fingerprint: 1}, err: ErrMismatch},
		{name: "other request", ticket: first, request: Request{Service: "ledger", Workspace: "w", Fingerprint: 2}, err: ErrMismatch},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := NewTable("i0", 1, DefaultLimits())
			if o, err := b.Begin(start, first, request); err != nil || o.Verdict != Run {
				t.Fatalf("first Begin = %v, %v", o.Verdict, err)
			}
			if tt.before != nil {
				tt.before(b)
			}
			o, err := b.Begin(start.Add(tt.at), tt.ticket, tt.request)
			if !errors.Is(err, tt.err) || o.Verdict != tt.want {
				t.Errorf("Begin = %v, %v; want %v, %v", o.Verdict, err, tt.want, tt.err)
			}
			if o.Verdict == Done && string(o.Body) != "paid" {
				t.Errorf("body %q, want the first outcome", o.Body)
			}
		})
	}
}

func TestRefusalAtLimitIsPermanent(t *testing.T) {
	b := NewTable("i0", 1, Limits{MaxTickets: 1})
	used, refused := ticket(1, 1, start.Add(time.Second)), ticket(2, 1, start.Add(10*time.Second))
	for _, step := range []struct {
		name string
		k    Ticket
		at   time.Duration
		want Verdict
	}{
		{"within the limit", used, 0, Run},
		{"full", refused, 0, NotRun},
		{"repeat of the used ticket", used, 0, Running},
		{"late copy, when the table is no longer full", refused, 2 * time.Second, NotRun},
		{"ticket that expires after the cutoff", ticket(3, 1, start.Add(20*time.Second)), 2 * time.Second, Run},
	} {
		if step.at > 0 {
			b.Finish(start, used.ID, Outcome{Verdict: Done})
		}
		if o, err := b.Begin(start.Add(step.at), step.k, request); err != nil || o.Verdict != step.want {
			t.Errorf("%s: Begin = %v, %v; want %v", step.name, o.Verdict, err, step.want)
		}
	}
}

func TestLargeBodiesAreDropped(t *testing.T) {
	b := NewTable("i0", 1, Limits{MaxTickets: 9, MaxBodyBytes: 4, MaxTotalBodyBytes: 6})
	for n, want := range []struct {
		body    string
		dropped bool
	}{{"four", false}, {"fives", true}, {"two", true}, {"ab", false}} {
		k := ticket(byte(n), 1, start.Add(time.Second))
		_, _ = b.Begin(start, k, request)
		b.Finish(start, k.ID, Outcome{Verdict: Done, Status: 201, Body: []byte(want.body)})
		o, err := b.Begin(start, k, request)
		if err != nil || o.Gone != want.dropped || o.Status != 201 || (string(o.Body) == want.body) == want.dropped {
			t.Errorf("repeat of %q = %+v, %v; want gone %v", want.body, o, err, want.dropped)
		}
	}
	if _, err := b.Begin(start.Add(time.Second), ticket(99, 2, start), request); err != nil || b.Len() != 0 || b.bodyBytes != 0 {
		t.Errorf("%d tickets and %d bytes held after all expired", b.Len(), b.bodyBytes)
	}
}

// TestAtMostOnce subjects one node to restarts, repeats, late outcomes and clock
// jumps in both directions, and counts the runs of each ticket.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxTickets: rapid.IntRange(1, 4).Draw(t, "bound"), MaxBodyBytes: 8, MaxTotalBodyBytes: 16}
		boot, now := member.BootID(1), start
		b := NewTable("i0", boot, limits)
		var tickets []Ticket
		runs := map[TicketID]int{}
		refused := map[TicketID]bool{}
		firstOutcomes := map[TicketID]Outcome{}
		pick := func(t *rapid.T) Ticket {
			if len(tickets) == 0 {
				t.Skip("no ticket yet") // skips only this step of the sequence
			}
			return rapid.SampledFrom(tickets).Draw(t, "ticket")
		}
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				life := time.Duration(rapid.IntRange(1, 20).Draw(t, "life")) * time.Second
				tickets = append(tickets, ticket(byte(len(tickets)), boot, now.Add(life)))
			},
			"begin": func(t *rapid.T) {
				k := pick(t)
				o, err := b.Begin(now, k, request)
				if err != nil {
					return
				}
				switch o.Verdict {
				case Run:
					runs[k.ID]++
					if runs[k.ID] > 1 || refused[k.ID] {
						t.Fatalf("ticket ran %d times, NotRun returned before: %v", runs[k.ID], refused[k.ID])
					}
				case NotRun:
					refused[k.ID] = true
					if runs[k.ID] > 0 && firstOutcomes[k.ID].Verdict != NotRun {
						t.Fatal("NotRun returned although the request ran")
					}
				case Done:
					if first := firstOutcomes[k.ID]; first.Verdict != Done || first.Status != o.Status {
						t.Fatalf("outcome of the repeat %+v, of the first use %+v", o, first)
					}
				}
			},
			"finish": func(t *rapid.T) {
				k := pick(t)
				o := Outcome{Verdict: rapid.SampledFrom([]Verdict{Done, NotRun, Unknown}).Draw(t, "verdict")}
				o.Status = rapid.IntRange(200, 599).Draw(t, "status")
				if u := b.used[k.ID]; u != nil && u.running {
					firstOutcomes[k.ID] = o
				}
				b.Finish(now, k.ID, o)
			},
			"clock": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-10, 10).Draw(t, "seconds")) * time.Second)
			},
			"restart": func(*rapid.T) {
				boot++
				b = NewTable("i0", boot, limits)
			},
			"": func(t *rapid.T) {
				if b.Len() > limits.MaxTickets {
					t.Fatalf("%d tickets held, bound %d", b.Len(), limits.MaxTickets)
				}
			},
		})
	})
}

func BenchmarkBegin(b *testing.B) {
	table, now := NewTable("i0", 1, DefaultLimits()), start
	b.ReportAllocs()
	for n := range b.N {
		now = now.Add(10 * time.Millisecond)
		k := ticket(0, 1, now.Add(DefaultLifetime))
		k.ID = TicketID{byte(n), byte(n >> 8), byte(n >> 16), 1}
		if o, err := table.Begin(now, k, request); err != nil || o.Verdict != Run {
			b.Fatal(o.Verdict, err)
		}
		table.Finish(now, k.ID, Outcome{Verdict: Done})
	}
}
