package proxy

import (
	"context"
	"errors"
	"testing"

	"github.com/toucancove/toucancove/config"
)

// TestKeyWithdrawnBeforeRequestIsTracked guards against a request that runs
// with a withdrawn key: the key is withdrawn after it was checked, and
// CancelWithdrawn runs before the request is tracked.
func TestKeyWithdrawnBeforeRequestIsTracked(t *testing.T) {
	withKey := viewWithKey(t, "key-hakata-7f3a")
	withoutKey := viewWithKey(t, "another-key")
	calls := NewActiveCalls()
	calls.CancelWithdrawn(withoutKey)
	var refusal *Refusal
	call := &activeCall{workspace: "w", keyID: keyIDOf(t, withKey)}
	err := calls.admit(call, func() *config.View { return withoutKey })
	if !errors.As(err, &refusal) || refusal.Reason != ReasonKeyWithdrawn || calls.Len() != 0 {
		t.Fatalf("admit = %v with %d tracked, want a refusal for the withdrawn key", err, calls.Len())
	}
}

// TestKeyWithdrawnAfterRequestIsTracked checks that CancelWithdrawn cancels a
// tracked request only if its key was withdrawn.
func TestKeyWithdrawnAfterRequestIsTracked(t *testing.T) {
	withKey := viewWithKey(t, "key-hakata-7f3a")
	calls := NewActiveCalls()
	ctx, cancel := context.WithCancelCause(context.Background())
	call := &activeCall{workspace: "w", keyID: keyIDOf(t, withKey), cancel: cancel}
	if err := calls.admit(call, func() *config.View { return withKey }); err != nil {
		t.Fatal(err)
	}
	if n := calls.CancelWithdrawn(withKey); n != 0 || ctx.Err() != nil {
		t.Fatalf("%d cancelled although the key is valid", n)
	}
	if n := calls.CancelWithdrawn(viewWithKey(t, "another-key")); n != 1 || !errors.Is(context.Cause(ctx), errKeyWithdrawn) {
		t.Fatalf("%d cancelled, cause %v", n, context.Cause(ctx))
	}
}

func keyIDOf(t *testing.T, view *config.View) string {
	t.Helper()
	workspace, ok := view.Workspace("w")
	if !ok {
		t.Fatal("no workspace")
	}
	return workspace.Keys[0].Digest[len("sha256:") : len("sha256:")+8]
}
