package rank

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRemovalKeepsOrder checks that the loss of a name leaves the order of the others as it
// was, so that only the keys of the lost name move, and that a smaller n gives a prefix of
// the order of the same names.
func TestRemovalKeepsOrder(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e"}
	for i := range 100 {
		k := fmt.Sprint(i)
		before := Top(k, all, len(all))
		after := Top(k, []string{"a", "b", "d", "e"}, len(all))
		want := slices.DeleteFunc(slices.Clone(before), func(n string) bool { return n == "c" })
		if d := cmp.Diff(want, after); d != "" {
			t.Errorf("key %s: order without c (-want +got):\n%s", k, d)
		}
		if d := cmp.Diff(before[:2], Top(k, all, 2)); d != "" {
			t.Errorf("key %s: first two names (-want +got):\n%s", k, d)
		}
	}
}

// BenchmarkTop ranks names for a key. A large fleet has 370 entries and 770 agents.
func BenchmarkTop(b *testing.B) {
	for _, c := range []struct{ names, n int }{{5, 2}, {24, 2}, {370, 2}, {770, 64}} {
		b.Run(fmt.Sprint(c.names, "/", c.n), func(b *testing.B) {
			var l []string
			for i := range c.names {
				l = append(l, fmt.Sprint("vm-", i))
			}
			for b.Loop() {
				Top("key", l, c.n)
			}
		})
	}
}
