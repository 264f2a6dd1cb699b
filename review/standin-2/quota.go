package main

import (
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

func init() { scripts["quota-cut"] = quotaCut }

// runs collects the times at which requests were sent and reached a server that ran them.
type runs struct {
	mu   sync.Mutex
	sent map[string]time.Time
	ran  map[string]time.Time
}

// worst returns the most requests that were both sent and ran in a window.
func (r *runs) worst(window time.Duration) (most int, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	type span struct{ sent, ran time.Time }
	var spans []span
	for id, ran := range r.ran {
		spans = append(spans, span{r.sent[id], ran})
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].sent.Before(spans[j].sent) })
	for i, first := range spans {
		n := 0
		for _, s := range spans[i:] {
			if s.sent.After(first.sent.Add(window)) {
				break
			}
			if !s.ran.After(first.sent.Add(window)) {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	return most, from
}

func (w *World) bound(name string) float64 {
	for _, b := range w.bounds {
		if len(b) > len(name) && b[:len(name)+1] == name+"=" {
			value, _ := strconv.ParseFloat(b[len(name)+1:], 64)
			return value
		}
	}
	return 0
}

// quotaCut: a tenant is busy at one machine, which is then cut off from the others, and
// is busy at the others too.
func quotaCut(w *World) (bool, error) {
	const (
		machines = 16
		cutOff   = 8 // one that many others precede in the order in which nodes look for a collector
		rate     = 100.0
		burst    = 20.0
		perS     = 200 // of the clients at the one machine, and of those at the others
		before   = 8 * time.Second
		during   = 7 * time.Second
	)
	seen := &runs{sent: map[string]time.Time{}, ran: map[string]time.Time{}}
	zones := []string{"fukuoka-a", "fukuoka-b", "kumamoto", "kitakyushu"}
	for i := range machines {
		m, err := w.add(zones[i%len(zones)], "desk", true)
		if err != nil {
			return false, err
		}
		m.cutOff = i == cutOff-1
		s, err := m.startServer(94, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		s.onRun = func(s *Server, r *http.Request, at time.Time) {
			id := r.Header.Get("Request-Id")
			w.record.printf("ran %s at %s for %s", id, s.id, r.Header.Get("Tenant"))
			seen.mu.Lock()
			if _, again := seen.ran[id]; !again {
				seen.ran[id] = at
			}
			seen.mu.Unlock()
		}
	}
	w.configure(route("r-read", "/read/", "safe", "desk", 2, false), service("desk"), tenant("anchor", "key-of-anchor-1234", rate, burst), limits())
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	busy := w.machines[cutOff-1]
	others := slices.DeleteFunc(slices.Clone(w.machines), func(m *Machine) bool { return m == busy })
	stop := make(chan struct{})
	var group sync.WaitGroup
	load := func(at func(n int) *Machine) {
		group.Go(func() {
			ticker := time.NewTicker(time.Second / perS)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				m := at(n)
				group.Go(func() {
					c := Call{to: m.entry(), method: "GET", path: "/read/x", key: "key-of-anchor-1234", deadline: 3 * time.Second, id: newID()}
					seen.mu.Lock()
					seen.sent[c.id] = time.Now()
					seen.mu.Unlock()
					w.record.printf("sent %s to %s", c.id, m.name)
					a := c.do()
					w.record.printf("answered %s %d", a.id, a.status)
				})
			}
		})
	}
	load(func(int) *Machine { return busy })
	time.Sleep(before)
	if w.trouble {
		w.record.say("%s is cut off from the other machines", busy.name)
		w.cutMachine(busy, true)
	}
	time.Sleep(time.Second)
	load(func(n int) *Machine { return others[n%len(others)] })
	time.Sleep(during)
	w.cutMachine(busy, false)
	close(stop)
	group.Wait()
	window := w.bound("QuotaWindowS")
	limit := (rate*window+burst)*(1+w.bound("QuotaOverage")) + w.bound("QuotaSlack")
	most, from := seen.worst(time.Duration(window * float64(time.Second)))
	w.record.say("%d requests of the tenant ran in %.0f s from %.1f s on, at most %.0f may", most, window, from.Sub(w.record.start).Seconds(), limit)
	return float64(most) > limit, nil
}
