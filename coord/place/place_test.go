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

// newRequest returns a request whose times are relative to epoch. A startBy of 0 makes it
// late.
func newRequest(id string, promptTokens, maxTokens int64, startBy, expires time.Duration) Request {
	r := Request{ID: id, PromptTokens: promptTokens, MaxTokens: maxTokens, ExpiresAt: epoch.Add(expires)}
	if startBy > 0 {
		r.StartBy = epoch.Add(startBy)
	}
	return r
}

func newScheduler(memoryTokens int64) *Scheduler {
	s := New()
	s.SetSlots(4)
	s.Observe(epoch, Report{MemoryTokens: memoryTokens, StartUnixMillis: 1})
	return s
}

func grantedIDs(out []Outcome) (ids []string) {
	for _, o := range out {
		if o.Granted {
			ids = append(ids, o.RequestID)
		}
	}
	return ids
}

// TestPeakMatchesSimulation compares peakTokens with a simulation of the runs step by step.
func TestPeakMatchesSimulation(t *testing.T) {
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
				if g.remainingTokens >= s {
					sum += g.usedTokens + blockTokens + s
				}
			}
			want = max(want, sum)
		}
		if d := cmp.Diff(want, peakTokens(runs)); d != "" {
			t.Fatalf("peak of %v (-want +got):\n%s", runs, d)
		}
	}
}

// TestStaggeredRunsShareMemory checks that a run is admitted if the other run ends before
// it needs the memory, although the sum of their peaks is larger than the memory.
func TestStaggeredRunsShareMemory(t *testing.T) {
	s := newScheduler(1000)
	s.Submit(epoch, newRequest("a", 400, 100, time.Second, time.Second))
	s.Observe(epoch, Report{MemoryTokens: 1000, StartUnixMillis: 1, Runs: []RunUsage{{"a", 495}}})
	out := s.Submit(epoch, newRequest("b", 300, 400, time.Second, time.Second))
	if d := cmp.Diff([]string{"b"}, grantedIDs(out)); d != "" {
		t.Errorf("granted (-want +got):\n%s", d)
	}
}

// TestQueueOrder checks the order of grants when two timely requests and a late one wait for
// one place: the timely ones by StartBy, then the late one.
func TestQueueOrder(t *testing.T) {
	s := newScheduler(1000)
	if d := cmp.Diff([]string{"first"}, grantedIDs(s.Submit(epoch, newRequest("first", 500, 300, time.Second, 3*time.Second)))); d != "" {
		t.Fatalf("granted (-want +got):\n%s", d)
	}
	s.Submit(epoch, newRequest("late", 500, 300, 0, 3*time.Second))
	s.Submit(epoch, newRequest("second", 500, 300, 900*time.Millisecond, 3*time.Second))
	s.Submit(epoch, newRequest("soonest", 500, 300, 600*time.Millisecond, 3*time.Second))
	var order []string
	for _, n := range []string{"first", "soonest", "second"} {
		order = append(order, grantedIDs(s.Release(epoch.Add(400*time.Millisecond), n))...)
	}
	if d := cmp.Diff([]string{"soonest", "second", "late"}, order); d != "" {
		t.Errorf("order of grants (-want +got):\n%s", d)
	}
}

// TestHopelessRequestIsRefused checks that a request which can't get a place before it expires
// is refused at once, with the time at which a place is likely, and that one which is larger
// than the memory is refused at once too.
func TestHopelessRequestIsRefused(t *testing.T) {
	s := newScheduler(1000)
	s.Submit(epoch, newRequest("long", 500, 300, time.Second, time.Second))
	got := s.Submit(epoch, newRequest("unreachable", 500, 300, 100*time.Millisecond, 200*time.Millisecond))
	want := []Outcome{{RequestID: "unreachable", Reason: ReasonNoPlace, RetryAt: epoch.Add(300 * initialStepTime)}}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("outcome (-want +got):\n%s", d)
	}
	got = s.Submit(epoch, newRequest("huge", 900, 300, time.Second, time.Second))
	want = []Outcome{{RequestID: "huge", Reason: ReasonTooLarge, RetryAt: epoch}}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("outcome (-want +got):\n%s", d)
	}
}

// TestExpiredRequestIsRefused checks that a queued request is refused as soon as it expires.
func TestExpiredRequestIsRefused(t *testing.T) {
	s := newScheduler(1000)
	s.Submit(epoch, newRequest("long", 500, 300, time.Second, time.Second))
	s.Submit(epoch, newRequest("queued", 500, 300, 400*time.Millisecond, 400*time.Millisecond))
	s.Observe(epoch.Add(399*time.Millisecond), Report{MemoryTokens: 1000, StartUnixMillis: 1, Runs: []RunUsage{{"long", 600}}})
	out := s.Tick(epoch.Add(400 * time.Millisecond))
	if len(out) != 1 || out[0].Reason != ReasonWaitExpired {
		t.Errorf("outcomes: %v, want one refusal of the expired request", out)
	}
}

