package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["exit-race"] = exitRace }

// exitRace: a rolling restart of the nodes while clients go on sending, as they do where
// fewer than half of a zone's nodes are in.
func exitRace(r *Record, trouble bool) (bool, []string, error) {
	const (
		machines = 8 // each in a zone of its own
		rounds   = 8
		clients  = 3 // of each machine
		think    = 4 * time.Millisecond
		gap      = time.Second // gap_s of roll_term
		restart  = 200 * time.Millisecond
		backoff  = 20 * time.Millisecond
	)
	specs := make([]MachineSpec, machines)
	for i := range specs {
		specs[i] = MachineSpec{Service: "ledger", Zone: fmt.Sprintf("zone-%d", i), Slots: 40, Work: time.Millisecond}
	}
	config := configuration("r7", []map[string]any{route("r-book", "/book/", "unsafe", "ledger", 2, 2)}, "ledger")
	w, err := NewWorld(r, specs, config)
	defer w.Close()
	if err != nil {
		return false, nil, err
	}
	type sent struct {
		id, node string
		at, end  time.Duration
		answer   Answer
	}
	var mu sync.Mutex
	var all []sent
	stop := make(chan struct{})
	var group sync.WaitGroup
	for c := range clients * machines {
		group.Go(func() {
			node := w.Machines[c%machines].Node
			client := NewClient(fmt.Sprintf("127.78.0.%d", 1+c), node.Outbound())
			defer client.Close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(think):
				}
				id, at := w.NextID(), r.Now()
				answer := client.Do(Request{
					ID: id, Method: "POST", Host: hostName, Path: "/book/", Body: "amount=1", Deadline: 2 * time.Second,
					Headers: []string{"Credential", clientKey},
				})
				mu.Lock()
				all = append(all, sent{id, node.Name, at, r.Now(), answer})
				mu.Unlock()
				if answer.Err != nil {
					time.Sleep(backoff)
				}
			}
		})
	}
	time.Sleep(time.Second)
	var restarts sync.WaitGroup
	stops := 0
	for range rounds {
		for _, m := range w.Machines {
			if trouble && m.Node.Ready() {
				stops++
				m.Node.Signal(syscall.SIGTERM)
				restarts.Go(func() {
					<-m.Node.ended
					time.Sleep(restart)
					if err := m.Node.Start(false); err != nil {
						r.Addf("node %s: start failed: %v", m.Node.Name, err)
					}
				})
			}
			time.Sleep(gap)
		}
	}
	restarts.Wait()
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	runs := w.RunsByID()
	if len(runs) == 0 {
		return false, nil, errNothingRan
	}
	lost, unread := 0, 0
	keep := []string{"node ", "lost:"}
	for _, s := range all {
		switch {
		case s.answer.Status != 0:
		case len(runs[s.id]) == 0:
			unread++
		default:
			lost++
			r.Addf("lost: %s (unsafe) sent to %s at %.4f, run by server %s at %.4f, connection ended without an answer at %.4f: %v",
				s.id, s.node, s.at.Seconds(), runs[s.id][0].Server, runs[s.id][0].At.Seconds(), s.end.Seconds(), s.answer.Err)
		}
	}
	r.Notef("unsafe requests sent: %d, planned stops: %d", len(all), stops)
	r.Notef("without an answer, not run: %d", unread)
	r.Notef("LOST: %d were passed on to a server, run, and their connection ended without an answer", lost)
	return lost > 0, keep, nil
}
