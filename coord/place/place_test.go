package place

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func ask(name string, prompt, most int64, timely, patience time.Duration) Request {
	a := Request{ID: name, PromptTokens: prompt, MaxTokens: most, ExpiresAt: epoch.Add(patience)}
	if timely > 0 {
		a.StartBy = epoch.Add(timely)
	}
	return a
}

func ledger(memory int64) *Scheduler {
	l := New()
	l.SetSlots(4)
	l.Observe(epoch, Report{MemoryTokens: memory, StartUnixMillis: 1})
	return l
}

func granted(out []Outcome) (names []string) {
	for _, o := range out {
		if o.Granted {
			names = append(names, o.RequestID)
		}
	}
	return names
}

// TestPeakCountsThatRunsEndAtDifferentTimes compares the plan with a run step by step.
func TestPeakCountsThatRunsEndAtDifferentTimes(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		runs := make([]growth, 1+r.IntN(6))
		for i := range runs {
			runs[i] = growth{int64(r.IntN(50)), int64(r.IntN(40))}
		}
		var want int64
		for s := int64(0); s <= 40; s++ {
			var sum int64
			for _, g := range runs {
				if g.left >= s {
					sum += g.tokens + block + s
				}
			}
			want = max(want, sum)
		}
		if d := cmp.Diff(want, peak(runs)); d != "" {
			t.Fatalf("peak of %v (-want +got):\n%s", runs, d)
		}
	}
}

// TestStaggeredRunsShareMemory admits a run whose end comes after those of the others,
// although the sum of all ends is larger than the memory.
func TestStaggeredRunsShareMemory(t *testing.T) {
	l := ledger(1000)
	l.Submit(epoch, ask("a", 400, 100, time.Second, time.Second))
	l.Observe(epoch, Report{MemoryTokens: 1000, StartUnixMillis: 1, Runs: []RunUsage{{"a", 495}}})
	out := l.Submit(epoch, ask("b", 300, 400, time.Second, time.Second))
	if d := cmp.Diff([]string{"b"}, granted(out)); d != "" {
		t.Errorf("granted (-want +got):\n%s", d)
	}
}

// TestBurst replays a burst: one place, and more requests than can begin in time.
func TestBurst(t *testing.T) {
	l := ledger(1000)
	if d := cmp.Diff([]string{"first"}, granted(l.Submit(epoch, ask("first", 500, 300, time.Second, 3*time.Second)))); d != "" {
		t.Fatalf("granted (-want +got):\n%s", d)
	}
	l.Submit(epoch, ask("late", 500, 300, 0, 3*time.Second))
	l.Submit(epoch, ask("second", 500, 300, 900*time.Millisecond, 3*time.Second))
	l.Submit(epoch, ask("soonest", 500, 300, 600*time.Millisecond, 3*time.Second))
	var order []string
	for _, n := range []string{"first", "soonest", "second"} {
		order = append(order, granted(l.Release(epoch.Add(400*time.Millisecond), n))...)
	}
	if d := cmp.Diff([]string{"soonest", "second", "late"}, order); d != "" {
		t.Errorf("order of grants (-want +got):\n%s", d)
	}
}

// TestHopelessIsRefusedAtOnce names the time at which a place is likely.
func TestHopelessIsRefusedAtOnce(t *testing.T) {
	l := ledger(1000)
	l.Submit(epoch, ask("long", 500, 300, time.Second, time.Second))
	got := l.Submit(epoch, ask("hopeless", 500, 300, 100*time.Millisecond, 200*time.Millisecond))
	want := []Outcome{{RequestID: "hopeless", Reason: ReasonNoPlace, RetryAt: epoch.Add(300 * firstStep)}}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("outcome (-want +got):\n%s", d)
	}
	got = l.Submit(epoch, ask("huge", 900, 300, time.Second, time.Second))
	want = []Outcome{{RequestID: "huge", Reason: ReasonTooLarge, RetryAt: epoch}}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("outcome (-want +got):\n%s", d)
	}
}

// TestPatienceEnds refuses a request whose place didn't come, as soon as its time is over.
func TestPatienceEnds(t *testing.T) {
	l := ledger(1000)
	l.Submit(epoch, ask("long", 500, 300, time.Second, time.Second))
	l.Submit(epoch, ask("waits", 500, 300, 400*time.Millisecond, 400*time.Millisecond))
	l.Observe(epoch.Add(399*time.Millisecond), Report{MemoryTokens: 1000, StartUnixMillis: 1, Runs: []RunUsage{{"long", 600}}})
	out := l.Tick(epoch.Add(400 * time.Millisecond))
	if len(out) != 1 || out[0].Reason != ReasonWaitExpired {
		t.Errorf("outcome: %v; a refusal of waits would be right", out)
	}
}

