package main

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { scripts["big-values"] = bigValues }

// bigValues: another writer writes a few values of the largest allowed size among the
// entries of the servers. Then the operator withdraws a key.
func bigValues(w *World) (bool, error) {
	const (
		key    = "key-of-anchor-1234"
		values = 5
		gap    = 20 * time.Millisecond
		bytes  = 1 << 20 // ValueBytes
		watch  = 12 * time.Second
	)
	for _, zone := range []string{"fukuoka-a", "fukuoka-b", "kumamoto"} {
		m, err := w.add(zone, "desk", false)
		if err != nil {
			return false, err
		}
		s, err := m.startServer(94, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		s.onRun = func(s *Server, r *http.Request, _ time.Time) {
			w.record.printf("ran %s at %s for %s", r.Header.Get("Request-Id"), s.id, r.Header.Get("Tenant"))
		}
	}
	read := route("r-read", "/read/", "safe", "desk", 2, false)
	w.configure(read, service("desk"), tenant("anchor", key, 0, 0), tenant("beacon", "key-of-beacon-1234", 0, 0), limits())
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if w.trouble {
		for n := range values {
			value := make([]byte, bytes)
			_, _ = rand.Read(value)
			w.store.Put(fmt.Sprintf("servers/other-%d", n), value)
			w.record.say("another writer wrote a value of %d bytes to servers/other-%d", bytes, n)
			time.Sleep(gap)
		}
	}
	time.Sleep(time.Second)
	confirmed := w.configure(read, service("desk"), tenant("beacon", "key-of-beacon-1234", 0, 0), limits())
	w.record.say("a configuration without the key is confirmed")
	inForce := confirmed.Add(time.Duration(w.bound("ConfigApplyS") * float64(time.Second)))
	var late, served atomic.Int64
	for n := 0; time.Since(confirmed) < watch; n++ {
		m := w.machines[n%len(w.machines)]
		a := Call{to: m.entry(), method: "GET", path: "/read/x", key: key, deadline: 3 * time.Second}.do()
		w.record.printf("%s sent to %s %.3f s after the confirmation: %d", a.id, m.name, a.sent.Sub(confirmed).Seconds(), a.status)
		if a.sent.After(inForce) {
			late.Add(1)
			if a.status == http.StatusOK {
				served.Add(1)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.record.say("%d of %d requests sent later than ConfigApplyS after the confirmation were served with the withdrawn key", served.Load(), late.Load())
	return served.Load() > 0, nil
}
