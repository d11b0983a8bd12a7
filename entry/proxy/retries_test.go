package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRetriesAreRecognized replays callers of whom most wait equally long, a few are
// more patient, and some come back with what is left of their time.
func TestRetriesAreRecognized(t *testing.T) {
	e := newEngineStats()
	for i := range 300 {
		left := 14 * time.Second
		switch {
		case i%25 == 24:
			left = 28 * time.Second
		case i%3 == 0:
			left = time.Duration(9000+i) * time.Millisecond
		}
		got := e.elapsedBefore("r", left)
		if i < 20 {
			continue
		}
		if d := cmp.Diff(max(0, 14*time.Second-left), got); d != "" {
			t.Fatalf("waited before with %s left (-want +got):\n%s", left, d)
		}
	}
}

// TestTimeLimitChange follows callers that begin to wait longer.
func TestTimeLimitChange(t *testing.T) {
	e := newEngineStats()
	for range 500 {
		e.elapsedBefore("r", 4*time.Second)
	}
	for range 2 * timeLimitSamples {
		e.elapsedBefore("r", 14*time.Second)
	}
	if d := cmp.Diff(10*time.Second, e.elapsedBefore("r", 4*time.Second)); d != "" {
		t.Errorf("waited before (-want +got):\n%s", d)
	}
}

// TestVaryingTimeLimits replays callers whose limits are spread over a sixth, of whom some come
// back after seconds: hardly a first attempt may be taken for late, and those that come back
// late enough are known.
func TestVaryingTimeLimits(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	e := newEngineStats()
	var first, late, back, known int
	for i := range 2000 {
		limit := time.Duration(11900+r.IntN(2100)) * time.Millisecond
		if i%5 == 0 {
			back++
			if e.elapsedBefore("r", limit-4*time.Second) > 900*time.Millisecond {
				known++
			}
			continue
		}
		first++
		if e.elapsedBefore("r", limit) > 200*time.Millisecond {
			late++
		}
	}
	if late*50 > first || known*10 < back*9 {
		t.Errorf("%d of %d first attempts are taken for late; %d of %d that came back are known", late, first, known, back)
	}
}
