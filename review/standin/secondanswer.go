package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["second-answer"] = secondAnswer }

// secondAnswer: the servers of a service reject a part of their requests, and of some
// answers a second copy arrives late.
func secondAnswer(r *Record, trouble bool) (bool, []string, error) {
	const (
		machines = 4
		clients  = 48
		windows  = 10
		// The doses of the site file: srv_grey "shed all" 0.55, garble "extra late" on
		// a share of 0.6 of the servers, of 0.03 of their answers, for 5 s.
		shed, spoiled  = 0.55, 0.03
		spoiledServers = 2 // of 4, a share of 0.5
		trouble1, calm = 5 * time.Second, 2 * time.Second
		pause          = 60 * time.Millisecond
	)
	spec := MachineSpec{Service: "ledger", Zone: "fukuoka-a", Slots: 40, Work: 15 * time.Millisecond}
	specs := make([]MachineSpec, machines)
	for i := range specs {
		specs[i] = spec
	}
	config := configuration("r7", []map[string]any{route("r-book", "/book/", "unsafe", "ledger", 2, 2)}, "ledger")
	w, err := NewWorld(r, specs, config)
	defer w.Close()
	if err != nil {
		return false, nil, err
	}
	type sent struct {
		id     string
		answer Answer
	}
	var mu sync.Mutex
	var all []sent
	stop := make(chan struct{})
	var group sync.WaitGroup
	for c := range clients {
		group.Go(func() {
			client := NewClient(fmt.Sprintf("127.78.0.%d", 1+c), w.Machines[c%machines].Node.Outbound())
			defer client.Close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				id := w.NextID()
				r.Addf("client sends %s to %s: POST /book/ (unsafe)", id, w.Machines[c%machines].Node.Name)
				answer := client.Do(Request{
					ID: id, Method: "POST", Host: hostName, Path: "/book/", Body: "amount=1", Deadline: 2 * time.Second,
					Headers: []string{"Credential", clientKey},
				})
				r.Addf("client gets for %s: %d %v", id, answer.Status, answer.Err)
				mu.Lock()
				all = append(all, sent{id, answer})
				mu.Unlock()
			}
		})
	}
	time.Sleep(calm)
	for range windows {
		if trouble {
			r.Addf("window: servers reject, second copies")
			for i, m := range w.Machines {
				t := Trouble{Shed: shed}
				if i < spoiledServers {
					t.SecondAnswer = spoiled
				}
				m.Server.SetTrouble(t)
			}
		}
		time.Sleep(trouble1)
		for _, m := range w.Machines {
			m.Server.SetTrouble(Trouble{})
		}
		time.Sleep(calm)
	}
	close(stop)
	group.Wait()
	time.Sleep(300 * time.Millisecond)
	runs := w.RunsByID()
	if len(runs) == 0 {
		return false, nil, errNothingRan
	}
	var keep []string
	twice, refused, served := 0, 0, 0
	for _, s := range all {
		n := len(runs[s.id])
		bad := false
		if n > 1 {
			twice, bad = twice+1, true
		}
		if n > 0 && (s.answer.Status == 503 || s.answer.Status == 429 || s.answer.Status == 408 || s.answer.Status == 421) {
			refused, bad = refused+1, true
		}
		if s.answer.Status == 200 {
			served++
		}
		if bad && len(keep) < 20 {
			keep = append(keep, s.id)
		}
	}
	r.Notef("unsafe requests sent: %d, served: %d", len(all), served)
	r.Notef("TWICE: %d ran more than once", twice)
	r.Notef("REFUSED: %d have run and were answered 503, 429, 408 or 421", refused)
	if len(keep) == 0 {
		keep = []string{"window:"}
	}
	return twice > 0 || refused > 0, keep, nil
}
