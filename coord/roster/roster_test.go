package roster

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func up(instance, address string, born int64) Upstream {
	return Upstream{Instance: instance, Service: "s", Address: address, Born: born}
}

func names(l []Upstream) (n []string) {
	for _, u := range l {
		n = append(n, u.Instance)
	}
	return n
}

// TestLapsedInAnOutageIsKept keeps what is missing just after the store was away, and
// drops it if it doesn't come back.
func TestLapsedInAnOutageIsKept(t *testing.T) {
	r := New()
	a, b := up("a", "1", 1), up("b", "2", 1)
	r.Update(epoch, []Upstream{a, b})
	back := epoch.Add(outage + time.Second)
	if c := r.Update(back, []Upstream{a}); len(c) > 0 {
		t.Errorf("changes just after an outage: %v", c)
	}
	if d := cmp.Diff([]string{"a", "b"}, names(r.Usable())); d != "" {
		t.Errorf("usable (-want +got):\n%s", d)
	}
	r.Update(back.Add(grace), []Upstream{a})
	if d := cmp.Diff([]string{"a"}, names(r.Usable())); d != "" {
		t.Errorf("usable after the grace time (-want +got):\n%s", d)
	}
}

// TestMissingWithoutOutageIsGone drops an upstream whose entry was removed.
func TestMissingWithoutOutageIsGone(t *testing.T) {
	r := New()
	a, b := up("a", "1", 1), up("b", "2", 1)
	r.Update(epoch, []Upstream{a, b})
	got := r.Update(epoch.Add(time.Second), []Upstream{a})
	if d := cmp.Diff([]Change{{Before: &b}}, got); d != "" {
		t.Errorf("changes (-want +got):\n%s", d)
	}
}

// TestLeavingIsNeverKept drops a leaving upstream also in an outage, and one whose address
// another has.
func TestLeavingIsNeverKept(t *testing.T) {
	r := New()
	a, b := up("a", "1", 1), up("b", "2", 1)
	a.Leaving = true
	r.Update(epoch, []Upstream{a, b})
	r.Update(epoch.Add(outage+time.Second), []Upstream{up("c", "2", 2)})
	if d := cmp.Diff([]string{"c"}, names(r.Usable())); d != "" {
		t.Errorf("usable (-want +got):\n%s", d)
	}
}

// TestNewestInstanceOfAnAddress replays runners that register anew after a loss of power
// while the entries of their earlier lives still stand: only the newest can be there.
func TestNewestInstanceOfAnAddress(t *testing.T) {
	r := New()
	r.Update(epoch, []Upstream{up("old", "1", 1), up("new", "1", 2), up("other", "2", 1)})
	if d := cmp.Diff([]string{"new", "other"}, names(r.Usable())); d != "" {
		t.Errorf("usable (-want +got):\n%s", d)
	}
}

func TestRestartUnderTheSameNameIsAChange(t *testing.T) {
	r := New()
	a, b := up("a", "1", 1), up("a", "1", 2)
	r.Update(epoch, []Upstream{a})
	got := r.Update(epoch.Add(time.Second), []Upstream{b})
	if d := cmp.Diff([]Change{{Before: &a, After: &b}}, got); d != "" {
		t.Errorf("changes (-want +got):\n%s", d)
	}
}
