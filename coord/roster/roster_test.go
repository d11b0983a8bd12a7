package roster

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newUpstream(instance, address string, born int64) Upstream {
	return Upstream{Instance: instance, Service: "s", Address: address, Born: born}
}

func instances(l []Upstream) (n []string) {
	for _, u := range l {
		n = append(n, u.Instance)
	}
	return n
}

// TestExpiredInOutageIsKept checks that an upstream missing just after an outage of the store
// is kept, and is dropped if it isn't listed again within the grace period.
func TestExpiredInOutageIsKept(t *testing.T) {
	r := New()
	a, b := newUpstream("a", "1", 1), newUpstream("b", "2", 1)
	r.Update(start, List{Upstreams: []Upstream{a, b}})
	back := start.Add(minOutage + time.Second)
	if c := r.Update(back, List{Upstreams: []Upstream{a}}); len(c) > 0 {
		t.Errorf("Update just after an outage returned changes %v, want none", c)
	}
	if d := cmp.Diff([]string{"a", "b"}, instances(r.Usable())); d != "" {
		t.Errorf("usable (-want +got):\n%s", d)
	}
	r.Update(back.Add(gracePeriod), List{Upstreams: []Upstream{a}})
	if d := cmp.Diff([]string{"a"}, instances(r.Usable())); d != "" {
		t.Errorf("usable after the grace period (-want +got):\n%s", d)
	}
}

// TestMissingWithoutOutageIsRemoved checks that an upstream missing from a list is dropped at
// once if there was no outage.
func TestMissingWithoutOutageIsRemoved(t *testing.T) {
	r := New()
	a, b := newUpstream("a", "1", 1), newUpstream("b", "2", 1)
	r.Update(start, List{Upstreams: []Upstream{a, b}})
	got := r.Update(start.Add(time.Second), List{Upstreams: []Upstream{a}})
	if d := cmp.Diff([]Change{{Before: &b}}, got); d != "" {
		t.Errorf("changes (-want +got):\n%s", d)
	}
}

// TestLeavingOrReplacedIsNotKept checks that an upstream that was leaving, or whose address
// another one has taken, is dropped even after an outage.
func TestLeavingOrReplacedIsNotKept(t *testing.T) {
	r := New()
	a, b := newUpstream("a", "1", 1), newUpstream("b", "2", 1)
	a.Leaving = true
	r.Update(start, List{Upstreams: []Upstream{a, b}})
	r.Update(start.Add(minOutage+time.Second), List{Upstreams: []Upstream{newUpstream("c", "2", 2)}})
	if d := cmp.Diff([]string{"c"}, instances(r.Usable())); d != "" {
		t.Errorf("usable (-want +got):\n%s", d)
	}
}

// TestNewestInstanceOfAnAddress guards against sending requests to instances that no longer
// exist: after a power loss, upstreams register again while the registrations of their earlier
// runs haven't expired. Only the newest instance at an address may be used.
func TestNewestInstanceOfAnAddress(t *testing.T) {
	r := New()
	r.Update(start, List{Upstreams: []Upstream{newUpstream("old", "1", 1), newUpstream("new", "1", 2), newUpstream("other", "2", 1)}})
	if d := cmp.Diff([]string{"new", "other"}, instances(r.Usable())); d != "" {
		t.Errorf("usable (-want +got):\n%s", d)
	}
}

// TestRestartWithSameInstanceIsAChange checks that an upstream whose Born has changed although
// its Instance is the same is reported as one change, not as removed and added.
func TestRestartWithSameInstanceIsAChange(t *testing.T) {
	r := New()
	a, b := newUpstream("a", "1", 1), newUpstream("a", "1", 2)
	r.Update(start, List{Upstreams: []Upstream{a}})
	got := r.Update(start.Add(time.Second), List{Upstreams: []Upstream{b}})
	if d := cmp.Diff([]Change{{Before: &a, After: &b}}, got); d != "" {
		t.Errorf("changes (-want +got):\n%s", d)
	}
}
