// Package telemetry provides the node's logs and metrics. A Sampler limits the
// rate of log lines by kind of event; a BoundedWriter keeps a blocked log output
// from delaying requests.
package telemetry

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// NewLogger returns a logger that writes one line of key=value pairs for each
// event.
func NewLogger(w io.Writer, instance string) logr.Logger {
	handler := slog.NewTextHandler(w, &slog.HandlerOptions{Level: slog.LevelInfo})
	return logr.FromSlogHandler(handler).WithValues("instance", instance)
}
