// Command standin plays one case of the review: it starts nodes of the project as
// separate processes, with a stand-in store, stand-in servers and clients, brings about
// the disruption of the case and checks its rule.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// testCase is one case. It returns whether the rule was broken and the texts that select
// the lines of the record that matter.
type testCase func(r *Record, trouble bool) (broken bool, keep []string, err error)

// cases holds the cases by name. Each file of a case adds its own.
var cases = make(map[string]testCase)

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// endWhenInterrupted ends all processes and exits with 2 at a signal or after the limit.
func endWhenInterrupted() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-interrupted:
	case <-time.After(limit):
	}
	fmt.Fprintln(os.Stderr, "the case was interrupted or took too long")
	killStarted()
	os.Exit(2)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	if _, err := os.Stat("target/toucancove"); err != nil {
		fmt.Fprintln(os.Stderr, "run it from the repository's root after the build of the deploy file:", err)
		os.Exit(2)
	}
	signal.Ignore(syscall.SIGPIPE)
	go endWhenInterrupted()
	record := NewRecord()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, keep, err := cases[os.Args[1]](record, trouble)
	if err != nil {
		record.Notef("the case could not run: %v", err)
	}
	if writeErr := record.Write(os.Args[2], keep); writeErr != nil {
		fmt.Fprintln(os.Stderr, writeErr)
		os.Exit(2)
	}
	switch {
	case err != nil:
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
