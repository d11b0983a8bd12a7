package place

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// preemptingEngine adds a token to each run in each millisecond. If its memory is full, it
// preempts the newest run, which waits until its tokens fit again and then goes on.
type preemptingEngine struct {
	memory    int64
	runs      map[string]*growth
	preempted map[string]*growth
	// count is the number of preemptions.
	count int
}

func newPreemptingEngine(memory int64) *preemptingEngine {
	return &preemptingEngine{memory: memory, runs: map[string]*growth{}, preempted: map[string]*growth{}}
}

func (e *preemptingEngine) used() (n int64) {
	for _, g := range e.runs {
		n += g.usedTokens
	}
	return n
}

// step lets a millisecond pass and returns the runs whose answers have ended.
func (e *preemptingEngine) step() (ended []string) {
	for _, id := range slices.Sorted(maps.Keys(e.runs)) {
		g := e.runs[id]
		g.usedTokens++
		g.remainingTokens--
		if g.remainingTokens <= 0 {
			delete(e.runs, id)
			ended = append(ended, id)
		}
	}
	for _, id := range slices.Backward(slices.Sorted(maps.Keys(e.runs))) {
		if e.used() <= e.memory {
			break
		}
		e.preempted[id] = e.runs[id]
		delete(e.runs, id)
		e.count++
	}
	for _, id := range slices.Sorted(maps.Keys(e.preempted)) {
		if g := e.preempted[id]; e.used()+g.usedTokens+blockTokens < e.memory {
			e.runs[id] = g
			delete(e.preempted, id)
		}
	}
	return ended
}

func (e *preemptingEngine) report() Report {
	r := Report{MemoryTokens: e.memory, StartUnixMillis: 1, Queued: len(e.preempted)}
	for _, id := range slices.Sorted(maps.Keys(e.runs)) {
		r.Runs = append(r.Runs, RunUsage{id, e.runs[id].usedTokens})
	}
	return r
}

// TestColdStart replays a burst at an agent that has just started and knows no answer lengths.
// The first answers to end are the shortest ones. If they alone were taken as a sample, the
// engine would be filled with runs that are much longer than expected. At most
// maxOverflows in scenarioCount runs are preempted, as a plan may overflow in that fraction of
// its scenarios.
func TestColdStart(t *testing.T) {
	preempted, admitted := 0, 0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 5))
		s := New()
		s.SetSlots(12)
		e := newPreemptingEngine(80000)
		s.Observe(epoch, e.report())
		requested := map[string]growth{}
		start := func(out []Outcome) {
			for _, o := range out {
				if o.Granted {
					g := requested[o.RequestID]
					e.runs[o.RequestID] = &g
					admitted++
				}
			}
		}
		for n := range 15000 {
			now := epoch.Add(time.Duration(n) * time.Millisecond)
			if r.IntN(150) == 0 {
				p := int64(1000 + r.IntN(9000))
				id := fmt.Sprintf("%06d", n)
				// Half of the longest answer on average, seldom above three quarters.
				length := int64(11570 * min(1, max(0.05, 0.5+0.25*r.NormFloat64())))
				requested[id] = growth{p, length}
				start(s.Submit(now, Request{ID: id, PromptTokens: p, MaxTokens: 11570, ExpiresAt: now.Add(2 * time.Second)}))
			}
			for _, id := range e.step() {
				start(s.Complete(now, id))
			}
			if n%50 == 0 {
				start(s.Observe(now, e.report()))
			}
		}
		preempted += e.count
	}
	if preempted*scenarioCount > admitted*maxOverflows || admitted < 300 {
		t.Errorf("%d of %d runs preempted, want at most %d in %d of at least 300", preempted, admitted, maxOverflows, scenarioCount)
	}
	t.Logf("%d of %d runs preempted", preempted, admitted)
}

// TestPreemptedRunKeepsItsPlace replays an engine that preempts a run: it is missing from the
// reports, and waits in the engine's queue. Its place must not be given to another request,
// since the run comes back. Once the queue is empty, the run has ended.
func TestPreemptedRunKeepsItsPlace(t *testing.T) {
	s := newScheduler(1000)
	s.Submit(epoch, newRequest("a", 400, 300, time.Second, time.Second))
	s.Observe(epoch, Report{MemoryTokens: 1000, StartUnixMillis: 1, Runs: []RunUsage{{"a", 500}}})
	now := epoch
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		s.Observe(now, Report{MemoryTokens: 1000, StartUnixMillis: 1, Queued: 1})
	}
	if n := s.State(now).Running; n != 1 {
		t.Errorf("%d runs have a place while one was preempted, want 1", n)
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		s.Observe(now, Report{MemoryTokens: 1000, StartUnixMillis: 1})
	}
	if n := s.State(now).Running; n != 0 {
		t.Errorf("%d runs have a place after the engine's queue is empty, want 0", n)
	}
}
