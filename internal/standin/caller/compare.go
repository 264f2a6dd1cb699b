package caller

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

// CompareConfig configures a comparison of direct calls to an upstream with calls
// through nodes.
type CompareConfig struct {
	// Direct and Via are URLs of the same upstream, without and with nodes between.
	Direct, Via string
	// Key is sent with the calls through nodes.
	Key string
	// Rate is in calls a second to each of the two URLs.
	Rate int
	// Calls are sent for Warmup and then for Duration; only the latter are measured.
	Warmup, Duration time.Duration
}

// path is one of the two paths to the upstream, direct and through nodes, with its
// measurements.
type path struct {
	name    string
	url     string
	key     string
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	failed  atomic.Int64
}

// Compare sends calls to both URLs at a constant rate and prints the percentiles
// of their latencies and the differences of these. It fails if a call failed.
func Compare(w io.Writer, config CompareConfig) error {
	const maxLatencyMicros, digits = 10_000_000, 3
	pair := []*path{
		{name: "direct", url: config.Direct, latency: hdrhistogram.New(1, maxLatencyMicros, digits)},
		{name: "via nodes", url: config.Via, key: config.Key, latency: hdrhistogram.New(1, maxLatencyMicros, digits)},
	}
	client := &fasthttp.Client{MaxConnsPerHost: 1024, NoDefaultUserAgentHeader: true}
	sendAtConstantRate(client, pair, config)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "way\tcalls\tfailed\tp50 us\tp90 us\tp99 us\tp99.9 us")
	for _, path := range pair {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", path.name, path.latency.TotalCount(), path.failed.Load(),
			path.latency.ValueAtQuantile(50), path.latency.ValueAtQuantile(90),
			path.latency.ValueAtQuantile(99), path.latency.ValueAtQuantile(99.9))
	}
	added := func(q float64) int64 { return pair[1].latency.ValueAtQuantile(q) - pair[0].latency.ValueAtQuantile(q) }
	_, _ = fmt.Fprintf(table, "added\t\t\t%d\t%d\t%d\t%d\n", added(50), added(90), added(99), added(99.9))
	_ = table.Flush()
	if failed := pair[0].failed.Load() + pair[1].failed.Load(); failed > 0 {
		return fmt.Errorf("%d calls failed or had a status other than 200", failed)
	}
	return nil
}

func sendAtConstantRate(client *fasthttp.Client, paths []*path, config CompareConfig) {
	interval := time.Second / time.Duration(config.Rate)
	started := time.Now()
	measureFrom := started.Add(config.Warmup)
	end := measureFrom.Add(config.Duration)
	var group sync.WaitGroup
	for next := started; next.Before(end); next = next.Add(interval) {
		time.Sleep(time.Until(next))
		for _, path := range paths {
			group.Add(1)
			go func() {
				defer group.Done()
				path.call(client, measureFrom)
			}()
		}
	}
	group.Wait()
}

func (p *path) call(client *fasthttp.Client, measureFrom time.Time) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(p.url)
	if p.key != "" {
		req.Header.Set("X-Api-Key", p.key)
	}
	started := time.Now()
	err := client.Do(req, resp)
	elapsed := time.Since(started)
	if err != nil || resp.StatusCode() != fasthttp.StatusOK {
		p.failed.Add(1)
		return
	}
	if started.Before(measureFrom) {
		return
	}
	p.mu.Lock()
	_ = p.latency.RecordValue(elapsed.Microseconds())
	p.mu.Unlock()
}
