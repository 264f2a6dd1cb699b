package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { scripts["drill-restart"] = drillRestart }

// drillRestart is no case, see REPORT-2.md. A server reports that it is draining, and goes
// on serving for many seconds. The node beside it is killed and starts again. In
// a drill the store comes back from a copy of before; the servers write again at their next
// check-in.
func drillRestart(w *World) (bool, error) {
	const (
		copyAge   = 300 * time.Millisecond // of the copy, before the report
		killAfter = 300 * time.Millisecond // after the report, as all that follow
		awayAt    = 4300 * time.Millisecond
		away      = 300 * time.Millisecond
		checkIn   = 1500 * time.Millisecond // HeartbeatS, after the store is back
		lasts     = 8 * time.Second
		perS      = 25 // requests a second at each machine
		key       = "key-of-anchor-1234"
	)
	type arrival struct {
		id string
		at time.Time
	}
	var mu sync.Mutex
	reached := map[string][]arrival{}
	via := map[string]string{}
	for _, zone := range []string{"fukuoka-a", "fukuoka-b", "kumamoto", "kitakyushu"} {
		m, err := w.add(zone, "ledger", false)
		if err != nil {
			return false, err
		}
		s, err := m.startServer(94, 160*time.Millisecond)
		if err != nil {
			return false, err
		}
		s.onRun = func(s *Server, r *http.Request, at time.Time) {
			id := r.Header.Get("Request-Id")
			w.record.printf("ran %s at %s", id, s.id)
			mu.Lock()
			defer mu.Unlock()
			reached[s.id] = append(reached[s.id], arrival{id, at})
		}
	}
	w.configure(route("r-book", "/book/", "unsafe", "ledger", 2, false), service("ledger"), tenant("anchor", key, 0, 0), limits())
	if err := w.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, m := range w.machines {
		group.Go(func() {
			ticker := time.NewTicker(time.Second / perS)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				group.Go(func() {
					c := Call{to: m.entry(), method: "POST", path: "/book/x", key: key, deadline: 3 * time.Second, body: "amount=1", id: newID()}
					mu.Lock()
					via[c.id] = m.name
					mu.Unlock()
					w.record.printf("sent %s to %s", c.id, m.name)
					a := c.do()
					w.record.printf("answered %s %d", a.id, a.status)
				})
			}
		})
	}
	time.Sleep(5 * time.Second)
	killed := w.machines[3]
	leaving := killed.server
	copied := w.store.backup()
	time.Sleep(copyAge)
	confirmed := leaving.drain(w.store)
	w.record.say("%s is draining, confirmed", leaving.id)
	until := func(after time.Duration) { time.Sleep(time.Until(confirmed.Add(after))) }
	until(killAfter)
	killed.kill()
	w.record.say("%s is killed", killed.name)
	time.Sleep(200 * time.Millisecond)
	if err := killed.start(); err != nil {
		return false, err
	}
	for !killed.ready() {
		time.Sleep(10 * time.Millisecond)
	}
	w.record.say("%s is ready again %.3f s after the confirmation", killed.name, time.Since(confirmed).Seconds())
	until(awayAt)
	if w.trouble {
		w.store.setDown(true)
		w.record.say("the store is away")
		time.Sleep(away)
		w.store.restore(copied)
		w.record.say("the store is back from a copy")
		time.Sleep(checkIn)
		for _, m := range w.machines {
			m.server.publish(w.store)
		}
		w.record.say("the servers have written again")
	}
	until(lasts)
	leaving.stop()
	close(stop)
	group.Wait()
	bound := time.Duration(w.bound("DrainTimeoutS") * float64(time.Second))
	late := map[string]int{}
	total, last := 0, time.Duration(0)
	mu.Lock()
	defer mu.Unlock()
	for _, a := range reached[leaving.id] {
		if after := a.at.Sub(confirmed); after > bound {
			late[via[a.id]]++
			total++
			last = max(last, after)
			w.record.printf("%s reached %s %.3f s after the confirmation, through %s", a.id, leaving.id, after.Seconds(), via[a.id])
		}
	}
	w.record.say("%d requests reached it later than %v after the confirmation, the last after %.3f s: %v", total, bound, last.Seconds(), late)
	return total > 0, nil
}
