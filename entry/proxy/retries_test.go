package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRetriesAreRecognized checks the estimate for callers of which most have the same time limit,
// a few have a longer one, and some retry with the rest of their time.
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
		got := e.recordTimeLimit("r", left)
		if i < 20 {
			continue
		}
		if d := cmp.Diff(max(0, 14*time.Second-left), got); d != "" {
			t.Fatalf("elapsed before with %s left (-want +got):\n%s", left, d)
		}
	}
}

// TestTimeLimitChange checks that the estimate follows callers whose time limits become longer.
func TestTimeLimitChange(t *testing.T) {
	e := newEngineStats()
	for range 500 {
		e.recordTimeLimit("r", 4*time.Second)
	}
	for range 2 * timeLimitSamples {
		e.recordTimeLimit("r", 14*time.Second)
	}
	if d := cmp.Diff(10*time.Second, e.recordTimeLimit("r", 4*time.Second)); d != "" {
		t.Errorf("elapsed before (-want +got):\n%s", d)
	}
}

// TestVaryingTimeLimits checks callers whose time limits are spread over a sixth, some of which
// retry after seconds. Hardly any first attempt may be taken for a retry, since it would be
// scheduled last, and nearly all retries must be recognized.
func TestVaryingTimeLimits(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	e := newEngineStats()
	var first, mistaken, retries, recognized int
	for i := range 2000 {
		limit := time.Duration(11900+r.IntN(2100)) * time.Millisecond
		if i%5 == 0 {
			retries++
			if e.recordTimeLimit("r", limit-4*time.Second) > 900*time.Millisecond {
				recognized++
			}
			continue
		}
		first++
		if e.recordTimeLimit("r", limit) > 200*time.Millisecond {
			mistaken++
		}
	}
	if mistaken*50 > first || recognized*10 < retries*9 {
		t.Errorf("%d of %d first attempts were taken for retries; %d of %d retries were recognized", mistaken, first, recognized, retries)
	}
}
