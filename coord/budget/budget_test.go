package budget

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// TestNoWindowHoldsMore draws at random from several entries' budgets; the extra sends
// of any window stay within what its requests and the fixed part allow.
func TestNoWindowHoldsMore(t *testing.T) {
	terms := Config{Ratio: 0.2, MinRetries: 20, Window: 10 * time.Second}
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 5))
		entries := 1 + r.IntN(5)
		budgets := make([]*Budget, entries)
		for i := range budgets {
			budgets[i] = New(terms)
		}
		var requests, extra []time.Time
		now := epoch
		for range 4000 {
			now = now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
			b := budgets[r.IntN(entries)]
			if r.IntN(3) > 0 {
				b.RecordRequest(now)
				requests = append(requests, now)
			} else if b.AllowRetry(now, entries) {
				extra = append(extra, now)
			}
		}
		for _, end := range extra {
			e := within(extra, end, terms.Window)
			n := max(within(requests, end, terms.Window), within(requests, end.Add(-terms.Window/2), terms.Window),
				within(requests, end.Add(-terms.Window), terms.Window))
			if allowed := terms.Ratio*float64(n) + terms.MinRetries; float64(e) > allowed {
				t.Fatalf("seed %d: %d extra sends in a window, %.1f are allowed", seed, e, allowed)
			}
		}
	}
}

// within returns how many of some times, in order, lie in the window that ends at end.
func within(l []time.Time, end time.Time, w time.Duration) int {
	until := func(t time.Time) int { return sort.Search(len(l), func(i int) bool { return l[i].After(t) }) }
	return until(end) - until(end.Add(-w))
}

func TestChargeIsCounted(t *testing.T) {
	b := New(Config{MinRetries: 2, Window: time.Second})
	b.RecordRetry(epoch)
	b.RecordRetry(epoch)
	if b.AllowRetry(epoch, 1) {
		t.Error("a send is allowed although the budget is spent")
	}
	if !b.AllowRetry(epoch.Add(2*time.Second), 1) {
		t.Error("a send is refused although the window has passed")
	}
}

func TestFixedPartIsShared(t *testing.T) {
	b := New(Config{MinRetries: 10, Window: time.Second})
	n := 0
	for b.AllowRetry(epoch, 5) {
		n++
	}
	if n != 2 {
		t.Errorf("one of five entries drew %d of 10", n)
	}
}
