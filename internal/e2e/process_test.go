// Package e2e tests the guarantees of a fleet end to end, with real node
// processes on loopback. The platform stand-in runs in the test process. An
// upstream is a stand-in process where a test kills or suspends it, and a handler
// in the test process where a test inspects raw requests or sends raw responses.
//
// The tests use these terms: an entry is the node that receives a caller's
// request, a run is one execution of a request at an upstream, and a marker is
// the X-Marker header that identifies a request at the upstream. A refusal is a
// response in which a node states a reason and whether the request ran.
// A pass is the signed token that a request carries between nodes in place of the
// caller's key. A ticket is a token with which a request runs at most once.
package e2e

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// waitLimit bounds the wait for a condition.
	waitLimit = 30 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 10 * time.Millisecond
	// firstPort and lastPort bound the ports of listeners. They lie below the
	// system's ephemeral ports, which it assigns to outgoing connections.
	firstPort, lastPort = 18000, 32000
)

// binaryDir holds the binaries under test.
var binaryDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the binaries, runs the tests and returns the exit status.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir,
		"github.com/toucancove/toucancove/cmd/toucancove",
		"github.com/toucancove/toucancove/internal/standin/cmd/standin")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	binaryDir = dir
	go startProcesses()
	return m.Run()
}

// process is a child process of the test.
type process struct {
	name   string
	cmd    *exec.Cmd
	output lockedBuffer
	exited chan struct{}
}

// startQueue passes the functions that start a process to startProcesses.
var startQueue = make(chan func())

// startProcesses starts every process from one OS thread that lives as long as
// the test process: with Pdeathsig set, the kernel kills a child when the thread
// that started it ends. So no child outlives the tests, even if they panic.
func startProcesses() {
	runtime.LockOSThread()
	for start := range startQueue {
		start()
	}
}

// startProcess runs one of the two binaries until the test ends.
func startProcess(t *testing.T, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(filepath.Join(binaryDir, binary), args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	startQueue <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Logf("%s: %s", name, p.output.tail())
		}
	})
	return p
}

func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("signal %v to %s: %v", s, p.name, err)
	}
}

// exitCode waits for the process to end and returns its exit status.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(waitLimit):
		t.Fatalf("%s did not exit in time", p.name)
		return -1
	}
}

// lockedBuffer collects the output of a process.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// tail returns the last lines of the output.
func (b *lockedBuffer) tail() string {
	const lines = 12
	all := strings.Split(strings.TrimSpace(b.String()), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// waitFor polls a condition until it holds and fails the test after waitLimit.
// what describes the condition.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for a condition: %s", what)
		}
	}
}

// lastUsedPort is a counter from which freeAddress derives the next port.
var lastUsedPort atomic.Int32

// freeAddress returns a loopback address without a listener.
func freeAddress(t *testing.T) string {
	t.Helper()
	lastUsedPort.CompareAndSwap(0, int32(firstPort+os.Getpid()*64%(lastPort-firstPort)))
	for range lastPort - firstPort {
		port := int(lastUsedPort.Add(1))%(lastPort-firstPort) + firstPort
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = listener.Close()
			return listener.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}
