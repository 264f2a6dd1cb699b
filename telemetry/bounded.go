package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxPendingLines is the capacity of a writer's queue in lines.
const maxPendingLines = 1024

// BoundedWriter writes lines asynchronously and never blocks its callers: while
// the underlying writer blocks, lines that exceed the queue are dropped and
// counted.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewBoundedWriter returns a writer to w and starts its goroutine, which Close
// stops.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, maxPendingLines), done: make(chan struct{})}
	go b.run(w)
	return b
}

func (b *BoundedWriter) run(w io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		// There is no other place to report an error of the log output.
		_, _ = w.Write(line)
	}
}

// Write implements io.Writer for one line. It never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes the queued lines and stops the goroutine. Write must not be called
// afterwards.
func (b *BoundedWriter) Close() {
	b.once.Do(func() { close(b.lines) })
	<-b.done
}
