// Package rank orders names for a key by rendezvous hashing. Processes that know the same
// names compute the same order without coordination, and the loss of a name moves only the
// keys that were assigned to it.
package rank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// scored is a name with its hash for a key.
type scored struct {
	score uint64
	name  string
}

// compareScored orders by hash, and by name where hashes are equal.
func compareScored(a, b scored) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
}

// Top returns the first n names in the order for a key, or all names if there are fewer.
func Top(key string, names []string, n int) []string {
	top := make([]scored, 0, n+1)
	h := xxhash.New()
	for _, name := range names {
		h.Reset()
		_, _ = h.WriteString(key)
		_, _ = h.WriteString(name)
		r := scored{h.Sum64(), name}
		i, _ := slices.BinarySearchFunc(top, r, compareScored)
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
