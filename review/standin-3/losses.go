//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// fleetLosses: a tenant sends many times its usual, and meanwhile all processes of the system
// are killed at the same moment, three times within a window of the limit.
func fleetLosses(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	const (
		machines    = 18
		rate, burst = 20, 60 // the tenant's limit
		// The tenant's usual traffic is that of the site file, 1/1.6 of its limit. It sends
		// hotFactor times as much for hotFor, the largest dose there.
		usualPerSecond = rate / 1.6
		hotFactor      = 7.5
		usualFor       = 6 * time.Second
		hotFor         = 6500 * time.Millisecond
		lossCount      = 3
		firstLoss      = time.Second // after the tenant's traffic has risen
		lossGap        = 1200 * time.Millisecond
		restartDelay   = 200 * time.Millisecond
		// QuotaWindowS, QuotaOverage and QuotaSlack
		window  = 5 * time.Second
		overage = 0.25
		slack   = 20
	)
	type arrival struct {
		id string
		at time.Time
	}
	var (
		mu      sync.Mutex
		ran     []arrival
		sent    = map[string]time.Time{}
		counts  = map[int]int{}
		senders sync.WaitGroup
	)
	serve := func(ctx context.Context, s *server, r *run) (int, []byte, bool) {
		if work(ctx, 30*time.Millisecond) != nil {
			return 504, nil, true
		}
		return 200, []byte("terms"), true
	}
	f.onArrive = func(s *server, r *run) {
		mu.Lock()
		ran = append(ran, arrival{r.id, r.at})
		mu.Unlock()
		f.record("server %s runs %s of tenant %s", r.server, r.id, r.tenant)
	}
	for i := range machines {
		f.addMachine("treaty-desk", fmt.Sprintf("zone-%c", 'a'+i%4), 94, serve)
	}
	f.publish("r3", service("treaty-desk"),
		resource("Routes", "terms", map[string]any{
			"Host": "desk.example", "Prefix": "/terms/", "Kind": "safe", "TimeoutS": 2, "TargetLatencyS": 1.5,
			"Priority": 2, "Service": "treaty-desk", "MaxAttempts": 1, "Public": false,
		}),
		resource("Tenants", "broker", map[string]any{"ApiKeys": []string{"brokerkey1"}, "Priority": 1, "RatePerS": rate, "Burst": burst}),
	)
	if err := f.start(ctx); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	client := newCaller(f.clientIP())
	losses := make(chan time.Time, lossCount)
	if trouble {
		for i := range lossCount {
			time.AfterFunc(usualFor+firstLoss+time.Duration(i)*lossGap, func() { losses <- time.Now() })
		}
	}
	var restart <-chan time.Time
	interval := func(perSecond float64) time.Duration { return time.Duration(float64(time.Second) / perSecond) }
	ticker := time.NewTicker(interval(usualPerSecond))
	defer ticker.Stop()
	begun, hot := time.Now(), false
	for n := 0; time.Since(begun) < usualFor+hotFor; n++ {
		if !hot && time.Since(begun) >= usualFor {
			hot = true
			ticker.Reset(interval(hotFactor * usualPerSecond))
			f.record("the tenant sends %.1f requests a second", hotFactor*usualPerSecond)
		}
		select {
		case <-losses:
			f.record("all processes are killed")
			for _, m := range f.machines {
				_ = m.node.Process.Signal(syscall.SIGKILL)
			}
			for _, m := range f.machines {
				_ = m.node.Wait()
			}
			restart = time.After(restartDelay)
			continue
		case <-restart:
			f.record("all processes are started again")
			for _, m := range f.machines {
				if err := f.startNode(m); err != nil {
					return verdict{}, err
				}
			}
			continue
		case <-ticker.C:
		case <-ctx.Done():
			return verdict{}, ctx.Err()
		}
		m := f.machines[n%machines]
		senders.Go(func() {
			a := client.send(ctx, m.outbound, request{method: "GET", host: "desk.example", path: "/terms/2f", key: "brokerkey1", limit: 2 * time.Second})
			mu.Lock()
			counts[a.status]++
			sent[a.id] = a.sent
			mu.Unlock()
			f.record("client sent %s to %s at %.3f and got %d", a.id, m.name, f.since(a.sent), a.status)
		})
	}
	senders.Wait()
	mu.Lock()
	defer mu.Unlock()
	most, from := 0, time.Time{}
	for _, first := range ran {
		start, n := sent[first.id], 0
		for _, other := range ran {
			if !sent[other.id].Before(start) && other.at.Before(start.Add(window)) {
				n++
			}
		}
		if n > most {
			most, from = n, start
		}
	}
	allowed := (rate*window.Seconds()+burst)*(1+overage) + slack
	if !trouble && most < burst {
		return verdict{}, fmt.Errorf("only %d requests ran in a window without the disruption", most)
	}
	return verdict{
		broken: float64(most) > allowed,
		text: fmt.Sprintf("%d requests of the tenant were sent and ran in the 5 s from %.3f, %.1f may; %d ran in all; by status (0: connection closed) %v",
			most, f.since(from), allowed, len(ran), counts),
	}, nil
}
