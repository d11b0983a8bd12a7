// Package rank orders names for a key by rendezvous hashing: all who know the same names
// come to the same order without asking, and the loss of a name moves only what it had.
package rank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type ranked struct {
	score uint64
	name  string
}

func compare(a, b ranked) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
}

// Top returns the first few names for a key, the first in rank first.
func Top(key string, names []string, few int) []string {
	top := make([]ranked, 0, few+1)
	h := xxhash.New()
	for _, n := range names {
		h.Reset()
		_, _ = h.WriteString(key)
		_, _ = h.WriteString(n)
		r := ranked{h.Sum64(), n}
		at, _ := slices.BinarySearchFunc(top, r, compare)
		if at < few {
			top = slices.Insert(top, at, r)
			top = top[:min(few, len(top))]
		}
	}
	l := make([]string, len(top))
	for i, r := range top {
		l[i] = r.name
	}
	return l
}
