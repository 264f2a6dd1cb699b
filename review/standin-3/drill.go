//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// drill: a server reports that it is draining, the node beside it is killed and starts
// again, and a few seconds later the store comes back from a copy of before the report.
func drill(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	const (
		perSecond = 120
		workTime  = 150 * time.Millisecond
		// Times after the confirmation of the report.
		copyBefore = time.Second
		killAfter  = 200 * time.Millisecond
		startAfter = 400 * time.Millisecond
		awayAfter  = 4600 * time.Millisecond
		awayFor    = 100 * time.Millisecond
		exitAfter  = 5500 * time.Millisecond
		length     = 10 * time.Second
	)
	var (
		mu       sync.Mutex
		origin   = map[string]*machine{}
		leftAt   time.Time
		inTouch  time.Time // of the machine that is restarted
		late     = map[string]bool{}
		lastLate time.Duration
		known    int // arrivals from the restarted machine between its return and the drill
		counts   = map[int]int{}
		lost     int
		senders  sync.WaitGroup
	)
	serve := func(ctx context.Context, s *server, r *run) (int, []byte, bool) {
		if work(ctx, workTime) != nil {
			return 504, nil, true
		}
		return 200, []byte("settled"), true
	}
	for i := range 9 {
		f.addMachine("claims-ledger", fmt.Sprintf("zone-%c", 'a'+i%2), 140, serve)
	}
	leaving := f.addMachine("claims-ledger", "zone-c", 140, serve)
	f.onArrive = func(s *server, r *run) {
		mu.Lock()
		defer mu.Unlock()
		f.record("server %s runs %s", r.server, r.id)
		if s != leaving.server || leftAt.IsZero() {
			return
		}
		after := r.at.Sub(leftAt)
		from := origin[r.id]
		if from == leaving && after > startAfter+time.Second && after < awayAfter {
			known++
		}
		if after > drainTimeout && (from != leaving || r.at.After(inTouch)) {
			late[r.id] = true
			lastLate = max(lastLate, after)
			f.record("%s, sent to %s, reaches the leaving server %.3f s after the confirmation", r.id, from.name, after.Seconds())
		}
	}
	f.publish("r3", service("claims-ledger"),
		resource("Routes", "post", map[string]any{
			"Host": "claims.example", "Prefix": "/claims/", "Kind": "unsafe", "TimeoutS": 2, "TargetLatencyS": 1.5,
			"Priority": 0, "Service": "claims-ledger", "MaxAttempts": 2, "Public": false,
		}),
		resource("Tenants", "cedant", map[string]any{"ApiKeys": []string{"cedantkey1"}, "Priority": 1, "RatePerS": 0, "Burst": 0}),
	)
	if err := f.start(ctx); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	client := newCaller(f.clientIP())
	events := make(chan func() error, 8)
	at := func(d time.Duration, do func() error) { time.AfterFunc(d, func() { events <- do }) }
	begun := time.Now()
	const report = 2 * time.Second // after begun
	at(report-copyBefore, func() error { f.store.backup(); return nil })
	at(report, func() error {
		leaving.server.drain()
		mu.Lock()
		leftAt = time.Now()
		inTouch = leftAt
		mu.Unlock()
		f.record("the store has confirmed that server %s is draining", leaving.server.currentID())
		return nil
	})
	if trouble {
		at(report+killAfter, func() error {
			f.record("the node of %s is killed", leaving.name)
			_ = leaving.node.Process.Signal(syscall.SIGKILL)
			return leaving.node.Wait()
		})
		at(report+startAfter, func() error {
			f.record("the node of %s is started", leaving.name)
			mu.Lock()
			inTouch = time.Now().Add(stabilityWindow)
			mu.Unlock()
			return f.startNode(leaving)
		})
		at(report+awayAfter, func() error { f.store.setAway(true); f.record("the store is away"); return nil })
		at(report+awayAfter+awayFor, func() error {
			f.store.restore()
			f.store.setAway(false)
			f.record("the store is back from the copy")
			return nil
		})
	}
	at(report+exitAfter, func() error {
		f.record("server %s exits", leaving.server.currentID())
		leaving.server.exit()
		return leaving.node.Process.Signal(syscall.SIGTERM)
	})
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for n := 0; time.Since(begun) < length; n++ {
		select {
		case do := <-events:
			_ = do() // an error of Wait is that of the signal
			continue
		case <-ticker.C:
		case <-ctx.Done():
			return verdict{}, ctx.Err()
		}
		m := f.machines[n%len(f.machines)]
		if m == leaving && time.Since(begun) > report+exitAfter {
			continue // its clients go with it
		}
		senders.Go(func() {
			a := client.sendAs(ctx, m.outbound, request{
				method: "POST", host: "claims.example", path: "/claims/2f", key: "cedantkey1", body: make([]byte, 1200), limit: 2 * time.Second,
			}, func(id string) {
				mu.Lock()
				origin[id] = m
				mu.Unlock()
			})
			mu.Lock()
			counts[a.status]++
			if late[a.id] && a.status != 200 {
				lost++
			}
			mu.Unlock()
			f.record("client sent %s to %s at %.3f and got %d", a.id, m.name, f.since(a.sent), a.status)
		})
	}
	senders.Wait()
	mu.Lock()
	defer mu.Unlock()
	if total := len(origin); !trouble && counts[200] < total*95/100 {
		return verdict{}, fmt.Errorf("only %d of %d requests served without the disruption", counts[200], total)
	}
	return verdict{
		broken: len(late) > 0,
		text: fmt.Sprintf("%d requests reached the leaving server later than DrainTimeoutS after the confirmation, the last %.3f s after it; %d of them lost as it exited; %d from the restarted machine in the seconds before the drill; by status (0: connection closed) %v",
			len(late), lastLate.Seconds(), lost, known, counts),
	}, nil
}
