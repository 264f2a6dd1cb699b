package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scripts["removal-queue"] = removalQueue }

// removalQueue: more users come than a service can serve, so that calls wait at its guards.
// Then half of its servers leave, without a word: their entries are removed, and they go
// on serving for DrainTimeoutS and a little longer.
func removalQueue(w *World) (bool, error) {
	const (
		fronts    = 10
		ledgers   = 4
		leave     = 2
		callsEach = 4
		normal    = 70 // requests a second
		perS      = 112
		burst     = 4 * time.Second
		longer    = 300 * time.Millisecond
		key       = "key-of-anchor-1234"
	)
	type arrival struct {
		id string
		at time.Time
	}
	var cut atomic.Int64
	var mu sync.Mutex
	reached := map[string][]arrival{}
	for i := range fronts + ledgers {
		name := "desk"
		if i >= fronts {
			name = "ledger"
		}
		m, err := w.add([]string{"fukuoka-a", "kumamoto"}[i%2], name, false)
		if err != nil {
			return false, err
		}
		slots, work := 94, 20*time.Millisecond
		if name == "ledger" {
			slots, work = 25, 300*time.Millisecond
		}
		s, err := m.startServer(slots, work)
		if err != nil {
			return false, err
		}
		s.onRun = func(s *Server, r *http.Request, at time.Time) {
			id := r.Header.Get("Request-Id")
			w.record.printf("reached %s at %s, %s", id, s.id, r.URL.Path)
			mu.Lock()
			defer mu.Unlock()
			reached[s.id] = append(reached[s.id], arrival{id, at})
		}
		s.onDone = func(s *Server, r *http.Request, complete bool) {
			if !complete {
				w.record.printf("the run of %s at %s was cut", r.Header.Get("Request-Id"), s.id)
				cut.Add(1)
			}
		}
		if name == "desk" {
			s.onAnswer = func(a Answer) { w.record.printf("call %s answered %d", a.id, a.status) }
			s.calls = func(_ *http.Request, left time.Duration) []Call {
				var calls []Call
				for range callsEach {
					c := Call{from: m.ip, to: m.entry(), method: "GET", path: "/ledger/x", deadline: left, id: newID()}
					w.record.printf("call %s sent to %s", c.id, m.name)
					calls = append(calls, c)
				}
				return calls
			}
		}
	}
	w.configure(route("r-desk", "/desk/", "safe", "desk", 5, false), ranked(route("r-other", "/other/", "safe", "desk", 5, false), 2),
		route("r-ledger", "/ledger/", "safe", "ledger", 5, true),
		service("desk"), service("ledger"), tenant("anchor", key, 0, 0), limits())
	if err := w.startAll(); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	load := func(rate int, d time.Duration) {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for n, began := 0, time.Now(); time.Since(began) < d; n++ {
			<-ticker.C
			m := w.machines[n%fronts]
			group.Go(func() {
				c := Call{to: m.entry(), method: "GET", path: "/desk/x", key: key, deadline: 5 * time.Second, id: newID()}
				w.record.printf("sent %s to %s", c.id, m.name)
				a := c.do()
				w.record.printf("answered %s %d", a.id, a.status)
			})
		}
	}
	load(normal, 5*time.Second) // longer than StabilityWindowS
	w.record.say("many users come")
	group.Go(func() { load(perS, burst+4*time.Second) })
	time.Sleep(burst)
	var leaving []*Server
	for _, m := range w.machines[fronts : fronts+leave] {
		leaving = append(leaving, m.server)
	}
	var confirmed time.Time
	if w.trouble {
		var keys []string
		for _, s := range leaving {
			keys = append(keys, "servers/"+s.id)
		}
		confirmed = w.store.Delete(keys...)
		w.record.say("%v are removed", keys)
	}
	bound := time.Duration(w.bound("DrainTimeoutS") * float64(time.Second))
	time.Sleep(bound + longer)
	if w.trouble {
		for _, s := range leaving {
			s.stop()
			w.record.say("%s ends", s.id)
		}
	}
	group.Wait()
	late, last := 0, time.Duration(0)
	mu.Lock()
	defer mu.Unlock()
	for _, s := range leaving {
		for _, a := range reached[s.id] {
			if confirmed.IsZero() || a.at.Before(confirmed) {
				continue
			}
			last = max(last, a.at.Sub(confirmed))
			if a.at.Sub(confirmed) > bound {
				late++
				w.record.printf("%s reached %s %.3f s after the confirmation", a.id, s.id, a.at.Sub(confirmed).Seconds())
			}
		}
	}
	w.record.say("%d requests reached servers later than %v after the removal was confirmed, the last after %.3f s", late, bound, last.Seconds())
	w.record.say("%d runs were cut when their server ended", cut.Load())
	return late > 0, nil
}
