package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestReturningCallersAreKnown replays callers of whom most wait equally long, a few are
// more patient, and some come back with what is left of their time.
func TestReturningCallersAreKnown(t *testing.T) {
	e := newEngines()
	for i := range 300 {
		left := 14 * time.Second
		switch {
		case i%25 == 24:
			left = 28 * time.Second
		case i%3 == 0:
			left = time.Duration(9000+i) * time.Millisecond
		}
		got := e.waited("r", left)
		if i < 20 {
			continue
		}
		if d := cmp.Diff(max(0, 14*time.Second-left), got); d != "" {
			t.Fatalf("waited before with %s left (-want +got):\n%s", left, d)
		}
	}
}

// TestUsualWaitChanges follows callers that begin to wait longer.
func TestUsualWaitChanges(t *testing.T) {
	e := newEngines()
	for range 500 {
		e.waited("r", 4*time.Second)
	}
	for range 2 * waitSamples {
		e.waited("r", 14*time.Second)
	}
	if d := cmp.Diff(10*time.Second, e.waited("r", 4*time.Second)); d != "" {
		t.Errorf("waited before (-want +got):\n%s", d)
	}
}

// TestLimitsThatVary replays callers whose limits are spread over a sixth, of whom some come
// back after seconds: hardly a first attempt may be taken for late, and those that come back
// late enough are known.
func TestLimitsThatVary(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	e := newEngines()
	var first, late, back, known int
	for i := range 2000 {
		limit := time.Duration(11900+r.IntN(2100)) * time.Millisecond
		if i%5 == 0 {
			back++
			if e.waited("r", limit-4*time.Second) > 900*time.Millisecond {
				known++
			}
			continue
		}
		first++
		if e.waited("r", limit) > 200*time.Millisecond {
			late++
		}
	}
	if late*50 > first || known*10 < back*9 {
		t.Errorf("%d of %d first attempts are taken for late; %d of %d that came back are known", late, first, known, back)
	}
}
