package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["held-removal"] = heldRemoval }

// heldRemoval: half of the servers of a service leave without notice, and a second later
// the store is down for some seconds.
func heldRemoval(r *Record, trouble bool) (bool, []string, error) {
	const (
		clients    = 20
		stable     = 4 * time.Second // more than StabilityWindowS
		downAfter  = 1 * time.Second
		downFor    = 4500 * time.Millisecond
		drainAfter = 2 * time.Second // DrainTimeoutS
		// The servers that leave go on for DrainTimeoutS and a little longer.
		exitAfter = drainAfter + 1500*time.Millisecond
	)
	var specs []MachineSpec
	for range 4 {
		specs = append(specs, MachineSpec{Service: "ledger", Zone: "fukuoka-a", Slots: 40, Work: 60 * time.Millisecond})
	}
	specs = append(specs, MachineSpec{Service: "desk", Zone: "fukuoka-a", Slots: 40, Work: 10 * time.Millisecond})
	config := configuration("r7", []map[string]any{route("r-book", "/book/", "unsafe", "ledger", 2, 2)}, "ledger", "desk")
	w, err := NewWorld(r, specs, config)
	defer w.Close()
	if err != nil {
		return false, nil, err
	}
	var mu sync.Mutex
	answers := make(map[string]Answer)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for c := range clients {
		group.Go(func() {
			// The clients are beside servers that stay.
			to := w.Machines[2+c%3].Node
			client := NewClient(fmt.Sprintf("127.78.0.%d", 1+c), to.Outbound())
			defer client.Close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(60*time.Millisecond + rand.N(80*time.Millisecond)):
				}
				id := w.NextID()
				answer := client.Do(Request{
					ID: id, Method: "POST", Host: hostName, Path: "/book/", Body: "amount=1", Deadline: 2 * time.Second,
					Headers: []string{"Credential", clientKey},
				})
				r.Addf("client gets for %s, sent to %s: %d %v", id, to.Name, answer.Status, answer.Err)
				mu.Lock()
				answers[id] = answer
				mu.Unlock()
			}
		})
	}
	time.Sleep(stable)
	gone := []*Server{w.Machines[0].Server, w.Machines[1].Server}
	w.Store.Remove("servers/"+gone[0].ID, "servers/"+gone[1].ID)
	removed := r.Now()
	r.Addf("store: entries of %s and %s are removed; the servers go on", gone[0].ID, gone[1].ID)
	time.Sleep(downAfter)
	if trouble {
		r.Addf("store: down, answers 503")
		w.Store.SetDown(true)
	}
	time.Sleep(exitAfter - downAfter)
	for i, server := range gone {
		r.Addf("server %s ends, and its node gets SIGTERM", server.ID)
		server.Close()
		w.Machines[i].Node.Signal(syscall.SIGTERM)
	}
	time.Sleep(downAfter + downFor - exitAfter)
	r.Addf("store: up")
	w.Store.SetDown(false)
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	if len(w.RunsByID()) == 0 {
		return false, nil, errNothingRan
	}
	late, lost := 0, 0
	keep := []string{"store:", "node ", " ends, and"}
	last := time.Duration(0)
	for _, server := range gone {
		for _, a := range server.Arrived() {
			if a.At > removed+drainAfter {
				late++
				last = max(last, a.At-removed)
				if answers[a.ID].Status != 200 {
					lost++
				}
				if len(keep) < 12 {
					keep = append(keep, a.ID+" ", a.ID+",")
				}
				r.Addf("late: %s reached server %s %.3f s after its removal", a.ID, a.Server, (a.At - removed).Seconds())
			}
		}
	}
	keep = append(keep, "late:")
	r.Notef("DRAIN: %d requests reached a removed server later than %v after its removal, the last %v after it", late, drainAfter, last.Round(time.Millisecond))
	r.Notef("of these, %d unsafe requests ended without the server's answer as it left", lost)
	return late > 0, keep, nil
}
