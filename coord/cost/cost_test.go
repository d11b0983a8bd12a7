package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// near reports whether two durations differ by at most a part of the second.
func near(got, want time.Duration, part float64) bool {
	return math.Abs(float64(got-want)) <= part*float64(want)
}

// TestWorkIsLearnedByRouteAndWorkspace replays answers of two workspaces on one route, one with five times the work of
// the other, and checks the estimates for them and for what wasn't seen, and that errors are wide where little was seen.
func TestWorkIsLearnedByRouteAndWorkspace(t *testing.T) {
	const light, heavy = 10 * time.Millisecond, 50 * time.Millisecond
	x, r := NewTable(), rand.New(rand.NewPCG(1, 1))
	jitter := func(d time.Duration) time.Duration { return time.Duration(float64(d) * (0.8 + 0.4*r.Float64())) }
	k := func(route, workspace string) Key { return Key{"api", route, workspace} }
	if d := cmp.Diff(Estimate{Work: defaultWork, Error: defaultWork}, x.Expect(k("read", "w"))); d != "" {
		t.Errorf("before any answer (-want +got):\n%s", d)
	}
	for range 200 {
		x.Observe(k("read", "light"), jitter(light))
		x.Observe(k("read", "heavy"), jitter(heavy))
	}
	l, h, unseen := x.Expect(k("read", "light")), x.Expect(k("read", "heavy")), x.Expect(k("read", "new"))
	if !near(l.Work, light, 0.15) || !near(h.Work, heavy, 0.15) {
		t.Errorf("expected %v and %v, want about %v and %v", l.Work, h.Work, light, heavy)
	}
	if !near(unseen.Work, (light+heavy)/2, 0.1) || !near(unseen.Error, (heavy-light)/2, 0.2) {
		t.Errorf("a workspace that wasn't seen: %v with error %v, want about the route's mean and spread", unseen.Work, unseen.Error)
	}
	if h.Error >= unseen.Error || l.Error >= unseen.Error {
		t.Errorf("errors %v and %v of workspaces that were seen are not below %v", l.Error, h.Error, unseen.Error)
	}
	x.Observe(k("read", "new"), heavy)
	if e := x.Expect(k("read", "new")); e.Work > (unseen.Work+heavy)/2 || e.Error < unseen.Error/2 {
		t.Errorf("one answer of a workspace counts for too much: %+v", e)
	}
	if e := x.Expect(k("write", "w")); !near(e.Work, (light+heavy)/2, 0.1) {
		t.Errorf("a route that wasn't seen: %v, want about the service's mean", e.Work)
	}
}

// TestErrorIsHonest checks that about as many requests as under a normal distribution, or more, lie within one error
// of the estimate made before each.
func TestErrorIsHonest(t *testing.T) {
	x, r := NewTable(), rand.New(rand.NewPCG(2, 2))
	in, total := 0, 0
	for range 2000 {
		k := Key{"api", "read", fmt.Sprint(r.IntN(50))}
		e := x.Expect(k)
		w := time.Duration(float64(20*time.Millisecond) * math.Exp(math.Log(5)*(r.Float64()-0.5)))
		if total++; (w - e.Work).Abs() <= e.Error {
			in++
		}
		x.Observe(k, w)
	}
	if p := float64(in) / float64(total); p < 0.6 || p > 0.85 {
		t.Errorf("%.0f%% of the requests lie within one error, want 60%% to 85%%", 100*p)
	}
}

// TestTableIsBounded checks that the longest unused workspace is dropped.
func TestTableIsBounded(t *testing.T) {
	x := NewTable()
	key := func(i int) Key { return Key{"api", "read", fmt.Sprint(i)} }
	for i := range maxKeys {
		x.Observe(key(i), time.Second)
	}
	x.Expect(key(0))
	x.Observe(key(maxKeys), time.Second)
	got := []bool{x.leaves[key(0)] != nil, x.leaves[key(1)] != nil, x.leaves[key(maxKeys)] != nil}
	if d := cmp.Diff([]bool{true, false, true}, got); d != "" || len(x.leaves) != maxKeys {
		t.Errorf("first, second and last of %d keys are kept (-want +got):\n%s", len(x.leaves), d)
	}
}

