package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

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
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	if err := node.Run(ctx); err != nil {
		log.Error(err, "node failed")
		return 1
	}
	return 0
}
