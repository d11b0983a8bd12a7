package quota_test

import (
	"testing"
	"time"

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
