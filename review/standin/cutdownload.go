package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["cut-download"] = cutDownload }

// cutDownload: a node gets SIGTERM while it delivers a large answer.
func cutDownload(r *Record, trouble bool) (bool, []string, error) {
	const (
		downloads = 3
		size      = 36 << 20
		perSecond = 8 << 20
		deadline  = 9 * time.Second
		stable    = 4 * time.Second // more than StabilityWindowS
	)
	specs := []MachineSpec{
		{Service: "desk", Zone: "fukuoka-a", Slots: 20, Work: 10 * time.Millisecond},
		{Service: "files", Zone: "fukuoka-a", Slots: 20, Work: 10 * time.Millisecond, BodySize: size},
	}
	config := configuration("r7", []map[string]any{route("r-pull", "/pull/", "download", "files", 9, 2)}, "desk", "files")
	w, err := NewWorld(r, specs, config)
	defer w.Close()
	if err != nil {
		return false, nil, err
	}
	time.Sleep(stable)
	entry := w.Machines[0].Node
	var group sync.WaitGroup
	answers := make([]Answer, downloads)
	ids := make([]string, downloads)
	for i := range downloads {
		ids[i] = w.NextID()
		group.Go(func() {
			client := NewClient(fmt.Sprintf("127.78.0.%d", 1+i), entry.Outbound())
			defer client.Close()
			r.Addf("client sends %s to %s: GET /pull/ (download)", ids[i], entry.Name)
			answers[i] = client.Do(Request{
				ID: ids[i], Method: "GET", Host: hostName, Path: "/pull/", Deadline: deadline,
				Headers: []string{"Credential", clientKey}, BytesPerSecond: perSecond,
				OnHead: func() { r.Addf("client gets the head of the answer to %s", ids[i]) },
			})
			r.Addf("client: answer to %s ends after %d of %d bytes, whole=%t, %v", ids[i], answers[i].Body, size, answers[i].Whole, answers[i].Err)
		})
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		entry.Signal(syscall.SIGTERM)
	}
	group.Wait()
	if len(w.RunsByID()) == 0 {
		return false, nil, errNothingRan
	}
	cut := 0
	for i, a := range answers {
		if !a.Whole {
			cut++
		}
		r.Notef("%s: status %d, %d of %d bytes, whole %t, %.1f s", ids[i], a.Status, a.Body, size, a.Whole, a.Took.Seconds())
	}
	r.Notef("LOST: %d of %d downloads that had been passed on to a server were cut", cut, downloads)
	return cut > 0, nil, nil
}
