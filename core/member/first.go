package member

import "github.com/cespare/xxhash/v2"

// First returns the instance that comes first in the order of the hashes of
// their names, among those that are not to be skipped. Nodes with the same list
// choose the same one. It returns false if there is none.
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
