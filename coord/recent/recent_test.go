package recent

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestLastValues compares the window and its median with a plain list that is sorted each time.
func TestLastValues(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	s := New[int](20)
	var all []int
	for range 500 {
		v := r.IntN(30)
		all = append(all, v)
		s.Add(v)
		want := slices.Sorted(slices.Values(all[max(0, len(all)-20):]))
		if d := cmp.Diff(want, s.sorted); d != "" {
			t.Fatalf("after %d values (-want +got):\n%s", len(all), d)
		}
		if d := cmp.Diff(want[len(want)/2], s.Quantile(0.5)); d != "" {
			t.Fatalf("median after %d values (-want +got):\n%s", len(all), d)
		}
	}
}
