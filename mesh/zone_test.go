package mesh

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/follow"
	"github.com/toucancove/toucancove/internal/bubble"
)

// severableStore is the store as one node reaches it. While it is severed, calls that are
// pending and new ones get no response, also later.
type severableStore struct {
	*memoryStore
	severed atomic.Bool
}

func (s *severableStore) silence(ctx context.Context) error {
	if !s.severed.Load() {
		return nil
	}
	<-ctx.Done()
	return follow.ErrUnavailable
}

func (s *severableStore) Read(ctx context.Context) (follow.Snapshot, error) {
	if silent := s.silence(ctx); silent != nil {
		return follow.Snapshot{}, silent
	}
	snapshot, err := s.memoryStore.Read(ctx)
	if silent := s.silence(ctx); silent != nil {
		return follow.Snapshot{}, silent
	}
	return snapshot, err
}

func (s *severableStore) Watch(ctx context.Context, after catalog.Position, wait time.Duration) (follow.Changes, error) {
	if silent := s.silence(ctx); silent != nil {
		return follow.Changes{}, silent
	}
	changes, err := s.memoryStore.Watch(ctx, after, wait)
	if silent := s.silence(ctx); silent != nil {
		return follow.Changes{}, silent
	}
	return changes, err
}

// handlerTransport delivers RPCs to handlers in memory, by address.
type handlerTransport map[string]http.Handler

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	handler := h[r.URL.Host]
	if handler == nil {
		return nil, fmt.Errorf("no node at %s", r.URL.Host)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// followedZone is a zone of nodes that follow the store and serve each other's polls.
// No requests pass between them, so that none learns of a version from the data path.
type followedZone struct {
	store     *memoryStore
	stores    []*severableStore
	followers []*follow.Follower
}

func zoneConfiguration(version catalog.Version) *catalog.Definition {
	return &catalog.Definition{Version: version, Services: []catalog.Service{{Name: "desk"}}}
}

func startFollowedZone(t *testing.T, nodes int, applyWithin time.Duration) *followedZone {
	ctx, cancel := context.WithCancel(t.Context())
	z := &followedZone{store: &memoryStore{changed: make(chan struct{}), definition: zoneConfiguration(1)}}
	transport := handlerTransport{}
	for i := range nodes {
		address := fmt.Sprint("node-", i)
		z.store.instances = append(z.store.instances, catalog.Instance{ID: member.InstanceID(address), Service: "desk", Address: address, Zone: "z"})
		store := &severableStore{memoryStore: z.store}
		clients := newControlClients(logr.Discard())
		clients.http = &http.Client{Transport: transport}
		f := follow.New(follow.Config{
			Store: store, Peer: clients, Zone: "z", OwnAddress: address, FirstStart: true, ApplyWithin: applyWithin, OnChange: func(*follow.State) {},
			CountRefusedEra: func(int64) {}, Log: logr.Discard(),
			ControlAddress: func(i catalog.Instance) string { return i.Address },
		})
		transport[address] = newControlServer(&controlService{follower: f, leaving: &atomic.Bool{}}).Handler
		z.stores, z.followers = append(z.stores, store), append(z.followers, f)
	}
	z.store.publish(func(*memoryStore) {})
	for _, f := range z.followers {
		f.Start(ctx)
	}
	t.Cleanup(func() {
		cancel()
		for _, f := range z.followers {
			f.Wait()
		}
	})
	return z
}

// Two of a zone's nodes, the reader among them or not, lose their path to the store
// just before a configuration is published. The others still have theirs.
func TestZoneFollowsTheStoreWhileItsReaderIsCutOff(t *testing.T) {
	const nodes, phases = 4, 6
	for _, applyWithin := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		for first := range nodes {
			for second := range first {
				for phase := range phases {
					t.Run(fmt.Sprintf("%v, nodes %d and %d, phase %d", applyWithin, first, second, phase), func(t *testing.T) {
						bubble.Test(t, func(t *testing.T) {
							z := startFollowedZone(t, nodes, applyWithin)
							time.Sleep(10*time.Second + time.Duration(phase)*450*time.Millisecond)
							z.checkInForce(t, applyWithin, first, second)
						})
					})
				}
			}
		}
	}
}

// checkInForce cuts two nodes off from the store and checks that a configuration that
// is published then is in force on the others in time.
func (z *followedZone) checkInForce(t *testing.T, applyWithin time.Duration, first, second int) {
	t.Helper()
	z.stores[first].severed.Store(true)
	z.stores[second].severed.Store(true)
	z.store.publish(func(s *memoryStore) { s.definition = zoneConfiguration(2) })
	time.Sleep(applyWithin)
	for i, f := range z.followers {
		if i != first && i != second && f.State().Version() != 2 {
			t.Errorf("node %d has version %d, %v after version 2 was published", i, f.State().Version(), applyWithin)
		}
	}
}

// The store falls silent for all nodes. Calls that are under way then, and those made
// until the last moment before it is back, get no response at any time. What is
// published after it is back must be in force in time, or when its instability is no
// longer an excuse.
func TestZoneFollowsTheStoreAfterCallsLostInItsOutage(t *testing.T) {
	const (
		nodes       = 4
		applyWithin = 2 * time.Second
		stableAfter = 3 * time.Second
		step        = 150 * time.Millisecond
	)
	for _, silentFor := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 3300 * time.Millisecond} {
		for began := time.Duration(0); began < time.Second; began += step {
			for published := time.Duration(0); published <= stableAfter; published += 500 * time.Millisecond {
				t.Run(fmt.Sprintf("silent for %v from %v, published after %v", silentFor, began, published), func(t *testing.T) {
					bubble.Test(t, func(t *testing.T) {
						z := startFollowedZone(t, nodes, applyWithin)
						time.Sleep(10*time.Second + began)
						z.sever(true)
						time.Sleep(silentFor)
						z.sever(false)
						time.Sleep(published)
						z.store.publish(func(s *memoryStore) { s.definition = zoneConfiguration(2) })
						time.Sleep(max(applyWithin, stableAfter-published))
						for i, f := range z.followers {
							if f.State().Version() != 2 {
								t.Errorf("node %d has version %d", i, f.State().Version())
							}
						}
					})
				})
			}
		}
	}
}

// sever severs the store for all nodes, or ends that.
func (z *followedZone) sever(severed bool) {
	for _, s := range z.stores {
		s.severed.Store(severed)
	}
}
