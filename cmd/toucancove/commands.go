package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"regexp"
	"strconv"
	"syscall"
	"time"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/mesh"
	"github.com/toucancove/toucancove/node"
	"github.com/toucancove/toucancove/settings"
	"github.com/toucancove/toucancove/telemetry"
)

// statusTimeout bounds the wait for a node's response.
const statusTimeout = 5 * time.Second

// maxKeyBytes is the maximum size of a key in bytes.
const maxKeyBytes = 4096

func fail(err error) int {
	fmt.Fprintf(os.Stderr, "toucancove: %v\n", err)
	return exitUsage
}

// runNode runs the node until the first signal, which starts a planned stop; a
// second signal ends it at once.
func runNode(path string) int {
	parsed, err := settings.Load(path)
	if err != nil {
		return fail(err)
	}
	log := telemetry.NewLogger(os.Stderr, string(parsed.Instance))
	n, err := node.New(parsed, log)
	if err != nil {
		return fail(err)
	}
	graceful, force := signalContexts()
	if err := n.Run(graceful, force); err != nil {
		log.Error(err, "node failed")
		return 1
	}
	return 0
}

// signalContexts returns a context that the first SIGTERM or SIGINT cancels, and
// one that the second cancels.
func signalContexts() (first, second context.Context) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	first, cancelFirst := context.WithCancel(context.Background())
	second, cancelSecond := context.WithCancel(context.Background())
	go func() {
		<-signals
		cancelFirst()
		<-signals
		cancelSecond()
	}()
	return first, second
}

var revisionLine = regexp.MustCompile(`(?m)^revision:\s*(\d+)\s*$`)

// checkConfig validates a value in the same way as a node. A file without a
// revision is checked as revision 1, since the platform assigns revisions.
func checkConfig(name, path string) int {
	body, err := os.ReadFile(path)
	if err != nil {
		return fail(err)
	}
	revision := config.Revision(1)
	if match := revisionLine.FindSubmatch(body); match != nil {
		number, err := strconv.ParseUint(string(match[1]), 10, 64)
		if err != nil {
			return fail(fmt.Errorf("%s: revision: %w", path, err))
		}
		revision = config.Revision(number)
	} else {
		body = append(body, "\nrevision: 1\n"...)
	}
	if _, err := config.Parse(name, body, revision); err != nil {
		return fail(fmt.Errorf("%s: %w", path, err))
	}
	fmt.Printf("%s: valid as %s\n", path, name)
	return 0
}

// showStatus prints the status of a running node.
func showStatus(address string) int {
	client := &http.Client{Timeout: statusTimeout}
	response, err := client.Get("http://" + address + "/status")
	if err != nil {
		return fail(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		return fail(err)
	}
	return 0
}

// liftQuarantine takes a request out of quarantine, and prints how many crashes counted
// against it.
func liftQuarantine(control, digest string) int {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	crashes, err := mesh.LiftQuarantine(ctx, control, digest)
	if err != nil {
		return fail(err)
	}
	fmt.Printf("%s: %d crashes cleared\n", digest, crashes)
	return 0
}

// keyDigest reads a key from standard input and prints its digest, the form in
// which keys are published.
func keyDigest() int {
	key, err := io.ReadAll(io.LimitReader(os.Stdin, maxKeyBytes+1))
	if err != nil {
		return fail(err)
	}
	key = bytes.TrimRight(key, "\r\n")
	if len(key) == 0 || len(key) > maxKeyBytes {
		return fail(fmt.Errorf("a key has 1 to %d bytes", maxKeyBytes))
	}
	sum := sha256.Sum256(key)
	fmt.Printf("sha256:%s\n", hex.EncodeToString(sum[:]))
	return 0
}
