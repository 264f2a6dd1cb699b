package mesh

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/quarantine"
)

// quarantinePath puts the request that send sends to the path in quarantine on a node.
func (r *rig) quarantinePath(node int, path string) quarantine.Digest {
	d := quarantine.NewRequest([]byte(http.MethodPost), []byte("h"), []byte(path), []byte("big"), []byte("body"), false, 0).Digest()
	var marks []quarantine.Mark
	for boot := range 2 {
		marks = append(marks, quarantine.Mark{Digest: d, Crash: quarantine.Crash{Instance: member.InstanceID(fmt.Sprint("gone-", boot)), Boot: 1}, Age: time.Duration(boot) * time.Second})
	}
	r.nodes[node].quarantines.merge(marks, "test")
	return d
}

func (n *Node) isQuarantined(d quarantine.Digest) bool {
	n.quarantines.mu.Lock()
	defer n.quarantines.mu.Unlock()
	return n.quarantines.table.IsQuarantined(d)
}

func (n *Node) marks(d quarantine.Digest) []quarantine.Mark {
	n.quarantines.mu.Lock()
	defer n.quarantines.mu.Unlock()
	return n.quarantines.table.Marks(time.Now(), d)
}

func TestQuarantinedRequestIsRefusedAsNotRun(t *testing.T) {
	for _, kind := range []string{"safe", "once"} {
		r, servers := startRig(t, ok, ok)
		path := "/" + kind + "/lethal"
		r.quarantinePath(0, path)
		r.quarantinePath(1, path)
		response := r.send(0, path, "id", nil)
		if response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") != "60.000" {
			t.Errorf("%s: status %d with Retry-After %q, want 503 with 60.000", kind, response.status, response.header.Get("Retry-After"))
		}
		if n := servers[0].arrived.Load() + servers[1].arrived.Load(); n != 0 {
			t.Errorf("%s: %d requests arrived at instances", kind, n)
		}
		if got := r.send(0, path+"/other", "other", nil).status; got != http.StatusOK {
			t.Errorf("%s: another request got status %d, want 200", kind, got)
		}
	}
}

func TestQuarantineReachesNodesThatWereNotTold(t *testing.T) {
	r, _ := startRig(t, ok, ok, ok)
	d := r.quarantinePath(2, "/safe/lethal")
	for i := range r.nodes {
		r.eventually(fmt.Sprintf("node %d knows the request", i), func() bool { return r.nodes[i].isQuarantined(d) })
	}
}

// A client may send to a node from the moment at which it is ready.
func TestRestartedNodeKnowsQuarantineOnceItIsReady(t *testing.T) {
	for restarted := range 2 {
		r, _ := startRig(t, ok, ok)
		d := r.quarantinePath(0, "/safe/lethal")
		for i := range r.nodes {
			r.eventually(fmt.Sprintf("node %d knows the request", i), func() bool { return r.nodes[i].isQuarantined(d) })
		}
		r.restart(restarted)
		if !r.nodes[len(r.nodes)-1].isQuarantined(d) {
			t.Errorf("node %d is ready and does not know the request", restarted)
		}
	}
}

func TestOperatorLiftsQuarantineOnAllNodes(t *testing.T) {
	r, _ := startRig(t, ok, ok)
	d := r.quarantinePath(0, "/safe/lethal")
	r.eventually("the other node knows the request", func() bool { return r.nodes[1].isQuarantined(d) })
	if got := r.nodes[1].Status(time.Now()).Quarantine; len(got) != 2 || got[0].Digest != d.String() {
		t.Errorf("status %+v, want both crashes of the request", got)
	}
	crashes, err := LiftQuarantine(t.Context(), r.address(1, controlPort), d.String())
	if crashes != 2 || err != nil {
		t.Errorf("%d crashes, error %v; want 2", crashes, err)
	}
	for i := range r.nodes {
		r.eventually(fmt.Sprintf("node %d runs the request", i), func() bool { return !r.nodes[i].isQuarantined(d) })
	}
	if _, err := LiftQuarantine(t.Context(), r.address(1, controlPort), "not a digest"); err == nil {
		t.Error("an invalid digest is accepted")
	}
}
