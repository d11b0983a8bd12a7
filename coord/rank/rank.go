// Package rank orders names for a key by rendezvous hashing. Processes that know the same
// names compute the same order without coordination, and the loss of a name moves only the
// keys that were assigned to it.
package rank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hashedName is a name with the hash of a key and the name.
type hashedName struct {
	hash uint64
	name string
}

// compareHashes orders by hash, and by name where hashes are equal.
func compareHashes(a, b hashedName) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
}

// Top returns the first n names in the order for a key, or all names if there are fewer. The
// name with the lowest hash comes first.
func Top(key string, names []string, n int) []string {
	top := make([]hashedName, 0, n+1)
	h := xxhash.New()
	for _, name := range names {
		h.Reset()
		_, _ = h.WriteString(key)
		_, _ = h.WriteString(name)
		r := hashedName{h.Sum64(), name}
		i, _ := slices.BinarySearchFunc(top, r, compareHashes)
		if i < n {
			top = slices.Insert(top, i, r)
			top = top[:min(n, len(top))]
		}
	}
	l := make([]string, len(top))
	for i, r := range top {
		l[i] = r.name
	}
	return l
}
