//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// settlements: clients post settlements on an unsafe route, under numbers that contain
// slashes. The numbers are sent as one segment of the path, with encoded slashes. Some
// servers lose the answers to some of the requests that they ran.
func settlements(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	const (
		servers    = 4
		perSecond  = 40
		length     = 25 * time.Second
		lossBegins = 5 * time.Second
		lossLasts  = 4 * time.Second
		lossShare  = 0.4
		workTime   = 60 * time.Millisecond
	)
	prefix := "/claims/KYU%2F2026-"
	if os.Getenv("PATHS") == "plain" {
		prefix = "/claims/KYU-2026-"
	}
	var (
		mu      sync.Mutex
		runs    = map[string][]string{}
		sent    = map[string]answer{}
		lost    int
		counts  = map[int]int{}
		senders sync.WaitGroup
		begun   time.Time
	)
	serve := func(ctx context.Context, s *server, r *run) (int, []byte, bool) {
		mu.Lock()
		runs[r.id] = append(runs[r.id], r.server)
		first := len(runs[r.id]) == 1
		since := time.Since(begun)
		drop := trouble && first && since > lossBegins && since < lossBegins+lossLasts && float64(randomInt(1000)) < 1000*lossShare && s.index%2 == 0
		if drop {
			lost++
		}
		mu.Unlock()
		f.record("server %s runs %s %s", r.server, r.id, r.path)
		if work(ctx, workTime) != nil {
			return 504, nil, true
		}
		if drop {
			f.record("server %s has run %s, its answer is lost", r.server, r.id)
			conn := ctx.Value(connKey{}).(net.Conn)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return 200, []byte("settled"), true
	}
	for i := range servers {
		f.addMachine("claims-ledger", fmt.Sprintf("zone-%c", 'a'+i%2), 40, serve).server.index = i
	}
	route := func(name, prefix, kind string) map[string]any {
		return resource("Routes", name, map[string]any{
			"Host": "claims.example", "Prefix": prefix, "Kind": kind, "TimeoutS": 5, "TargetLatencyS": 1.5,
			"Priority": 0, "Service": "claims-ledger", "MaxAttempts": 2, "Public": false,
		})
	}
	f.publish("r3", service("claims-ledger"),
		route("cash-call-post", "/claims/", "unsafe"), route("claims-read", "/claims/KYU/", "safe"),
		resource("Tenants", "cedant", map[string]any{"ApiKeys": []string{"cedantkey1"}, "Priority": 1, "RatePerS": 0, "Burst": 0}),
	)
	if err := f.start(ctx); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	client := newCaller(f.clientIP())
	mu.Lock()
	begun = time.Now()
	mu.Unlock()
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for n := 0; time.Since(begun) < length; n++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return verdict{}, ctx.Err()
		}
		m := f.machines[n%servers]
		senders.Go(func() {
			a := client.send(ctx, m.outbound, request{
				method: "POST", host: "claims.example", path: fmt.Sprint(prefix, n), key: "cedantkey1",
				body: bytes.Repeat([]byte("s"), 1200), limit: 5 * time.Second,
			})
			mu.Lock()
			counts[a.status]++
			sent[a.id] = a
			mu.Unlock()
			f.record("client sent %s %s%d to %s at %.3f and got %d", a.id, prefix, n, m.name, f.since(a.sent), a.status)
		})
	}
	senders.Wait()
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, servers := range runs {
		if len(servers) > 1 {
			twice++
			f.record("request %s has run at %v; its client got %d", id, servers, sent[id].status)
		}
	}
	if !trouble && counts[200] < len(sent)*95/100 {
		return verdict{}, fmt.Errorf("only %d of %d settlements served without the disruption", counts[200], len(sent))
	}
	return verdict{
		broken: twice > 0,
		text: fmt.Sprintf("%d settlements sent, %d answers lost, %d settlements have run more than once; by status %v",
			len(sent), lost, twice, counts),
	}, nil
}
