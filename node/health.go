package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucancove/toucancove/internal/wellformed"
	"github.com/toucancove/toucancove/settings"
)

const (
	// healthInterval is the time between reads of the upstream's health and
	// load endpoints.
	healthInterval = time.Second
	// healthTimeout bounds one read.
	healthTimeout = time.Second
	// maxHealthBytes bounds the response body of an endpoint in bytes.
	maxHealthBytes = 4 << 10
	// drainNotice is how long a draining node continues to accept requests while
	// it announces that it is leaving, so that entries can route elsewhere first.
	// Afterwards it refuses new requests.
	drainNotice = 2 * time.Second
)

// loadReport is the response body of an upstream's load endpoint.
type loadReport struct {
	// Load is the utilization of the upstream's slots, from 0; the upstream
	// reports it.
	Load float64 `json:"load"`
}

// health polls the upstream's endpoints. Their reports can be late or wrong and
// are hints only: an upstream that fails its health check still receives
// requests, but one that reports draining receives no new ones.
type health struct {
	upstream settings.Upstream
	log      logr.Logger
	client   *http.Client
	onLoad   func(load float64)

	mu       sync.Mutex
	draining map[drainCause]time.Time // when draining started, by cause
}

// drainCause is the reason for which an instance accepts no new requests.
type drainCause string

const (
	drainStop     drainCause = "planned-stop"
	drainUpstream drainCause = "upstream-draining"
	drainListed   drainCause = "listed-as-leaving"
)

func newHealth(upstream settings.Upstream, log logr.Logger, onLoad func(load float64)) *health {
	return &health{
		upstream: upstream,
		log:      log,
		client:   &http.Client{Timeout: healthTimeout, Transport: wellformed.NewTransport(&http.Transport{}, maxHealthBytes)},
		onLoad:   onLoad,
		draining: make(map[drainCause]time.Time),
	}
}

// run polls until ctx ends.
func (h *health) run(ctx context.Context) {
	defer h.client.CloseIdleConnections()
	for ctx.Err() == nil {
		h.pollHealth(ctx)
		h.pollLoad(ctx)
		sleep(ctx, healthInterval)
	}
}

func (h *health) pollHealth(ctx context.Context) {
	if h.upstream.HealthPath == "" {
		return
	}
	status, _, err := h.get(ctx, h.upstream.HealthPath)
	if err != nil {
		return
	}
	h.setDraining(drainUpstream, status == http.StatusServiceUnavailable)
}

func (h *health) pollLoad(ctx context.Context) {
	if h.upstream.LoadPath == "" || h.onLoad == nil {
		return
	}
	status, body, err := h.get(ctx, h.upstream.LoadPath)
	if err != nil || status != http.StatusOK {
		return
	}
	var report loadReport
	if json.Unmarshal(body, &report) == nil && report.Load >= 0 {
		h.onLoad(report.Load)
	}
}

func (h *health) get(ctx context.Context, path string) (status int, body []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.upstream.Address+path, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxHealthBytes))
	return resp.StatusCode, body, err
}

// setDraining records whether the instance is draining for a cause.
func (h *health) setDraining(cause drainCause, draining bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, known := h.draining[cause]
	switch {
	case draining && !known:
		h.draining[cause] = time.Now()
		h.log.Info("draining started", "cause", cause)
	case !draining && known:
		delete(h.draining, cause)
		h.log.Info("draining stopped", "cause", cause)
	}
}

// drainState reports whether the instance announces that it is leaving and
// whether it refuses new requests. A planned stop refuses none: it closes its
// listeners instead.
func (h *health) drainState() (announce, refuse bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for cause, since := range h.draining {
		announce = true
		if cause != drainStop && now.Sub(since) > drainNotice {
			refuse = true
		}
	}
	return announce, refuse
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
