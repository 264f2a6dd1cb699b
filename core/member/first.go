package member

import "github.com/cespare/xxhash/v2"

// First returns the instance with the lowest hash of its id among those for
// which skip returns false. Nodes with the same list select the same instance
// without coordination. It returns false if there is none.
func First(ids []InstanceID, skip func(InstanceID) bool) (InstanceID, bool) {
	var best InstanceID
	var bestHash uint64
	found := false
	for _, id := range ids {
		if skip(id) {
			continue
		}
		if hash := xxhash.Sum64String(string(id)); !found || hash < bestHash {
			best, bestHash, found = id, hash, true
		}
	}
	return best, found
}
