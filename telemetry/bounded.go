package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
)

// boundedLines is the number of lines that may wait to be written.
const boundedLines = 1024

// BoundedWriter writes lines from a goroutine of its own and never blocks its
// callers: while the writer below is stuck, lines beyond a bound are dropped and
// counted.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewBoundedWriter returns a writer on top of w.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, boundedLines), done: make(chan struct{})}
	go b.run(w)
	return b
}

func (b *BoundedWriter) run(w io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		// A log that can't be written has nowhere to report it.
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

// Dropped returns the number of lines that were dropped.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits. Write must not be called after it.
func (b *BoundedWriter) Close() {
	b.once.Do(func() { close(b.lines) })
	<-b.done
}
