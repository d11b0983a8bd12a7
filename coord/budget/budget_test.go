package budget

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"cranberrypoint.example/coord/clock"
	"github.com/google/go-cmp/cmp"
)

// startTime is an arbitrary time at which the tests start.
var startTime = clock.Instant(time.Hour)

// TestRetriesStayWithinBudget sends random requests and retries through the budgets of
// several entries and checks that the retries in any window stay within the fleet's
// budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	config := Config{Ratio: 0.2, MinRetries: 20, Window: 10 * time.Second}
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 5))
		entries := 1 + r.IntN(5)
		budgets := make([]*Budget, entries)
		for i := range budgets {
			budgets[i] = New(config)
		}
		var requests, retries []clock.Instant
		now := startTime
		for range 4000 {
			now = now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
			b := budgets[r.IntN(entries)]
			if r.IntN(3) > 0 {
				b.RecordRequest(now)
				requests = append(requests, now)
			} else if b.AllowRetry(now, entries) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			made := countWithin(retries, end, config.Window)
			// A retry at the start of this window was allowed because of requests before it. The
			// limit is therefore based on the largest number of requests in this window and the
			// ones that end half a window and a window earlier.
			n := max(countWithin(requests, end, config.Window), countWithin(requests, end.Add(-config.Window/2), config.Window),
				countWithin(requests, end.Add(-config.Window), config.Window))
			if allowed := config.Ratio*float64(n) + config.MinRetries; float64(made) > allowed {
				t.Fatalf("seed %d: %d retries in a window, want at most %.1f", seed, made, allowed)
			}
		}
	}
}

// countWithin returns how many of the sorted times lie in the window w that ends at end.
func countWithin(l []clock.Instant, end clock.Instant, w time.Duration) int {
	until := func(t clock.Instant) int { return sort.Search(len(l), func(i int) bool { return t.Before(l[i]) }) }
	return until(end) - until(end.Add(-w))
}

// TestReturnedRetryIsFree checks that a retry which is given back doesn't count, unless it has left the window by then, and
// that the others do until the window has passed.
func TestReturnedRetryIsFree(t *testing.T) {
	b := New(Config{MinRetries: 2, Window: time.Second})
	allow := func(after time.Duration) bool { return b.AllowRetry(startTime.Add(after), 1) }
	got := []bool{allow(0), allow(300 * time.Millisecond), allow(400 * time.Millisecond)}
	b.Return(startTime.Add(500*time.Millisecond), startTime)
	got = append(got, allow(500*time.Millisecond), allow(600*time.Millisecond))
	b.Return(startTime.Add(2*time.Second), startTime.Add(300*time.Millisecond))
	got = append(got, allow(2*time.Second), allow(2*time.Second), allow(2*time.Second))
	if d := cmp.Diff([]bool{true, true, false, true, false, true, true, false}, got); d != "" {
		t.Errorf("allowed (-want +got):\n%s", d)
	}
}

func TestMinRetriesAreDividedByEntries(t *testing.T) {
	b := New(Config{MinRetries: 10, Window: time.Second})
	n := 0
	for b.AllowRetry(startTime, 5) {
		n++
	}
	if n != 2 {
		t.Errorf("one of 5 entries was allowed %d of 10 retries, want 2", n)
	}
}
