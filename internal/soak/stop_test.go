package soak

import (
	"sync"
	"syscall"
	"testing"
	"time"
)

// A planned stop must not end a connection whose request has been passed on to an
// instance, although clients go on sending until the process is gone.
func TestPlannedStopAnswersWhatItHasPassedOn(t *testing.T) {
	const (
		nodes   = 8
		clients = 3 // of each node
		rounds  = 4
		grace   = 6 * time.Second
		// think is the pause of a client between two requests. Longer ones leave
		// moments in which no request is in flight, but a next one is near.
		think = 4 * time.Millisecond
	)
	s := startWithGrace(t, 241, nodes, grace)
	s.maxWork = 2 * time.Millisecond
	stop := make(chan struct{})
	var group sync.WaitGroup
	for c := range nodes * clients {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(think):
					s.request(s.nodes[c%nodes], unmeteredKey, false)
				}
			}
		})
	}
	for round := range rounds {
		var ends []chan struct{}
		for _, n := range s.nodes[round%2*nodes/2:][:nodes/2] {
			ends = append(ends, n.signal(syscall.SIGTERM))
		}
		for _, ended := range ends {
			<-ended
		}
		s.waitServing(20 * time.Second)
	}
	close(stop)
	group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := 0
	for _, id := range s.unanswered {
		lost += s.runs[id]
	}
	if lost > 0 {
		t.Errorf("%d requests ran and their connections ended without an answer", lost)
	}
	t.Logf("%d requests sent, %d without an answer", s.sent.Load(), len(s.unanswered))
}
