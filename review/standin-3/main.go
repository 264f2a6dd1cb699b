//go:build review

// The program of the scripts of review 3: it plays one case with the project's own nodes
// as separate processes, and exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

func main() {
	runtime.LockOSThread() // it starts the nodes, which end with their parent's thread
	cases := map[string]func(context.Context, *fleet, bool) (verdict, error){
		"lethal-upload": lethalUpload,
		"fleet-losses":  fleetLosses,
		"drill":         drill,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[2], cases[os.Args[1]]))
}

func play(recordPath string, run func(context.Context, *fleet, bool) (verdict, error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 110*time.Second)
	defer cancel()
	f, err := newFleet(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.stop()
	v, err := run(ctx, f, os.Getenv("TROUBLE") != "0")
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		f.record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f.record("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return 1
	}
	return 0
}
