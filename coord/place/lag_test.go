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

const (
	// testLag is the age of the reports in these tests.
	testLag = 900 * time.Millisecond
	// testPollInterval is the time between two reports.
	testPollInterval = time.Second
)

// TestReleasedRunIsNotTakenForNewOne replays a report that was made before a run ended and
// arrives afterwards. The run must not get its place back.
func TestReleasedRunIsNotTakenForNewOne(t *testing.T) {
	s := New(WithReportLag(testLag))
	s.Observe(epoch, Report{MemoryTokens: 1000, StartUnixMillis: 1})
	s.Submit(epoch, newRequest("a", 100, 800, time.Second, time.Second))
	s.Complete(epoch.Add(2*time.Second), "a")
	now := epoch.Add(2100 * time.Millisecond)
	s.Observe(now, Report{MemoryTokens: 1000, StartUnixMillis: 1, Runs: []RunUsage{{"a", 700}}})
	if d := cmp.Diff(0, s.State(now).Running); d != "" {
		t.Errorf("running after the release (-want +got):\n%s", d)
	}
	now = now.Add(testLag + cancelTime)
	s.Observe(now, Report{MemoryTokens: 1000, StartUnixMillis: 1, Runs: []RunUsage{{"a", 900}}})
	if d := cmp.Diff(1, s.State(now).Running); d != "" {
		t.Errorf("running once reports show that the engine goes on with the run (-want +got):\n%s", d)
	}
}

// TestGrowthIsProjected checks the memory that a run is estimated to hold between two reports.
func TestGrowthIsProjected(t *testing.T) {
	s := New(WithReportLag(testLag))
	s.Observe(epoch, Report{MemoryTokens: 10000, StartUnixMillis: 1})
	s.Submit(epoch, newRequest("a", 100, 5000, time.Second, time.Second))
	now := epoch.Add(time.Second)
	s.Observe(now, Report{MemoryTokens: 10000, StartUnixMillis: 1, Runs: []RunUsage{{"a", 200}}})
	for _, c := range []struct {
		after time.Duration
		want  int64
	}{{0, 1100}, {500 * time.Millisecond, 1600}, {time.Minute, 5100}} {
		if d := cmp.Diff(c.want, s.currentTokens(now.Add(c.after), s.runs["a"])); d != "" {
			t.Errorf("tokens %s after the report (-want +got):\n%s", c.after, d)
		}
	}
}

// laggingEngine is an engine that adds a token to each run in each millisecond, and whose
// reports are old when they arrive.
type laggingEngine struct {
	memory    int64
	runs      map[string]*growth
	preempted int
	// reports holds what the engine held in each millisecond.
	reports [][]RunUsage
}

// step lets a millisecond pass and returns the runs that have ended.
func (e *laggingEngine) step() (ended []string) {
	var used int64
	var usage []RunUsage
	for _, id := range slices.Sorted(maps.Keys(e.runs)) {
		g := e.runs[id]
		g.usedTokens++
		g.remainingTokens--
		if g.remainingTokens <= 0 {
			ended = append(ended, id)
			continue
		}
		used += g.usedTokens
		usage = append(usage, RunUsage{id, g.usedTokens})
	}
	for used > e.memory && len(usage) > 0 {
		last := usage[len(usage)-1]
		usage = usage[:len(usage)-1]
		used -= last.Tokens
		e.preempted++
		ended = append(ended, last.RequestID)
	}
	for _, id := range ended {
		delete(e.runs, id)
	}
	e.reports = append(e.reports, usage)
	return ended
}

// report returns what the engine held testLag ago.
func (e *laggingEngine) report() Report {
	i := max(0, len(e.reports)-1-int(testLag/time.Millisecond))
	return Report{MemoryTokens: e.memory, StartUnixMillis: 1, Runs: e.reports[i]}
}

// TestLaggingReports replays sustained overload on an engine whose manager is another VM: a
// report arrives once a second and is nearly a second old. At most
// maxOverflows in scenarioCount runs are preempted, as a plan may overflow in that fraction of
// its scenarios.
func TestLaggingReports(t *testing.T) {
	for seed := range uint64(8) {
		r := rand.New(rand.NewPCG(seed, 7))
		s := New(WithReportLag(testLag))
		s.SetSlots(12)
		e := &laggingEngine{memory: 40000, runs: map[string]*growth{}}
		requested := map[string]growth{}
		admitted := 0
		start := func(out []Outcome) {
			for _, o := range out {
				if o.Granted {
					g := requested[o.RequestID]
					e.runs[o.RequestID] = &g
					admitted++
				}
			}
		}
		s.Observe(epoch, Report{MemoryTokens: e.memory, StartUnixMillis: 1})
		for n := range 40000 {
			now := epoch.Add(time.Duration(n) * time.Millisecond)
			if r.IntN(200) == 0 {
				p, m := int64(50+r.IntN(4000)), int64(100+r.IntN(8000))
				id := fmt.Sprintf("%06d", n)
				requested[id] = growth{p, 1 + r.Int64N(m)}
				start(s.Submit(now, Request{ID: id, PromptTokens: p, MaxTokens: m, ExpiresAt: now.Add(time.Second)}))
			}
			for _, id := range e.step() {
				start(s.Complete(now, id))
			}
			start(s.Tick(now))
			if n%int(testPollInterval/time.Millisecond) == 0 {
				start(s.Observe(now, e.report()))
			}
		}
		if e.preempted*scenarioCount > admitted*maxOverflows || admitted < 70 {
			t.Errorf("seed %d: %d of %d runs preempted, want at most %d in %d of at least 70", seed, e.preempted, admitted, maxOverflows, scenarioCount)
		}
	}
}
