package telemetry

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// A blocked output, for example a full pipe, must not block the callers: lines
// are dropped and counted.
func TestBlockedOutputDropsLines(t *testing.T) {
	blocked := &blockedWriter{release: make(chan struct{})}
	w := NewBoundedWriter(blocked)
	const lines = 3 * maxPendingLines
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range lines {
			if n, err := fmt.Fprintf(w, "line %d\n", i); err != nil || n == 0 {
				t.Errorf("write: %d bytes, error %v", n, err)
			}
		}
	}()
	<-written
	if dropped := w.Dropped(); dropped < lines-maxPendingLines-1 {
		t.Errorf("%d lines dropped, want all above %d", dropped, maxPendingLines)
	}
	close(blocked.release)
	w.Close()
	blocked.mu.Lock()
	defer blocked.mu.Unlock()
	if got := bytes.Count(blocked.written.Bytes(), []byte("\n")); int64(got)+w.Dropped() != lines {
		t.Errorf("%d lines written and %d dropped of %d", got, w.Dropped(), lines)
	}
}

func TestSamplerLimitsEachKindAndCountsSuppressed(t *testing.T) {
	s := NewSampler(10, 5)
	now := time.Unix(1000, 0)
	allowed := 0
	for range 1000 {
		if _, ok := s.Allow(now, "refused"); ok {
			allowed++
		}
	}
	if allowed != 5 {
		t.Errorf("%d lines at once, want the burst of 5", allowed)
	}
	if _, ok := s.Allow(now, "lost"); !ok {
		t.Error("a line of another kind was suppressed")
	}
	suppressed, ok := s.Allow(now.Add(time.Second), "refused")
	if !ok || suppressed != 995 {
		t.Errorf("%d suppressed, allowed %v; want 995 counted with the next line", suppressed, ok)
	}
}
