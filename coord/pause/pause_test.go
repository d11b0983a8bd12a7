package pause

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// TestLongestPauseCounts checks how pauses of one instance add up, and their bounds.
func TestLongestPauseCounts(t *testing.T) {
	p := New()
	p.Ask(start, "a", 3*time.Second)
	p.Ask(start.Add(time.Second), "a", time.Second)
	p.Ask(start, "b", 1000*time.Hour)
	p.Ask(start, "c", -time.Second)
	for _, c := range []struct {
		instance string
		want     time.Duration
	}{{"a", 3 * time.Second}, {"b", MaxPause}, {"c", 0}} {
		end, ok := p.Until(start.Add(time.Second), c.instance)
		got := time.Duration(0)
		if ok {
			got = end.Sub(start)
		}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%s: pause (-want +got):\n%s", c.instance, d)
		}
	}
	if _, ok := p.Until(start.Add(3*time.Second), "a"); ok {
		t.Error("the pause goes on after its end")
	}
}

// TestReturnsAfterPauseAreSpread replays an overload: two upstreams ask for pauses, and 200 callers
// are refused in half a second. They must return after the first pause ends, and not more than
// a fifth of them within any 100 ms.
func TestReturnsAfterPauseAreSpread(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	p := New()
	p.Ask(start, "a", 2*time.Second)
	p.Ask(start, "b", 8*time.Second)
	const callers = 200
	inSlot := map[time.Duration]int{}
	for i := range callers {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond / callers)
		end, ok := p.FirstEnd(now, []string{"a", "b"})
		if d := cmp.Diff(start.Add(2*time.Second), end); d != "" || !ok {
			t.Fatalf("first end, known %t (-want +got):\n%s", ok, d)
		}
		back := ReturnAt(now, end, r)
		if back.Before(end) {
			t.Errorf("caller %d returns %s before the pause ends", i, end.Sub(back))
		}
		inSlot[back.Sub(start)/(100*time.Millisecond)]++
	}
	for s, n := range inSlot {
		if n > callers/5 {
			t.Errorf("%d of %d callers return within 100 ms at %s", n, callers, s*100*time.Millisecond)
		}
	}
}

// TestFirstEndNeedsAllPaused checks that one upstream without a pause is enough to go on.
func TestFirstEndNeedsAllPaused(t *testing.T) {
	p := New()
	p.Ask(start, "a", time.Second)
	for _, l := range [][]string{nil, {"b"}, {"a", "b"}} {
		if _, ok := p.FirstEnd(start, l); ok {
			t.Errorf("%v: all are paused", l)
		}
	}
	p.Forget("a")
	if _, ok := p.FirstEnd(start, []string{"a"}); ok {
		t.Error("an instance that is gone has a pause")
	}
}
