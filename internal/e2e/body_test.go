package e2e

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"testing"
)

const (
	// fileBytes is the size of the transferred file.
	fileBytes = 256 << 20
	// maxNodeBytes is the limit on a node's peak resident memory, in bytes.
	maxNodeBytes = 64 << 20
)

// fileContent returns fileBytes of pseudo-random data, the same at each call.
func fileContent() io.Reader {
	return io.LimitReader(rand.NewChaCha8([32]byte{1}), fileBytes)
}

// digest returns the SHA-256 of what it reads, in hexadecimal.
func digest(t *testing.T, r io.Reader) string {
	t.Helper()
	hash := sha256.New()
	if _, err := io.Copy(hash, r); err != nil {
		t.Error(err)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// peakMemory returns the peak resident memory of a process (VmHWM), in bytes.
func peakMemory(t *testing.T, p *process) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, line, found := strings.Cut(string(status), "VmHWM:")
	var kilobytes int
	if _, err := fmt.Sscan(line, &kilobytes); err != nil || !found {
		t.Fatalf("no VmHWM in the status of the process: %v", err)
	}
	return kilobytes << 10
}

// TestLargeTransferUsesBoundedMemory uploads and downloads a file through two
// nodes and checks its digest and the peak resident memory of each node. It
// guards against nodes that buffer whole bodies.
func TestLargeTransferUsesBoundedMemory(t *testing.T) {
	t.Parallel()
	up := handlerUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			_, _ = io.WriteString(w, digest(t, r.Body))
			return
		}
		if r.URL.Path == "/files/length" {
			w.Header().Set("Content-Length", fmt.Sprint(fileBytes))
		}
		if r.URL.Path != "/ready" {
			_, _ = io.Copy(w, fileContent())
		}
	})
	f := startFleet(t, "claims="+up, "treaty="+up)
	want := digest(t, fileContent())
	for _, framing := range []string{"length", "chunks"} {
		url := "http://" + f.nodes[0].public + "/treaty/files/" + framing
		upload, _ := http.NewRequest(http.MethodPut, url, fileContent())
		if framing == "length" {
			upload.ContentLength = fileBytes
		}
		download, _ := http.NewRequest(http.MethodGet, url, nil)
		for _, req := range []*http.Request{upload, download} {
			req.Header.Set("X-Api-Key", hakataKey)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			got := ""
			if req.Method == http.MethodPut {
				body, _ := io.ReadAll(resp.Body)
				got = string(body)
			} else {
				got = digest(t, resp.Body)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK || got != want {
				t.Errorf("%s %s: status %d, digest %.80s; want %s", req.Method, framing, resp.StatusCode, got, want)
			}
		}
	}
	for _, n := range f.nodes {
		peak := peakMemory(t, n.process)
		t.Logf("%s: peak resident memory %.1f MB", n.id, float64(peak)/(1<<20))
		if peak >= maxNodeBytes {
			t.Errorf("%s: peak resident memory %d bytes; want under %d", n.id, peak, maxNodeBytes)
		}
	}
}
