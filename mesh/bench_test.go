package mesh

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
)

// BenchmarkPass measures a request that passes an entry, the guard beside another
// instance, and the instance. The client, both nodes and the instance share one
// process, and connections are reused.
func BenchmarkPass(b *testing.B) {
	r, _ := startRig(b, ok, ok)
	var number atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			id := number.Add(1)
			if got := r.send(int(id%2), "/safe/x", fmt.Sprint("b-", id), nil); got.status != http.StatusOK {
				b.Errorf("response %+v", got)
				return
			}
		}
	})
}
