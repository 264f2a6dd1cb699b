//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

// lethalMarker begins the body that crashes each server which runs it.
const lethalMarker = "LETHAL "

// lethalUpload: clients upload files on one route, and one file crashes each server that
// begins to run it. It comes again every second, with the same path, tenant and body. All
// requests begin at machines whose own servers nothing happens to.
func lethalUpload(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	const (
		servers     = 4
		entries     = 2
		perSecond   = 24
		length      = 45 * time.Second
		lethalEvery = time.Second
		uploadWork  = 60 * time.Millisecond
	)
	size := 90 << 10
	if os.Getenv("BODY") == "small" {
		size = 20 << 10
	}
	var (
		mu       sync.Mutex
		crashes  []time.Time
		arrivals []string // ids of the requests
		sent     = map[string]time.Time{}
		senders  sync.WaitGroup
	)
	serve := func(ctx context.Context, s *server, r *run) (int, []byte, bool) {
		if bytes.HasPrefix(r.body, []byte(lethalMarker)) {
			mu.Lock()
			crashes = append(crashes, time.Now())
			n := len(crashes)
			mu.Unlock()
			f.record("server %s runs request %s and crashes: crash %d", r.server, r.id, n)
			return 0, nil, false
		}
		if work(ctx, uploadWork) != nil {
			return 504, nil, true
		}
		return 200, []byte("stored"), true
	}
	f.onArrive = func(s *server, r *run) {
		if !bytes.HasPrefix(r.body, []byte(lethalMarker)) {
			f.record("server %s gets upload %s of %d bytes", r.server, r.id, len(r.body))
			return
		}
		mu.Lock()
		arrivals = append(arrivals, r.id)
		mu.Unlock()
		f.record("request %s with the lethal body reaches server %s", r.id, r.server)
	}
	for i := range servers {
		f.addMachine("bdx-store", fmt.Sprintf("zone-%c", 'a'+i%2), 40, serve)
	}
	idle := func(context.Context, *server, *run) (int, []byte, bool) { return 200, nil, true }
	for i := range entries {
		f.addMachine("treaty-desk", fmt.Sprintf("zone-%c", 'a'+i%2), 94, idle)
	}
	entryMachines := f.machines[servers:]
	f.publish("r3",
		service("bdx-store"), service("treaty-desk"),
		resource("Routes", "uploads", map[string]any{
			"Host": "bdx.example", "Prefix": "/bordereaux/", "Kind": "unsafe", "TimeoutS": 5, "TargetLatencyS": 1.5,
			"Priority": 0, "Service": "bdx-store", "MaxAttempts": 2, "Public": false,
		}),
		resource("Tenants", "broker", map[string]any{"ApiKeys": []string{"brokerkey1"}, "Priority": 1, "RatePerS": 0, "Burst": 0}),
	)
	if err := f.start(ctx); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	client := newCaller(f.clientIP())
	upload := func(m *machine, body []byte) answer {
		return client.sendAs(ctx, m.outbound, request{
			method: "POST", host: "bdx.example", path: "/bordereaux/2f", key: "brokerkey1", body: body, chunked: true, limit: 4 * time.Second,
		}, func(id string) {
			mu.Lock()
			defer mu.Unlock()
			sent[id] = time.Now()
		})
	}
	counts := map[int]int{}
	stop := time.After(length)
	files, lethal := time.NewTicker(time.Second/perSecond), time.NewTicker(lethalEvery)
	defer files.Stop()
	defer lethal.Stop()
	lethalBody := append([]byte(lethalMarker), bytes.Repeat([]byte("x"), size)...)
	lethalSent := 0
	for n := 0; ; n++ {
		select {
		case <-files.C:
			m := entryMachines[n%entries]
			body := make([]byte, size-randomInt(size/8))
			copy(body, randomHex(16))
			senders.Go(func() {
				a := upload(m, body)
				mu.Lock()
				counts[a.status]++
				mu.Unlock()
				f.record("upload %s of %d bytes, sent to %s at %.3f: status %d", a.id, len(body), m.name, f.since(a.sent), a.status)
			})
			continue
		case <-lethal.C:
			if trouble {
				m := entryMachines[lethalSent%entries]
				lethalSent++
				senders.Go(func() {
					a := upload(m, lethalBody)
					f.record("request %s with the lethal body, sent to %s at %.3f: status %d after %v", a.id, m.name, f.since(a.sent), a.status, a.took.Round(time.Millisecond))
				})
			}
			continue
		case <-ctx.Done():
			return verdict{}, ctx.Err()
		case <-stop:
		}
		break
	}
	senders.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, id := range arrivals {
			if sent[id].After(crashes[2].Add(stabilityWindow)) {
				late++
			}
		}
	}
	total := 0
	for _, n := range counts {
		total += n
	}
	f.record("other uploads: %d, by status (0: connection closed): %v", total, counts)
	if !trouble && counts[200] < total*95/100 {
		return verdict{}, fmt.Errorf("only %d of %d uploads served without the disruption", counts[200], total)
	}
	return verdict{
		broken: late > 3,
		text: fmt.Sprintf("lethal body sent %d times, %d crashes, %d arrivals; %d arrivals later than StabilityWindowS after the third crash, 3 allowed; other uploads by status %v",
			lethalSent, len(crashes), len(arrivals), late, counts),
	}, nil
}
