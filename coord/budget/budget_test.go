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
		checkWindows(t, seed, config, requests, retries)
	}
}

// checkWindows checks that the retries in each window stay within the fleet's budget.
func checkWindows(t *testing.T, seed uint64, c Config, requests, retries []clock.Instant) {
	t.Helper()
	for _, end := range retries {
		made := countWithin(retries, end, c.Window)
		// A retry at the start of this window was allowed because of requests before it. The
		// limit is therefore based on the largest number of requests in this window and the
		// ones that end half a window and a window earlier.
		n := max(countWithin(requests, end, c.Window), countWithin(requests, end.Add(-c.Window/2), c.Window),
			countWithin(requests, end.Add(-c.Window), c.Window))
		if allowed := c.Ratio*float64(n) + c.MinRetries; float64(made) > allowed {
			t.Fatalf("seed %d: %d retries in a window, want at most %.1f", seed, made, allowed)
		}
	}
}

// countWithin returns how many of the sorted times lie in the window w that ends at end.
func countWithin(l []clock.Instant, end clock.Instant, w time.Duration) int {
	until := func(t clock.Instant) int { return sort.Search(len(l), func(i int) bool { return t.Before(l[i]) }) }
	return until(end) - until(end.Add(-w))
}

// TestTentativeSends checks that tentative sends need no retry while few are refused, and draw one each while many are, which
// counts unless the send is accepted. A retry of which the window has passed isn't given back.
func TestTentativeSends(t *testing.T) {
	b := New(Config{MinRetries: 4, Window: time.Second})
	at := func(d time.Duration) clock.Instant { return startTime.Add(d) }
	var got []bool
	send := func(d time.Duration) (x Tentative) {
		x, ok := b.AllowTentative(at(d), 1)
		got = append(got, ok)
		return x
	}
	b.Settle(at(0), send(0), false)
	b.Settle(at(0), send(0), true) // the first refusals are free, and count
	b.Settle(at(0), send(0), true)
	accepted := send(0)
	send(0) // the three retries are used up
	b.Settle(at(0), accepted, false)
	late := send(0)
	b.Settle(at(2*time.Second), late, false)
	for range 4 {
		got = append(got, b.AllowRetry(at(2*time.Second), 1))
	}
	if d := cmp.Diff([]bool{true, true, true, true, false, true, true, true, true, false}, got); d != "" {
		t.Errorf("allowed (-want +got):\n%s", d)
	}
}

func TestMinRetriesAreDividedByEntries(t *testing.T) {
	b := New(Config{MinRetries: 20, Window: time.Second})
	n := 0
	for b.AllowRetry(startTime, 5) {
		n++
	}
	if n != 3 {
		t.Errorf("one of 5 entries was allowed %d of 20 retries, want 3, three quarters of its share", n)
	}
}

// TestBudgetHoldsOverRestarts guards against a budget that is spent anew by each run of a process: all entries are killed twice
// within a window, all want to retry as often as they may, and don't know how many they are for a second after their start.
func TestBudgetHoldsOverRestarts(t *testing.T) {
	config := Config{Ratio: 0.2, MinRetries: 98, Window: 10 * time.Second}
	const entries = 29
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 7))
		budgets, startedAt := make([]*Budget, entries), make([]clock.Instant, entries)
		for i := range budgets {
			startedAt[i] = startTime
			budgets[i] = New(config)
		}
		begin := startTime.Add(config.Window)
		kills := []clock.Instant{begin.Add(time.Duration(r.Int64N(int64(4 * time.Second)))), begin.Add(time.Duration(r.Int64N(int64(9 * time.Second))))}
		var requests, retries []clock.Instant
		for now := startTime; now.Before(begin.Add(config.Window)); now = now.Add(time.Millisecond) {
			for _, k := range kills {
				if !now.Before(k) && now.Sub(k) < time.Millisecond {
					for i := range budgets {
						startedAt[i], budgets[i] = now, New(config, WithRestartAt(now))
					}
				}
			}
			i := r.IntN(entries)
			if r.IntN(25) == 0 {
				budgets[i].RecordRequest(now)
				requests = append(requests, now)
			}
			known := entries
			if now.Sub(startedAt[i]) < time.Second {
				known = 0
			}
			if budgets[i].AllowRetry(now, known) {
				retries = append(retries, now)
			}
		}
		checkWindows(t, seed, config, requests, retries)
	}
}
