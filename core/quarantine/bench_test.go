package quarantine

import (
	"fmt"
	"testing"
)

// BenchmarkRun measures what the gate adds to a request that is served, with a table of
// a number of marked requests.
func BenchmarkRun(b *testing.B) {
	for _, marked := range []int{0, 1, maxRequests} {
		b.Run(fmt.Sprint(marked, " marked"), func(b *testing.B) {
			table := NewTable(1)
			for i := range marked {
				table.Add(start, Mark{Digest: request(fmt.Sprint("/marked/", i)).Digest(), Crash: crashOf(fmt.Sprint("i-", i))})
			}
			g := NewGate(table)
			g.Started(start, crashOf("i-0"))
			path := []byte("/treaty-terms/1f?of=2026")
			b.ReportAllocs()
			for b.Loop() {
				r := NewRequest([]byte("GET"), []byte("hulo84.example"), path, []byte("pulo780"), nil, false, 0)
				g.Check(start, r)
				run, _, _ := g.Begin(start, r)
				g.Served(start, run)
			}
		})
	}
}