// TestWorkOf checks that neither a queue nor a slow upstream counts as work.
func TestWorkOf(t *testing.T) {
	if d := cmp.Diff(20*time.Millisecond, WorkOf(100*time.Millisecond, 2.5, 1)); d != "" {
		t.Errorf("work (-want +got):\n%s", d)
	}
}

// TestSlownessDecays checks that a figure counts when it is new, and is back at usual a few seconds later.
func TestSlownessDecays(t *testing.T) {
	s := NewSpeeds()
	s.Observe(start, "a", 250)
	for _, c := range []struct {
		after     time.Duration
		low, high float64
	}{{0, 2.5, 2.5}, {100 * time.Millisecond, 1.9, 2.4}, {600 * time.Millisecond, 1.05, 1.5}, {5 * time.Second, 1, 1.001}} {
		if f, age := s.Slowness(start.Add(c.after), "a"); f < c.low || f > c.high || age != c.after {
			t.Errorf("after %v: slowness %.2f of age %v, want %v to %v", c.after, f, age, c.low, c.high)
		}
	}
	s.Observe(start.Add(-time.Second), "a", 100)
	s.Observe(start.Add(time.Second), "a", 0)
	if f, _ := s.Slowness(start, "a"); f != 2.5 {
		t.Errorf("an older or unknown figure changed the slowness to %.2f", f)
	}
}

// TestPersistenceIsLearned replays upstreams that are slow for a time, and checks that the fade follows it.
func TestPersistenceIsLearned(t *testing.T) {
	learned := func(period time.Duration) time.Duration {
		s, r := NewSpeeds(), rand.New(rand.NewPCG(3, 3))
		percent := 100
		for at := time.Duration(0); at < time.Minute; at += 20 * time.Millisecond {
			if r.Float64() < float64(20*time.Millisecond)/float64(period) {
				percent = 350 - percent
			}
			s.Observe(start.Add(at), "a", percent)
		}
		return s.persistence()
	}
	short, long := learned(100*time.Millisecond), learned(600*time.Millisecond)
	if !near(short, 100*time.Millisecond, 0.5) || !near(long, 600*time.Millisecond, 0.5) {
		t.Errorf("learned %v and %v, want about 100ms and 600ms", short, long)
	}
}

// TestSeenTimesWithoutFigures checks that an upstream which names nothing is known as slow from its answers, less so
// where the work is uncertain, and for a time only.
func TestSeenTimesWithoutFigures(t *testing.T) {
	s := NewSpeeds()
	for i := range 30 {
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		s.ObserveTime(at, "sure", 50*time.Millisecond, Estimate{Work: 20 * time.Millisecond, Error: 2 * time.Millisecond})
		if i < 3 {
			s.ObserveTime(at, "unsure", 50*time.Millisecond, Estimate{Work: 20 * time.Millisecond, Error: 40 * time.Millisecond})
		}
	}
	now := start.Add(300 * time.Millisecond)
	sure, _ := s.Slowness(now, "sure")
	unsure, _ := s.Slowness(now, "unsure")
	later, _ := s.Slowness(now.Add(seenMaxAge), "sure")
	if sure < 2 || unsure > 1.5 || later != usual || s.HasNamed("sure") {
		t.Errorf("slowness %.2f, uncertain %.2f, later %.2f, named %v", sure, unsure, later, s.HasNamed("sure"))
	}
}

// BenchmarkExpect estimates the work of a request among those of 13,000 workspaces.
func BenchmarkExpect(b *testing.B) {
	x := NewTable()
	keys := make([]Key, 13_000)
	for i := range keys {
		keys[i] = Key{"api", "read", fmt.Sprint("workspace-", i)}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := keys[i%len(keys)]
		x.Observe(k, time.Millisecond)
		x.Expect(k)
	}
}

// BenchmarkTable fills a table with 13,000 workspaces and reports its memory.
func BenchmarkTable(b *testing.B) {
	names := make([]string, 13_000)
	for i := range names {
		names[i] = fmt.Sprint("workspace-", i)
	}
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		x := NewTable()
		for _, n := range names {
			x.Observe(Key{"api", "read", n}, time.Millisecond)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B/table")
		runtime.KeepAlive(x)
	}
}
