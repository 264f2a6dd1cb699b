package main

import (
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scripts["grace-change"] = graceChange }

// setBound replaces a bound in the settings of machines that are written from now on.
func (w *World) setBound(name, value string) {
	var bounds []string
	for _, b := range w.bounds {
		if len(b) > len(name) && b[:len(name)+1] == name+"=" {
			b = name + "=" + value
		}
		bounds = append(bounds, b)
	}
	w.bounds = bounds
}

// rewrite replaces the settings file and sends SIGHUP.
func (m *Machine) rewrite() error {
	path := filepath.Join(m.world.temp, m.name+".yaml")
	if err := os.WriteFile(path+".new", []byte(m.settings()), 0o600); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	m.signal(syscall.SIGHUP)
	return nil
}

// graceChange: the settings file of a machine changes to a longer grace period. Later a node is stopped
// as planned while requests run.
func graceChange(w *World) (bool, error) {
	const (
		grace = "12" // the new GracePeriodS, after 6
		work  = "5000"
		perS  = 10
		key   = "key-of-anchor-1234"
	)
	if !w.trouble {
		w.setBound("GracePeriodS", grace) // in force from the start
	}
	var ran sync.Map // the ids of the requests that a server has begun to run
	for _, zone := range []string{"fukuoka-a", "fukuoka-b", "kumamoto", "kitakyushu"} {
		m, err := w.add(zone, "ledger", false)
		if err != nil {
			return false, err
		}
		s, err := m.startServer(94, 0)
		if err != nil {
			return false, err
		}
		s.onRun = func(s *Server, r *http.Request, _ time.Time) {
			id := r.Header.Get("Request-Id")
			w.record.printf("ran %s at %s", id, s.id)
			ran.Store(id, true)
		}
	}
	w.configure(route("r-book", "/book/", "unsafe", "ledger", 6, false), service("ledger"), tenant("anchor", key, 0, 0), limits())
	if err := w.startAll(); err != nil {
		return false, err
	}
	stopping := w.machines[0]
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.setBound("GracePeriodS", grace)
		if err := stopping.rewrite(); err != nil {
			return false, err
		}
		w.record.say("the settings file of %s has changed to GracePeriodS=%s, SIGHUP", stopping.name, grace)
	}
	time.Sleep(4 * time.Second) // longer than StabilityWindowS and ConfigApplyS
	var stopped, gone atomic.Pointer[time.Time]
	var lost, sent atomic.Int64
	var group sync.WaitGroup
	request := func() {
		c := Call{to: stopping.entry(), method: "POST", path: "/book/x?work=" + work, key: key, deadline: 6 * time.Second, body: "amount=1", id: newID()}
		began := time.Now()
		w.record.printf("sent %s to %s", c.id, stopping.name)
		sent.Add(1)
		a := c.do()
		w.record.printf("answered %s %d after %.3f s, %v", a.id, a.status, a.done.Sub(began).Seconds(), a.err)
		at := stopped.Load()
		if a.status != 0 || at == nil {
			return
		}
		// The last sixth of the grace period and the time limit excuse.
		inLastSixth := a.done.Sub(*at).Seconds() >= w.bound("GracePeriodS")*5/6
		_, passedOn := ran.Load(a.id)
		if passedOn && !inLastSixth && a.done.Sub(began) < c.deadline {
			lost.Add(1)
			w.record.printf("the connection of %s ended without an answer %.3f s after SIGTERM", a.id, a.done.Sub(*at).Seconds())
		}
	}
	// Clients send until the machine has missed two questions, one a second.
	misses := 0
	next := time.Now()
	for n := 0; misses < 2; n++ {
		if n == perS {
			now := time.Now()
			stopped.Store(&now)
			stopping.signal(syscall.SIGTERM)
			w.record.say("SIGTERM to %s", stopping.name)
		}
		group.Go(request)
		time.Sleep(time.Second / perS)
		if time.Now().After(next) {
			next = next.Add(time.Second)
			if stopping.ready() {
				misses = 0
			} else {
				misses++
			}
		}
	}
	w.record.printf("clients send no more to %s", stopping.name)
	ended := make(chan struct{})
	go func() { _ = stopping.cmd.Wait(); now := time.Now(); gone.Store(&now); close(ended) }()
	select {
	case <-ended:
	case <-time.After(time.Until(stopped.Load().Add(time.Duration(w.bound("GracePeriodS") * float64(time.Second))))):
		w.record.say("SIGKILL to %s", stopping.name)
		stopping.signal(syscall.SIGKILL)
		<-ended
	}
	w.record.say("the process ended %.3f s after SIGTERM", gone.Load().Sub(*stopped.Load()).Seconds())
	stopping.cmd = nil
	group.Wait()
	w.record.say("%d of %d requests were cut while a server was at work on them", lost.Load(), sent.Load())
	return lost.Load() > 0, nil
}
