// Package caller is a stand-in (test double) for callers: a load generator that
// sends an open-loop load with keys, checks that every response is complete and
// belongs to its request, and prints the outcomes of the requests.
package caller

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.yaml.in/yaml/v3"
)

// Flow is one kind of request at a steady average rate.
type Flow struct {
	// Class is the class that the requests are expected to have. It is not sent
	// and only labels the row of the table.
	Class string `yaml:"class"`
	// Workspace labels the row of the table.
	Workspace string `yaml:"workspace"`
	// Key is sent as bearer token with each request; empty for none.
	Key string `yaml:"key"`
	// Method and Path form the request.
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
	// Rate is the mean rate of Poisson arrivals, in requests a second.
	Rate float64 `yaml:"rate"`
	// Retries is the largest number of retries of a refused request, which are
	// sent without backoff.
	Retries int `yaml:"retries"`
}

// Config configures a run.
type Config struct {
	// Entries are the IP:port of the nodes' public listeners; each request is sent
	// to a random one.
	Entries []string `yaml:"entries"`
	// Duration is how long requests are sent.
	Duration time.Duration `yaml:"duration"`
	// Seed makes arrival times and the choice of entries reproducible.
	Seed uint64 `yaml:"seed"`
	// Flows are sent concurrently.
	Flows []Flow `yaml:"flows"`
}

// ParseConfig parses a configuration in YAML.
func ParseConfig(data []byte) (Config, error) {
	var config Config
	err := yaml.Unmarshal(data, &config)
	return config, err
}

// Row holds the outcomes of the requests of one flow. Refused counts refused and
// failed requests by the reason of their last attempt.
type Row struct {
	Flow      Flow
	Sent      int
	Completed int
	Refused   map[string]int
	// Broken counts responses that were truncated or belonged to another request.
	Broken  int
	latency *hdrhistogram.Histogram
}

// Quantile returns a percentile of the latency of the completed requests,
// without their earlier refused attempts.
func (r *Row) Quantile(percent float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Run sends all flows and returns a row for each when all requests have ended.
func Run(ctx context.Context, config Config) []*Row {
	client := newClient()
	defer client.CloseIdleConnections()
	rows := make([]*Row, len(config.Flows))
	var group sync.WaitGroup
	for i, flow := range config.Flows {
		rows[i] = newRow(flow)
		group.Add(1)
		go func() {
			defer group.Done()
			sender := &sender{client: client, entries: config.Entries, row: rows[i], index: i}
			sender.run(ctx, config.Duration, rand.New(rand.NewPCG(config.Seed, uint64(i))))
		}()
	}
	group.Wait()
	return rows
}

func newRow(flow Flow) *Row {
	const maxLatencyMicros, digits = 60_000_000, 3
	return &Row{Flow: flow, Refused: make(map[string]int), latency: hdrhistogram.New(1, maxLatencyMicros, digits)}
}

func newClient() *http.Client {
	const requestTimeout = 30 * time.Second
	return &http.Client{
		Timeout: requestTimeout,
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 512,
			DisableCompression:  true,
		},
	}
}

type sender struct {
	client  *http.Client
	entries []string
	index   int

	mu  sync.Mutex
	row *Row
}

// run sends requests at exponentially distributed intervals, whether or not
// earlier ones have ended (open loop).
func (s *sender) run(ctx context.Context, duration time.Duration, random *rand.Rand) {
	var group sync.WaitGroup
	end := time.Now().Add(duration)
	next := time.Now()
	for number := 0; ctx.Err() == nil; number++ {
		next = next.Add(time.Duration(random.ExpFloat64() / s.row.Flow.Rate * float64(time.Second)))
		if next.After(end) {
			break
		}
		time.Sleep(time.Until(next))
		entry := s.entries[random.IntN(len(s.entries))]
		group.Add(1)
		go func() {
			defer group.Done()
			s.send(ctx, entry, fmt.Sprintf("m%d-%d.", s.index, number))
		}()
	}
	group.Wait()
}

func (s *sender) send(ctx context.Context, entry, marker string) {
	s.count(func(row *Row) { row.Sent++ })
	for try := 0; ; try++ {
		started := time.Now()
		reason, broken := s.try(ctx, entry, marker)
		if reason == "" || broken || try >= s.row.Flow.Retries {
			s.finish(reason, broken, time.Since(started))
			return
		}
	}
}

func (s *sender) finish(reason string, broken bool, latency time.Duration) {
	s.count(func(row *Row) {
		switch {
		case broken:
			row.Broken++
		case reason != "":
			row.Refused[reason]++
		default:
			row.Completed++
			_ = row.latency.RecordValue(max(latency.Microseconds(), 1))
		}
	})
}

func (s *sender) count(change func(*Row)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.row)
}

// try sends the request once. It returns an empty reason for status 200, and
// broken if the response is truncated or belongs to another request.
func (s *sender) try(ctx context.Context, entry, marker string) (reason string, broken bool) {
	flow := s.row.Flow
	req, err := http.NewRequestWithContext(ctx, flow.Method, "http://"+entry+flow.Path, nil)
	if err != nil {
		return err.Error(), true
	}
	if flow.Key != "" {
		req.Header.Set("Authorization", "Bearer "+flow.Key)
	}
	req.Header.Set("X-Marker", marker)
	resp, err := s.client.Do(req)
	if err != nil {
		return "connection", false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "cut", true
	}
	if resp.StatusCode != http.StatusOK {
		reason = resp.Header.Get("Toucancove-Reason")
		if reason == "" {
			reason = fmt.Sprintf("status-%d", resp.StatusCode)
		}
		return reason, false
	}
	return "", !responseMatches(resp, string(body), marker)
}

// responseMatches reports whether a response is to the request with the marker: its
// header and all of its body repeat the marker.
func responseMatches(resp *http.Response, body, marker string) bool {
	if resp.Header.Get("X-Marker") != marker || body == "" {
		return false
	}
	repeated := strings.Repeat(marker, len(body)/len(marker)+1)
	return body == repeated[:len(body)]
}

// Print writes the table and reports whether no response was broken and every
// flow completed at least one request.
func Print(w io.Writer, rows []*Row) bool {
	ok := true
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "class\tworkspace\tsent\tcompleted\trefused\tbroken\tp50\tp99")
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\t%d\t%v\t%v\n", row.Flow.Class, row.Flow.Workspace,
			row.Sent, row.Completed, formatReasons(row.Refused), row.Broken, row.Quantile(50), row.Quantile(99))
		if row.Broken > 0 || row.Completed == 0 {
			ok = false
		}
	}
	_ = table.Flush()
	return ok
}

func formatReasons(refused map[string]int) string {
	if len(refused) == 0 {
		return "0"
	}
	var parts []string
	for reason, count := range refused {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, count))
	}
	sort.Strings(parts)
	return strings.Join(parts, ",")
}