// TestMemoryIsFreedOnEveryWayOut covers a run that its entry forgot, one that never
// started, and the restart of the engine.
func TestMemoryIsFreedOnEveryWayOut(t *testing.T) {
	l := ledger(1000)
	l.Submit(epoch, ask("a", 100, 100, time.Second, time.Second))
	l.Submit(epoch, ask("b", 100, 100, time.Second, time.Second))
	now := epoch.Add(10 * time.Millisecond)
	l.Observe(now, Report{MemoryTokens: 1000, StartUnixMillis: 1, Runs: []RunUsage{{"a", 110}}})
	now = now.Add(vanished + time.Millisecond)
	l.Observe(now, Report{MemoryTokens: 1000, StartUnixMillis: 1})
	if d := cmp.Diff(1, l.State().Running); d != "" {
		t.Errorf("running after a vanished (-want +got):\n%s", d)
	}
	now = now.Add(unseen)
	l.Observe(now, Report{MemoryTokens: 1000, StartUnixMillis: 1})
	if d := cmp.Diff(0, l.State().Running); d != "" {
		t.Errorf("running after b was never seen (-want +got):\n%s", d)
	}
	l.Submit(now, Request{ID: "c", PromptTokens: 100, MaxTokens: 100, ExpiresAt: now.Add(time.Second)})
	l.Observe(now, Report{MemoryTokens: 1000, StartUnixMillis: 2})
	if d := cmp.Diff(0, l.State().Running); d != "" {
		t.Errorf("running after a restart (-want +got):\n%s", d)
	}
}

// load runs random requests against an engine of some memory and returns how many were
// admitted and how many would have been preempted. Length draws an answer's length.
func load(seed uint64, memory int64, length func(r *rand.Rand, most int64) int64) (admitted, preempted int) {
	type job struct{ tokens, end int64 }
	r := rand.New(rand.NewPCG(seed, 7))
	l := New()
	l.SetSlots(8)
	jobs := map[string]*job{}
	asked := map[string]job{}
	now := epoch
	start := func(out []Outcome) {
		for _, o := range out {
			if o.Granted {
				j := asked[o.RequestID]
				jobs[o.RequestID] = &j
				admitted++
			}
		}
	}
	for n := range 6000 {
		now = now.Add(time.Millisecond)
		if r.IntN(20) == 0 {
			p, m := int64(50+r.IntN(900)), int64(10+r.IntN(900))
			name := fmt.Sprint(n)
			asked[name] = job{p, p + length(r, m)}
			start(l.Submit(now, Request{ID: name, PromptTokens: p, MaxTokens: m, ExpiresAt: now.Add(time.Second)}))
		}
		var used int64
		var rep []RunUsage
		for _, name := range slices.Sorted(maps.Keys(jobs)) {
			j := jobs[name]
			j.tokens++
			if j.tokens >= j.end {
				delete(jobs, name)
				start(l.Complete(now, name))
				continue
			}
			used += j.tokens
			rep = append(rep, RunUsage{name, j.tokens})
		}
		for _, x := range rep {
			if used > memory {
				preempted++
				used -= x.Tokens
				delete(jobs, x.RequestID)
				start(l.Release(now, x.RequestID))
			}
		}
		if n%10 == 0 {
			start(l.Observe(now, Report{MemoryTokens: memory, StartUnixMillis: 1, Runs: rep}))
		}
	}
	return admitted, preempted
}

// TestLongestAnswersAreNeverPreempted runs answers that all get as long as they may.
func TestLongestAnswersAreNeverPreempted(t *testing.T) {
	for seed := range uint64(20) {
		longest := func(_ *rand.Rand, most int64) int64 { return most }
		if n, lost := load(seed, 5000, longest); lost > 0 || n < 50 {
			t.Errorf("seed %d: %d of %d runs preempted", seed, lost, n)
		}
	}
}

// TestShortAnswersShareMemory runs answers of all lengths: far more are admitted than by
// their longest lengths, and no more are preempted than the plan takes into account.
func TestShortAnswersShareMemory(t *testing.T) {
	uniform := func(r *rand.Rand, most int64) int64 { return 1 + r.Int64N(most) }
	for seed := range uint64(20) {
		n, lost := load(seed, 5000, uniform)
		if lost*futures > n*mostOverflows {
			t.Errorf("seed %d: %d of %d runs preempted", seed, lost, n)
		}
	}
}

// TestLengths covers what is expected of answers before and after some have ended.
func TestLengths(t *testing.T) {
	l := newLengths()
	if d := cmp.Diff(int64(90), l.left(10, 100, median)); d != "" {
		t.Errorf("without samples (-want +got):\n%s", d)
	}
	for _, n := range []int64{10, 20, 30, 40, 50, 60} {
		l.learn(n, 100)
	}
	got := []int64{l.left(0, 100, 0), l.left(0, 100, median), l.left(0, 100, 0.99), l.left(35, 100, 0), l.left(80, 100, 0)}
	if d := cmp.Diff([]int64{10, 40, 60, 5, 10}, got); d != "" {
		t.Errorf("left (-want +got):\n%s", d)
	}
}
