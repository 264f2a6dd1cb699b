package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucancove/toucancove/mesh"
	"github.com/toucancove/toucancove/platform"
	"github.com/toucancove/toucancove/settings"
	"github.com/toucancove/toucancove/telemetry"
)

// memoryShare is the part of the memory limit that the runtime aims to stay
// under; buffers of the kernel need the rest.
const memoryShare = 0.7

// runMesh runs a node of a mesh until a signal ends it.
func runMesh(path string) int {
	parsed, err := settings.LoadMesh(path)
	if err != nil {
		return fail(err)
	}
	bounds, err := platform.DecodeBounds(parsed.Bounds)
	if err != nil {
		return fail(err)
	}
	if parsed.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(parsed.MemoryMB<<20)))
	}
	output := telemetry.NewBoundedWriter(os.Stdout)
	defer output.Close()
	log := telemetry.NewLogger(output, parsed.Node)
	store, err := platform.NewStore(parsed.Store, log)
	if err != nil {
		return fail(err)
	}
	node, err := mesh.New(mesh.Config{
		Node: parsed.Node, Zone: parsed.Zone, Service: parsed.Service, Upstream: parsed.Upstream,
		Listen: mesh.Listen(parsed.Listen), Seeds: parsed.Seeds, Headers: platform.Headers(), Store: store,
		Quota: bounds.Quota, Retries: bounds.Retries, Grace: bounds.Grace, Log: log,
	})
	if err != nil {
		return fail(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	go reloadMesh(ctx, path, node, log)
	if err := node.Run(ctx); err != nil {
		log.Error(err, "node failed")
		return 1
	}
	return 0
}

// reloadMesh reads the settings again on SIGHUP, and when the file has changed
// without one. Limits apply at once; addresses apply with the next start.
func reloadMesh(ctx context.Context, path string, node *mesh.Node, log logr.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(settings.ReloadInterval)
	defer ticker.Stop()
	changed := modified(path)
	for {
		cause := "SIGHUP"
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if modified(path).Equal(changed) {
				continue
			}
			cause = "file changed"
		}
		changed = modified(path)
		if err := applyMesh(path, node); err != nil {
			log.Info("settings rejected, the last ones stay", "cause", cause, "reason", err.Error())
			continue
		}
		log.Info("settings read again", "cause", cause)
	}
}

// modified returns when the file was last changed, zero if it can't be seen.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func applyMesh(path string, node *mesh.Node) error {
	parsed, err := settings.LoadMesh(path)
	if err != nil {
		return err
	}
	bounds, err := platform.DecodeBounds(parsed.Bounds)
	if err != nil {
		return err
	}
	node.SetBounds(bounds.Quota, bounds.Retries)
	return nil
}
