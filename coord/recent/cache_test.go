package recent

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestCache checks how long a value is held, by time and by the number of others.
func TestCache(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	const max = 10
	for _, c := range []struct {
		name string
		// others are put in one step each, at the end of which Get is called.
		others int
		step   time.Duration
		want   bool
	}{
		{"at once", 0, 0, true},
		{"as many as it holds", max - 1, 0, true},
		{"a second generation", 2*max - 1, 0, true},
		{"too many", 2 * max, 0, false},
		{"within its lifetime", 1, time.Minute - 1, true},
		{"after one lifetime", 1, time.Minute, true},
		{"after two", 2, time.Minute, false},
	} {
		x := NewCache[int, string](max, time.Minute)
		x.Put(start, -1, "v")
		for i := range c.others {
			x.Put(start.Add(time.Duration(i+1)*c.step), i, "")
		}
		_, ok := x.Get(-1)
		if d := cmp.Diff(c.want, ok); d != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, d)
		}
	}
}
