package main

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// scriptTimeout bounds the total run time of the scripts.
const scriptTimeout = time.Minute

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"toucancove": main})
}

// TestScripts runs the scripts in testdata. Their environment contains OPERATOR,
// the address of an operator listener that responds with the path of the request,
// CLOSED, an address without a listener, and TAKEN, an address in use.
func TestScripts(t *testing.T) {
	operator := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(r.URL.Path))
	}))
	t.Cleanup(operator.Close) // scripts run in parallel, after this function
	closed := httptest.NewServer(nil)
	closed.Close()
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = taken.Close() })
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Deadline:            time.Now().Add(scriptTimeout),
		Cmds:                map[string]func(*testscript.TestScript, bool, []string){"expand": expand},
		Setup: func(env *testscript.Env) error {
			env.Setenv("OPERATOR", operator.Listener.Addr().String())
			env.Setenv("CLOSED", closed.Listener.Addr().String())
			env.Setenv("TAKEN", taken.Addr().String())
			return nil
		},
	})
}

// expand replaces the variables in files by their values.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}
