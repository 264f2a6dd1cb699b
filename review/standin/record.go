package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record collects what happened in a case, in the order of time.
type Record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
	// notes are printed before the lines.
	notes []string
}

// NewRecord returns an empty record whose clock starts now.
func NewRecord() *Record { return &Record{start: time.Now()} }

// Now returns the time since the start of the record.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Addf adds a line with the present time.
func (r *Record) Addf(format string, args ...any) {
	line := fmt.Sprintf("%9.4f  %s", r.Now().Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

// Notef adds a line to the summary at the top, and prints it.
func (r *Record) Notef(format string, args ...any) {
	note := fmt.Sprintf(format, args...)
	fmt.Println(note)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, note)
}

// Write writes the record to a file. Of the lines it keeps those that contain one of
// the texts in keep, and all if keep is empty.
func (r *Record) Write(path string, keep []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out strings.Builder
	for _, note := range r.notes {
		out.WriteString(note + "\n")
	}
	out.WriteString("\nseconds    event\n")
	dropped := 0
	for _, line := range r.lines {
		if !containsAny(line, keep) {
			dropped++
			continue
		}
		out.WriteString(line + "\n")
	}
	if dropped > 0 {
		fmt.Fprintf(&out, "(%d lines about other requests left out)\n", dropped)
	}
	return os.WriteFile(path, []byte(out.String()), 0o644)
}

func containsAny(line string, texts []string) bool {
	if len(texts) == 0 {
		return true
	}
	for _, text := range texts {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}
