package quota_test

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/quota"
	"pgregory.net/rapid"
)

// TestRunsAreRepeatable checks that a run depends on its seed alone.
func TestRunsAreRepeatable(t *testing.T) {
	one := func() [2]int {
		r := newRun(5, shares, faulty)
		rapid.Custom(func(t *rapid.T) int {
			faultRun(t, r)
			return 0
		}).Example(5)
		return [2]int{r.Sent, len(r.grants["large"])}
	}
	if a, b := one(), one(); a != b {
		t.Errorf("two runs of one seed differ: %v and %v", a, b)
	}
}

// TestHolderCutOffWithAnEntryLapses cuts a holder off together with an entry while it's
// replaced in the list, and checks that the limit holds; and that it breaks when
// holders need no authority.
func TestHolderCutOffWithAnEntryLapses(t *testing.T) {
	for _, free := range []bool{false, true} {
		r := newRun(3, shares, faulty)
		r.Free = free
		r.boot(doc)
		r.Run(warm)
		r.load(90*time.Second, 4)
		r.partition(func(n string) bool { return n != "b-agent-1" && n != "b-entry-0" })
		r.Unlist("b-agent-1")
		r.add(vm("b", "agent", 7))
		r.Run(90 * time.Second)
		if broken := r.violations() != ""; broken != free {
			t.Errorf("authority needed: %t; broken: %q", !free, r.violations())
		}
	}
}

func TestSettlementBeforeItsReservation(t *testing.T) {
	h := quota.NewHolder()
	now := fake.Epoch
	h.Authorize(now, now.Add(time.Hour))
	h.SetShare(now, "w", quota.ShareLimit(100, 100, 1), 0)
	now = now.Add(10 * time.Second)
	h.Settle(now, "r", "w", 0)
	if a := h.Reserve(now, "r", "w", 10, true); a.Granted != 0 {
		t.Errorf("a settled reservation is granted %d tokens, want none", a.Granted)
	}
	first := h.Reserve(now, "s", "w", 10, true)
	again := h.Reserve(now, "s", "w", 10, true)
	if first.Granted != 10 || again.Granted != 10 || again.Balance != first.Balance {
		t.Errorf("a repeated reservation: %+v, then %+v, want the same", first, again)
	}
	if back, more := h.Settle(now, "s", "w", 4), h.Settle(now, "s", "w", 0); back != 6 || more != 0 {
		t.Errorf("settled twice: %d and %d tokens come back, want 6 and 0", back, more)
	}
	if a := h.Reserve(now, "s", "w", 10, true); a.Granted != 0 {
		t.Errorf("a repetition after the settlement is granted %d tokens, want none", a.Granted)
	}
}
