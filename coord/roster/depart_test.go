package roster

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// listAt returns a list that is read at a time in an epoch.
func listAt(t time.Time, epoch uint64, l ...Upstream) List {
	return List{Epoch: epoch, ReadAt: t, Upstreams: l}
}

// TestLeavingIsFinal checks that an upstream which was listed as leaving, or has said so itself, gets no
// requests again when a restored store lists it as ready, and that its next start does.
func TestLeavingIsFinal(t *testing.T) {
	r := New()
	a, b := newUpstream("a", "1", 1), newUpstream("b", "2", 1)
	leaving := a
	leaving.Leaving = true
	r.Update(start, listAt(start, 1, leaving, b))
	c, ok := r.Announce(start, "b")
	if d := cmp.Diff(Change{&b, &Upstream{Instance: "b", Service: "s", Address: "2", Born: 1, Leaving: true}}, c); d != "" || !ok {
		t.Errorf("announced %t, change (-want +got):\n%s", ok, d)
	}
	for _, d := range []time.Duration{time.Second, time.Minute, 3 * time.Minute} {
		r.Update(start.Add(d), listAt(start.Add(d), 2, a, b))
		if d := cmp.Diff([]string(nil), instances(r.Usable())); d != "" {
			t.Errorf("usable after %v (-want +got):\n%s", d, d)
		}
	}
	next := newUpstream("a", "1", 2)
	at := start.Add(4 * time.Minute)
	r.Update(at, listAt(at, 2, next, b))
	if d := cmp.Diff([]string{"a"}, instances(r.Usable())); d != "" {
		t.Errorf("usable after a new start (-want +got):\n%s", d)
	}
}

// TestGoneIsHiddenAfterRestore checks that an upstream which was gone isn't brought back by a restored
// store, until its registration has lapsed there if it isn't renewed.
func TestGoneIsHiddenAfterRestore(t *testing.T) {
	r := New(WithLapse(3 * time.Second))
	a, b := newUpstream("a", "1", 1), newUpstream("b", "2", 1)
	r.Update(start, listAt(start, 1, a, b))
	r.Update(start.Add(time.Second), listAt(start.Add(time.Second), 1, a))
	restored := start.Add(2 * time.Second)
	for _, c := range []struct {
		after time.Duration
		want  []string
	}{{0, []string{"a"}}, {2900 * time.Millisecond, []string{"a"}}, {3 * time.Second, []string{"a", "b"}}} {
		at := restored.Add(c.after)
		r.Update(at, listAt(at, 2, a, b))
		if d := cmp.Diff(c.want, instances(r.Usable())); d != "" {
			t.Errorf("usable %s after the restore (-want +got):\n%s", c.after, d)
		}
	}
}

// TestMissingAfterRestoreIsKept checks that an upstream whose registration was lost with the store's
// newest writes is kept until it has had time to register again.
func TestMissingAfterRestoreIsKept(t *testing.T) {
	r := New()
	a, b := newUpstream("a", "1", 1), newUpstream("b", "2", 1)
	r.Update(start, listAt(start, 1, a, b))
	for _, c := range []struct {
		after time.Duration
		want  []string
	}{{time.Second, []string{"a", "b"}}, {time.Second + gracePeriod - 1, []string{"a", "b"}}, {time.Second + gracePeriod, []string{"a"}}} {
		at := start.Add(c.after)
		r.Update(at, listAt(at, 2, a))
		if d := cmp.Diff(c.want, instances(r.Usable())); d != "" {
			t.Errorf("usable after %s (-want +got):\n%s", c.after, d)
		}
	}
}

// TestHiddenIsPassedOn checks that a roster without memory takes over from another one which upstreams
// a restored store must not bring back.
func TestHiddenIsPassedOn(t *testing.T) {
	old, fresh := New(), New()
	a, b := newUpstream("a", "1", 1), newUpstream("b", "2", 1)
	old.Update(start, listAt(start, 1, a, b))
	old.Update(start, listAt(start, 1, a))
	old.Update(start, listAt(start, 2, a, b))
	fresh.Hide(start, old.Hidden(start))
	fresh.Update(start, listAt(start, 2, a, b))
	if d := cmp.Diff([]string{"a"}, instances(fresh.Usable())); d != "" {
		t.Errorf("usable (-want +got):\n%s", d)
	}
}
