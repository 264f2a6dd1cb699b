package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { scripts["encoded-path"] = encodedPath }

// encodedPath: clients send unsafe requests whose path has an encoded slash, and some
// answers are lost.
func encodedPath(w *World) (bool, error) {
	const (
		servers = 5
		losing  = 3   // servers that lose answers, 0.6 of them
		lost    = 0.4 // of their answers
		perS    = 40
		lasts   = 4 * time.Second
		key     = "key-of-anchor-1234"
		// The prefix of r-book begins this path, that of r-book-read does not.
		path = "/book/read%2Fwrite/17"
	)
	var mu sync.Mutex
	ran := map[string][]string{}
	var troubled bool
	for i := range servers {
		m, err := w.add([]string{"fukuoka-a", "kumamoto"}[i%2], "ledger", false)
		if err != nil {
			return false, err
		}
		s, err := m.startServer(94, 40*time.Millisecond)
		if err != nil {
			return false, err
		}
		s.onRun = func(s *Server, r *http.Request, _ time.Time) {
			id := r.Header.Get("Request-Id")
			w.record.printf("ran %s at %s: %s %s", id, s.id, r.Method, r.RequestURI)
			mu.Lock()
			defer mu.Unlock()
			ran[id] = append(ran[id], s.id)
		}
		if i >= losing {
			continue
		}
		n := 0
		s.loses = func(r *http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			if !troubled {
				return false
			}
			n++
			is := int(lost*float64(n)) > int(lost*float64(n-1))
			if is {
				w.record.printf("the answer to %s is lost", r.Header.Get("Request-Id"))
			}
			return is
		}
	}
	w.configure(route("r-book", "/book/", "unsafe", "ledger", 2, false), route("r-book-read", "/book/read/", "safe", "ledger", 2, false),
		service("ledger"), tenant("anchor", key, 0, 0), limits())
	if err := w.startAll(); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	load := func(d time.Duration) {
		ticker := time.NewTicker(time.Second / perS)
		defer ticker.Stop()
		for n, began := 0, time.Now(); time.Since(began) < d; n++ {
			<-ticker.C
			m := w.machines[n%servers]
			group.Go(func() {
				c := Call{to: m.entry(), method: "POST", path: path, key: key, deadline: 3 * time.Second, body: "amount=1", id: newID()}
				w.record.printf("sent %s to %s: POST %s", c.id, m.name, path)
				a := c.do()
				w.record.printf("answered %s %d", a.id, a.status)
			})
		}
	}
	load(5 * time.Second)
	mu.Lock()
	troubled = w.trouble
	mu.Unlock()
	load(lasts)
	mu.Lock()
	troubled = false
	mu.Unlock()
	load(2 * time.Second)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, at := range ran {
		if len(at) > 1 {
			twice++
			w.record.printf("%s ran at %v", id, at)
		}
	}
	w.record.say("%d of %d requests of an unsafe route ran more than once", twice, len(ran))
	return twice > 0, nil
}
