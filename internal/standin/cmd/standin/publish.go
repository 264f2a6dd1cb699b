package main

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/internal/standin/observer"
	client "github.com/toucancove/toucancove/valuestore"
)

// spreadTimeout bounds the wait until all nodes hold a revision.
const spreadTimeout = time.Minute

// publish publishes each YAML file below root as the value named by its path
// relative to root, without the extension.
func publish(address, root string) error {
	return filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".yaml" {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		return publishFile(address, strings.TrimSuffix(filepath.ToSlash(relative), ".yaml"), path)
	})
}

func publishFile(address, name, path string) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	_, err = publishValue(address, name, body)
	return err
}

// publishValue publishes a value and returns the revision that the platform
// assigned to it.
func publishValue(address, name string, body []byte) (config.Revision, error) {
	req, err := http.NewRequest(http.MethodPut, "http://"+address+"/admin/values/"+name, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return 0, fmt.Errorf("publish %s: status %d", name, resp.StatusCode)
	}
	revision, err := strconv.ParseUint(resp.Header.Get(client.RevisionHeader), 10, 64)
	return config.Revision(revision), err
}

// spread publishes a value several times and prints how long the median and the
// last node took to hold each revision.
func spread(address, name, path string, times int, operators []string) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	for range times {
		revision, err := publishValue(address, name, body)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
		durations, err := observer.Await(ctx, operators, name, revision)
		cancel()
		if err != nil {
			return err
		}
		slices.Sort(durations)
		fmt.Printf("nodes=%d value=%s bytes=%d median=%v last=%v\n", len(durations), name, len(body),
			durations[len(durations)/2].Round(time.Millisecond), durations[len(durations)-1].Round(time.Millisecond))
	}
	return nil
}
