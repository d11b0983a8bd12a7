package place

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSilentEngineKeepsItsRuns lets an engine be silent for longer than a run may be missing from its reports. What ran and
// what was preempted must keep their places, and what has ended must not.
func TestSilentEngineKeepsItsRuns(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	s := New()
	s.Observe(now, Report{MemoryTokens: 10000})
	for _, id := range []string{"runs", "preempted"} {
		if out := s.Submit(now, Request{ID: id, PromptTokens: 300, MaxTokens: 400, ExpiresAt: now.Add(time.Second)}); len(out) != 1 || !out[0].Granted {
			t.Fatalf("%s: outcome %v", id, out)
		}
	}
	now = now.Add(100 * time.Millisecond)
	s.Observe(now, Report{MemoryTokens: 10000, Runs: []RunUsage{{"runs", 310}, {"preempted", 310}}})
	now = now.Add(firstReportTimeout + time.Second)
	after := Report{MemoryTokens: 10000, Queued: 1, Runs: []RunUsage{{"runs", 350}}}
	s.Observe(now, after)
	if d := cmp.Diff(2, s.Running()); d != "" {
		t.Errorf("runs with a place after the silence (-want +got):\n%s", d)
	}
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		s.Observe(now, after)
	}
	if d := cmp.Diff(1, s.Running()); d != "" {
		t.Errorf("runs with a place once the engine has reported again for long (-want +got):\n%s", d)
	}
}

// TestNewSchedulerCountsForeignRuns checks that runs which another process granted, such as the manager of the engine
// before, count from the first report on.
func TestNewSchedulerCountsForeignRuns(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	s := New(WithReportLag(time.Second))
	s.Observe(now, Report{MemoryTokens: 1000, Runs: []RunUsage{{"a", 400}, {"b", 400}}})
	out := s.Submit(now, Request{ID: "c", PromptTokens: 300, MaxTokens: 400, ExpiresAt: now.Add(time.Second)})
	if len(out) > 0 && out[0].Granted || s.Running() != 2 {
		t.Errorf("%d runs, outcome %v; want 2 and no place", s.Running(), out)
	}
}
