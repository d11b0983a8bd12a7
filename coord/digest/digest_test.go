package digest

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cranberrypoint.example/coord/roster"
	"github.com/google/go-cmp/cmp"
)

// TestDeltasFollowChanges changes a list at random; books that hear of it now and then,
// through deltas alone, must come to the same list.
func TestDeltasFollowChanges(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		source := New()
		others := []*VersionedList{New(), New(), New()}
		list := map[string]roster.Upstream{}
		for range 300 {
			for range r.IntN(3) {
				n := fmt.Sprint(r.IntN(30))
				if r.IntN(3) == 0 {
					delete(list, n)
				} else {
					list[n] = roster.Upstream{Instance: n, Leaving: r.IntN(2) == 0, Born: int64(r.IntN(3))}
				}
			}
			var all []roster.Upstream
			for _, u := range list {
				all = append(all, u)
			}
			source.Set(all)
			o := others[r.IntN(len(others))]
			if r.IntN(4) > 0 {
				continue
			}
			l, err := o.Applied(source.DeltaSince(o.Hash()))
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			o.Set(l)
			if d := cmp.Diff(source.List(), o.List()); d != "" || o.Hash() != source.Hash() {
				t.Fatalf("seed %d: lists (-want +got):\n%s", seed, d)
			}
		}
	}
}

// TestDeltaIsSmall tells one change of a large list.
func TestDeltaIsSmall(t *testing.T) {
	b := New()
	list := make([]roster.Upstream, 1000)
	for i := range list {
		list[i].Instance = fmt.Sprint(i)
	}
	b.Set(list)
	before := b.Hash()
	list[7].Leaving = true
	b.Set(list)
	want := Delta{Changed: []roster.Upstream{{Instance: "7", Leaving: true}}, Hash: b.Hash()}
	if d := cmp.Diff(want, b.DeltaSince(before)); d != "" {
		t.Errorf("delta (-want +got):\n%s", d)
	}
	if d := b.DeltaSince(12345); !d.Full || len(d.Changed) != 1000 {
		t.Errorf("a process that holds another list is told %d of it, whole: %t", len(d.Changed), d.Full)
	}
}

// TestWrongBaseIsNoticed applies a delta to another list than it was made for.
func TestWrongBaseIsNoticed(t *testing.T) {
	a, b := New(), New()
	a.Set([]roster.Upstream{{Instance: "1"}})
	h := a.Hash()
	a.Set([]roster.Upstream{{Instance: "1"}, {Instance: "2"}})
	b.Set([]roster.Upstream{{Instance: "3"}})
	if l, err := b.Applied(a.DeltaSince(h)); err == nil {
		t.Errorf("the list is %v and there is no error", l)
	}
}
