package mesh

import (
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/core/catalog"
)

// An instance that refuses connections has not received the request, so that it does
// not count as one of those that a request may be sent to.
func TestRefusedConnectionIsNotCountedAsSent(t *testing.T) {
	r, _ := startRig(t, ok)
	r.startNode(1) // without an instance beside it
	r.waitReady(1, http.StatusOK)
	state := r.nodes[0].follower.State()
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	out.SetRequestURI("/once/x")
	out.Header.SetHost("h")
	out.Header.SetBytesV(headerCall, requestInfo{versions: versionsOf(state)}.append(nil))
	setBudget(&out.Header, testHeaders.Budget, time.Second)
	down := pick{instance: catalog.Instance{ID: "down", Service: "desk", Address: r.address(1, upstreamPort)}}
	o := r.nodes[0].peers.send(t.Context(), &request{out: out, body: &body{}, route: state.Catalog.Route("once"), deadline: time.Now().Add(time.Second)}, down)
	if o.run != runNo || o.reached {
		t.Errorf("run %v, reached %v, reason %q; want neither run nor reached", o.run, o.reached, o.reason)
	}
}
