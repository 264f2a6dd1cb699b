package proxy

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/config"
)

// notReadyRetryAfter is the Retry-After time of a node that has not yet
// received its configuration.
const notReadyRetryAfter = time.Second

// notReady returns the refusal of a request that can't be checked because the
// node has not yet received the necessary configuration.
func notReady() *Refusal {
	refusal := notRun(fasthttp.StatusServiceUnavailable, ReasonNotReady, "the node is still reading its configuration")
	refusal.RetryAfter = notReadyRetryAfter
	return refusal
}

// keysKnown reports whether the view contains all shards of the keys. Only then
// is a key that it lacks known to be invalid.
func keysKnown(view *config.View) bool {
	fleet := view.Fleet()
	if fleet == nil {
		return false
	}
	for shard := range fleet.KeyShards {
		if view.Revision(config.KeysName(shard)) == 0 {
			return false
		}
	}
	return true
}

// absent reports whether a service is known not to exist.
func absent(view *config.View, service string) bool {
	return view.Fleet() != nil && !slices.Contains(view.Fleet().Services, service)
}

// instancesKnown reports whether the view contains the list of a service's
// instances, which may be empty.
func instancesKnown(view *config.View, service string) bool {
	return view.Revision(config.InstancesName(service)) > 0
}

// keyRefusal returns the refusal of a key that the view lacks: not-ready if the
// key may be in a shard that has not been received yet.
func keyRefusal(view *config.View, reason Reason, detail string) *Refusal {
	if !keysKnown(view) {
		return notReady()
	}
	return notRun(fasthttp.StatusUnauthorized, reason, detail)
}
