package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["lost-body"] = lostBody }

// lostBody: clients send unsafe requests with long bodies, and for some seconds a server
// rejects a part of its requests.
func lostBody(r *Record, trouble bool) (bool, []string, error) {
	const (
		machines = 4
		clients  = 32
		bodySize = 100 << 10
		// The dose of the site file: srv_grey "shed" 0.45 on one server of four
		// (a share of 0.14 of four servers, rounded up), for 6.5 s.
		shed   = 0.45
		shedS  = 6500 * time.Millisecond
		before = 4 * time.Second
		after  = 2 * time.Second
		pause  = 50 * time.Millisecond
	)
	specs := make([]MachineSpec, machines)
	for i := range specs {
		specs[i] = MachineSpec{Service: "ledger", Zone: "fukuoka-a", Slots: 40, Work: 15 * time.Millisecond}
	}
	config := configuration("r7", []map[string]any{route("r-book", "/book/", "unsafe", "ledger", 2, 2)}, "ledger")
	w, err := NewWorld(r, specs, config)
	defer w.Close()
	if err != nil {
		return false, nil, err
	}
	type sent struct {
		id, hash string
		answer   Answer
	}
	var mu sync.Mutex
	var all []sent
	stop := make(chan struct{})
	var group sync.WaitGroup
	for c := range clients {
		group.Go(func() {
			node := w.Machines[c%machines].Node
			client := NewClient(fmt.Sprintf("127.78.0.%d", 1+c), node.Outbound())
			defer client.Close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				id := w.NextID()
				body := strings.Repeat(id+";", bodySize/(len(id)+1))
				hash := hashOf([]byte(body))
				r.Addf("client sends %s to %s: POST /book/ (unsafe), body of %d bytes, hash %s, chunked=%t", id, node.Name, len(body), hash, c%2 == 1)
				answer := client.Do(Request{
					ID: id, Method: "POST", Host: hostName, Path: "/book/", Body: body, Chunked: c%2 == 1,
					Deadline: 2 * time.Second, Headers: []string{"Credential", clientKey},
				})
				r.Addf("client gets for %s: %d, signature %q %v", id, answer.Status, answer.Signature, answer.Err)
				mu.Lock()
				all = append(all, sent{id, hash, answer})
				mu.Unlock()
			}
		})
	}
	time.Sleep(before)
	if trouble {
		r.Addf("window: server %s rejects %.2f of its requests", w.Machines[0].Server.ID, shed)
		w.Machines[0].Server.SetTrouble(Trouble{Shed: shed})
	}
	time.Sleep(shedS)
	w.Machines[0].Server.SetTrouble(Trouble{})
	r.Addf("window: ends")
	time.Sleep(after)
	close(stop)
	group.Wait()
	time.Sleep(300 * time.Millisecond)
	runs := w.RunsByID()
	if len(runs) == 0 {
		return false, nil, errNothingRan
	}
	changed, confirmed := 0, 0
	keep := []string{"window:"}
	for _, s := range all {
		for _, run := range runs[s.id] {
			if run.BodyHash == s.hash {
				continue
			}
			changed++
			if s.answer.Status == 200 {
				confirmed++
			}
			if len(keep) < 12 {
				keep = append(keep, s.id)
			}
		}
	}
	r.Notef("unsafe requests sent, each with a body of some %d bytes: %d", bodySize, len(all))
	r.Notef("UNASKED: %d ran with another body than the client's, and %d of these were answered 200", changed, confirmed)
	return changed > 0, keep, nil
}
