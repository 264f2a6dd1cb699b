// Package bubble runs tests in the virtual time of testing/synctest.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f in a bubble, as [synctest.Test] does, on a single processor.
//
// A channel timer that is due runs on the goroutine that reads the channel, and in a
// bubble all of them share one context of the race detector. Two goroutines that read
// due timers in parallel corrupt that context, and the process crashes in the race
// detector. Go 1.26 has this fault. Data races are found by the order of events, so the
// detector reports them on a single processor too.
//
// The number of processors is that of the process: tests that run in parallel with
// others must not use Test.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}

// Wait waits until every other goroutine of the bubble is durably blocked.
func Wait() {
	synctest.Wait()
}
