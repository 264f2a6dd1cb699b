// Package observer polls the status of many nodes to measure how long a
// published value takes to be in force on all of them.
package observer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/toucancove/toucancove/config"
)

const (
	// pollInterval is the time between two status requests to one node.
	pollInterval = 10 * time.Millisecond
	// requestTimeout bounds one status request.
	requestTimeout = 2 * time.Second
)

// status is the part of a node's status that the observer needs.
type status struct {
	Configuration struct {
		Revisions []config.NamedRevision `json:"revisions"`
	} `json:"configuration"`
}

// Await waits until all nodes hold the named value at the revision or a higher
// one, and returns the time that each took, in the order of operators, the
// IP:port of the nodes' operator listeners.
func Await(ctx context.Context, operators []string, name string, revision config.Revision) ([]time.Duration, error) {
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	started := time.Now()
	times := make([]time.Duration, len(operators))
	var group sync.WaitGroup
	for i, operator := range operators {
		group.Go(func() {
			for ctx.Err() == nil && !holds(ctx, client, operator, name, revision) {
				time.Sleep(pollInterval)
			}
			times[i] = time.Since(started)
		})
	}
	group.Wait()
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("value %s at revision %d is not in force on all nodes: %w", name, revision, err)
	}
	return times, nil
}

func holds(ctx context.Context, client *http.Client, operator, name string, revision config.Revision) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+"/status", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var s status
	if json.NewDecoder(resp.Body).Decode(&s) != nil {
		return false
	}
	for _, value := range s.Configuration.Revisions {
		if value.Name == name {
			return value.Revision >= revision
		}
	}
	return false
}