// TestEndedRunsFreeMemory checks that places are freed without a release: that of a run
// that disappears from the reports, that of a run that never starts, and all of them when
// the engine restarts.
func TestEndedRunsFreeMemory(t *testing.T) {
	s := newScheduler(1000)
	s.Submit(epoch, newRequest("a", 100, 100, time.Second, time.Second))
	s.Submit(epoch, newRequest("b", 100, 100, time.Second, time.Second))
	now := epoch.Add(10 * time.Millisecond)
	s.Observe(now, Report{MemoryTokens: 1000, StartUnixMillis: 1, Runs: []RunUsage{{"a", 110}}})
	now = now.Add(reportTimeout + time.Millisecond)
	s.Observe(now, Report{MemoryTokens: 1000, StartUnixMillis: 1})
	if d := cmp.Diff(1, s.State(now).Running); d != "" {
		t.Errorf("running after a disappeared from the reports (-want +got):\n%s", d)
	}
	now = now.Add(firstReportTimeout)
	s.Observe(now, Report{MemoryTokens: 1000, StartUnixMillis: 1})
	if d := cmp.Diff(0, s.State(now).Running); d != "" {
		t.Errorf("running after b was never reported (-want +got):\n%s", d)
	}
	s.Submit(now, Request{ID: "c", PromptTokens: 100, MaxTokens: 100, ExpiresAt: now.Add(time.Second)})
	s.Observe(now, Report{MemoryTokens: 1000, StartUnixMillis: 2})
	if d := cmp.Diff(0, s.State(now).Running); d != "" {
		t.Errorf("running after a restart (-want +got):\n%s", d)
	}
}

// simulate runs random requests on an engine with the given memory in tokens, and returns
// how many were admitted and how many of these were preempted for want of memory. The
// function length returns a random length for an answer of at most maxTokens.
func simulate(seed uint64, memory int64, length func(r *rand.Rand, maxTokens int64) int64) (admitted, preempted int) {
	type job struct{ tokens, end int64 }
	r := rand.New(rand.NewPCG(seed, 7))
	s := New()
	s.SetSlots(8)
	jobs := map[string]*job{}
	requested := map[string]job{}
	now := epoch
	start := func(out []Outcome) {
		for _, o := range out {
			if o.Granted {
				j := requested[o.RequestID]
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
			requested[name] = job{p, p + length(r, m)}
			start(s.Submit(now, Request{ID: name, PromptTokens: p, MaxTokens: m, ExpiresAt: now.Add(time.Second)}))
		}
		var used int64
		var usage []RunUsage
		for _, name := range slices.Sorted(maps.Keys(jobs)) {
			j := jobs[name]
			j.tokens++
			if j.tokens >= j.end {
				delete(jobs, name)
				start(s.Complete(now, name))
				continue
			}
			used += j.tokens
			usage = append(usage, RunUsage{name, j.tokens})
		}
		for _, x := range usage {
			if used > memory {
				preempted++
				used -= x.Tokens
				delete(jobs, x.RequestID)
				start(s.Release(now, x.RequestID))
			}
		}
		if n%10 == 0 {
			start(s.Observe(now, Report{MemoryTokens: memory, StartUnixMillis: 1, Runs: usage}))
		}
	}
	return admitted, preempted
}

// TestLongestAnswersAreNeverPreempted checks that no run is preempted if all answers reach
// their maximum length, and that at least 50 runs are admitted.
func TestLongestAnswersAreNeverPreempted(t *testing.T) {
	for seed := range uint64(20) {
		longest := func(_ *rand.Rand, maxTokens int64) int64 { return maxTokens }
		if n, preempted := simulate(seed, 5000, longest); preempted > 0 || n < 50 {
			t.Errorf("seed %d: %d of %d runs preempted; want none, of at least 50", seed, preempted, n)
		}
	}
}

// TestShortAnswersShareMemory checks that, with answers of all lengths, at most the fraction
// maxOverflows/scenarioCount of the runs is preempted, as a plan may overflow in that fraction
// of its scenarios. Planning each run with its maximum length would admit far fewer runs,
// which the test doesn't measure.
func TestShortAnswersShareMemory(t *testing.T) {
	uniform := func(r *rand.Rand, maxTokens int64) int64 { return 1 + r.Int64N(maxTokens) }
	for seed := range uint64(20) {
		n, preempted := simulate(seed, 5000, uniform)
		if preempted*scenarioCount > n*maxOverflows {
			t.Errorf("seed %d: %d of %d runs preempted, want at most %d in %d", seed, preempted, n, maxOverflows, scenarioCount)
		}
	}
}

// TestRemainingTokens checks the estimate without samples, and with samples for answers that
// are shorter and longer than the longest sample. One answer is assumed that reaches its maximum.
func TestRemainingTokens(t *testing.T) {
	l := newLengthModel()
	if d := cmp.Diff(int64(90), l.survival(nil).remainingTokens(10, 100, medianQuantile)); d != "" {
		t.Errorf("remaining tokens without samples (-want +got):\n%s", d)
	}
	for _, n := range []int64{10, 20, 30, 40, 50, 60} {
		l.add(n, 100)
	}
	s := l.survival(nil)
	got := []int64{s.remainingTokens(0, 100, 0), s.remainingTokens(0, 100, medianQuantile), s.remainingTokens(0, 100, 0.99), s.remainingTokens(35, 100, 0), s.remainingTokens(80, 100, 0)}
	if d := cmp.Diff([]int64{10, 40, 100, 5, 10}, got); d != "" {
		t.Errorf("remaining tokens of 0, 0, 0, 35 and 80 generated ones (-want +got):\n%s", d)
	}
}

// TestUnfinishedAnswersCount checks that answers which are longer than the completed ones already,
// but haven't ended, raise the estimate.
func TestUnfinishedAnswersCount(t *testing.T) {
	l := newLengthModel()
	for range minSamples {
		l.add(10, 100)
	}
	got := []int64{l.survival(nil).remainingTokens(0, 100, medianQuantile), l.survival([]float64{0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5}).remainingTokens(0, 100, medianQuantile)}
	if d := cmp.Diff([]int64{10, 100}, got); d != "" {
		t.Errorf("median without and with unfinished answers (-want +got):\n%s", d)
	}
}
