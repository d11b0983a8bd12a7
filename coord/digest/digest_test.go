package digest

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

// TestDeltasFollowChanges changes a list at random. Replicas that are updated now and then, by
// deltas alone, must end up with the same list.
func TestDeltasFollowChanges(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		source := New()
		replicas := []*VersionedList{New(), New(), New()}
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
			replica := replicas[r.IntN(len(replicas))]
			if r.IntN(4) > 0 {
				continue
			}
			l, err := replica.Applied(source.DeltaSince(replica.Hash()))
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			replica.Set(l)
			if d := cmp.Diff(source.List(), replica.List()); d != "" || replica.Hash() != source.Hash() {
				t.Fatalf("seed %d: lists or hashes differ; lists (-want +got):\n%s", seed, d)
			}
		}
	}
}

// TestDeltaIsSmall checks that one change of a large list makes a delta of one upstream.
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
		t.Errorf("the delta from an unknown version has %d upstreams, full: %t", len(d.Changed), d.Full)
	}
}

// TestWrongBaseIsDetected applies a delta to a version of the list other than its base.
func TestWrongBaseIsDetected(t *testing.T) {
	a, b := New(), New()
	a.Set([]roster.Upstream{{Instance: "1"}})
	h := a.Hash()
	a.Set([]roster.Upstream{{Instance: "1"}, {Instance: "2"}})
	b.Set([]roster.Upstream{{Instance: "3"}})
	if l, err := b.Applied(a.DeltaSince(h)); err == nil {
		t.Errorf("a delta with another base is applied without an error: %v", l)
	}
}

// TestHashOfEarlierReleases checks that the hash of an upstream is that of releases without its version, so that
// processes of both can exchange deltas.
func TestHashOfEarlierReleases(t *testing.T) {
	u := roster.Upstream{Instance: "i", Service: "s", Address: "a:1", DataCentre: "d", Leaving: true, Slots: 3, Stage: wire.Stage_STAGE_DECODE, Born: 5, Version: "v1"}
	if d := cmp.Diff(uint64(0xb0d95e0aac42fec4), hashUpstream(u)); d != "" {
		t.Errorf("hash (-want +got):\n%s", d)
	}
}
