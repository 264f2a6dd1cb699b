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

// memoryLimitShare is the share of MemoryMB that is set as the soft memory
// limit of the Go runtime. The kernel's buffers need the rest.
const memoryLimitShare = 0.7

// runMesh runs a node of a mesh until SIGTERM or SIGINT.
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
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(parsed.MemoryMB<<20)))
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
		Listen: mesh.Listen(parsed.Listen), Seeds: parsed.Seeds, FirstStart: parsed.FirstStart, Headers: platform.Headers(), Store: store,
		Quota: bounds.Quota, Retries: bounds.Retries, Grace: bounds.Grace, ApplyWithin: bounds.ApplyWithin, Log: log,
	})
	if err != nil {
		return fail(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	go reloadSettings(ctx, path, node, log)
	if err := node.Run(ctx); err != nil {
		log.Error(err, "node failed")
		return 1
	}
	return 0
}

// reloadSettings reloads the settings on SIGHUP and when the file has changed.
// Limits apply at once; changed addresses apply after a restart.
func reloadSettings(ctx context.Context, path string, node *mesh.Node, log logr.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(settings.ReloadInterval)
	defer ticker.Stop()
	lastModified := modTime(path)
	for {
		cause := "SIGHUP"
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if modTime(path).Equal(lastModified) {
				continue
			}
			cause = "file changed"
		}
		lastModified = modTime(path)
		if err := applySettings(path, node); err != nil {
			log.Info("settings rejected, keeping the previous ones", "cause", cause, "reason", err.Error())
			continue
		}
		log.Info("settings reloaded", "cause", cause)
	}
}

// modTime returns the modification time of the file, or zero if stat fails.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// applySettings reads the settings file and applies its limits to the node.
func applySettings(path string, node *mesh.Node) error {
	parsed, err := settings.LoadMesh(path)
	if err != nil {
		return err
	}
	bounds, err := platform.DecodeBounds(parsed.Bounds)
	if err != nil {
		return err
	}
	node.SetBounds(bounds.Quota, bounds.Retries, bounds.ApplyWithin)
	return nil
}
