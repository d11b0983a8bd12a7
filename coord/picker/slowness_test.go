package picker

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/cost"
	"cranberrypoint.example/coord/roster"
	"github.com/google/go-cmp/cmp"
)

var testJob = Job{Work: 20 * time.Millisecond, Error: 5 * time.Millisecond}

// countJobs returns how often each upstream is picked for n jobs at one moment, none of which ends.
func countJobs(p *Picker, now time.Time, l []roster.Upstream, j Job, n int) map[string]int {
	c := map[string]int{}
	for range n {
		u, _ := p.Pick(now, l, j)
		c[u.Instance]++
		p.CallStarted(u.Instance, j)
	}
	return c
}

// TestSlowUpstreamGetsLessWhileItIs checks that an upstream at 2.5 times the usual time gets nothing while others are
// free, some of the load when they aren't, and its part again when the figure is old. It is never ejected.
func TestSlowUpstreamGetsLessWhileItIs(t *testing.T) {
	l := upstreams("slow", "a", "b", "c")
	named := func() *Picker {
		p := New("home", 1)
		for _, u := range l {
			p.ObserveSlowness(epoch, u.Instance, 100)
		}
		p.ObserveSlowness(epoch.Add(1), "slow", 250)
		return p
	}
	if n := countJobs(named(), epoch.Add(1), l, testJob, 9)["slow"]; n != 0 {
		t.Errorf("slow upstream got %d of 9 calls while others were free", n)
	}
	if n := countJobs(named(), epoch.Add(1), l, testJob, 60)["slow"]; n == 0 || n > 8 {
		t.Errorf("slow upstream got %d of 60 calls at once, want 1 to 8", n)
	}
	if n := countJobs(named(), epoch.Add(5*time.Second), l, testJob, 400)["slow"]; n < 80 || n > 120 {
		t.Errorf("with an old figure the upstream got %d of 400 calls, want about 100", n)
	}
	p := named()
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * 6 * time.Millisecond)
		p.ObserveSlowness(now, "slow", 250)
		p.ObserveTime(now, "slow", 50*time.Millisecond, cost.Estimate{Work: testJob.Work})
		p.CallStarted("slow", testJob)
		p.CallEnded(now, "slow", testJob, Succeeded, &calls.Load{Running: 6, Slots: 6, SlownessPercent: 250})
		if p.Ejected(now, "slow") {
			t.Fatalf("ejected for its slowness after %d answers", i)
		}
	}
}

// TestExpensiveCallsCount checks that an upstream with few expensive calls counts as busier than one with several cheap
// ones.
func TestExpensiveCallsCount(t *testing.T) {
	p := New("home", 1)
	l := upstreams("expensive", "cheap")
	p.ObserveSlowness(epoch, "cheap", 100)
	p.CallStarted("expensive", Job{Work: 400 * time.Millisecond})
	for range 3 {
		p.CallStarted("cheap", Job{Work: 10 * time.Millisecond})
	}
	if d := cmp.Diff(map[string]int{"cheap": 5}, countJobs(p, epoch, l, testJob, 5)); d != "" {
		t.Errorf("picks (-want +got):\n%s", d)
	}
}

// TestEntriesDontHerd checks that entries with the same view, in which one upstream is slightly better, don't all send
// there.
func TestEntriesDontHerd(t *testing.T) {
	const entries = 60
	l := upstreams("a", "b", "c", "d", "e", "f")
	got := map[string]int{}
	for seed := range uint64(entries) {
		p := New("home", seed)
		for _, u := range l {
			p.ObserveSlowness(epoch, u.Instance, 105)
		}
		p.ObserveSlowness(epoch.Add(1), "a", 100)
		u, _ := p.Pick(epoch.Add(1), l, testJob)
		got[u.Instance]++
	}
	for n, c := range got {
		if c > entries/2 {
			t.Errorf("%d of %d entries chose %s", c, entries, n)
		}
	}
	if len(got) != len(l) {
		t.Errorf("only %d of %d upstreams were chosen", len(got), len(l))
	}
}

// TestSpillsWhenLate replays a data centre whose only upstream fills up: it is kept while it serves well within the target,
// then the other data centre gets what it serves earlier, and with a free upstream at home calls come back.
func TestSpillsWhenLate(t *testing.T) {
	l := upstreams("near", "far", "farther")
	l[1].DataCentre, l[2].DataCentre = "away", "away"
	j := testJob
	j.Target = 120 * time.Millisecond
	p := New("home", 1)
	p.ObserveSlowness(epoch, "near", 100)
	if d := cmp.Diff(map[string]int{"near": 10}, countJobs(p, epoch, l, j, 10)); d != "" {
		t.Errorf("while it serves in time (-want +got):\n%s", d)
	}
	c := countJobs(p, epoch, l, j, 60)
	if c["far"] < 20 || c["farther"] < 20 {
		t.Errorf("beyond that: %v, want both others used", c)
	}
	for range 10 {
		p.CallEnded(epoch, "near", j, Abandoned, nil)
	}
	if u, _ := p.Pick(epoch, l, j); u.Instance != "near" {
		t.Errorf("%s is picked after the data centre's upstream is free again", u.Instance)
	}
}

// TestWithoutFiguresNothingChanges checks that jobs, loads and seen times of upstreams that name no slowness lead to the
// picks of the score alone.
func TestWithoutFiguresNothingChanges(t *testing.T) {
	l := upstreams("a", "b", "c")
	l[2].DataCentre = "away"
	p, q := New("home", 7), New("home", 7)
	for i := range 500 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		got, _ := p.Pick(now, l, Job{Work: time.Duration(1+i%9) * time.Millisecond, Target: time.Second})
		want, _ := q.pickByScore(now, l)
		if d := cmp.Diff(want, got); d != "" {
			t.Fatalf("pick %d (-want +got):\n%s", i, d)
		}
		for _, x := range []*Picker{p, q} {
			x.CallStarted(got.Instance, testJob)
			if i%3 > 0 {
				x.CallEnded(now, got.Instance, testJob, Result(i%2), &calls.Load{Running: i % 7, Slots: 6})
			}
		}
		p.ObserveSlowness(now, got.Instance, 0)
		p.ObserveTime(now, got.Instance, time.Second, cost.Estimate{Work: time.Millisecond})
	}
}

// TestEjectedIsNotPickedByFinish checks that ejections count among uneven upstreams, and that one is picked although
// all are ejected.
func TestEjectedIsNotPickedByFinish(t *testing.T) {
	p := New("home", 1)
	l := upstreams("gone", "slow")
	p.ObserveSlowness(epoch, "slow", 900)
	for _, n := range []string{"gone", "gone"} {
		p.CallStarted(n, testJob)
		p.CallEnded(epoch, n, testJob, NoAnswer, nil)
	}
	if d := cmp.Diff(map[string]int{"slow": 20}, countJobs(p, epoch, l, testJob, 20)); d != "" {
		t.Errorf("picks (-want +got):\n%s", d)
	}
	if u, ok := p.Pick(epoch, l[:1], testJob); !ok || u.Instance != "gone" {
		t.Error("no upstream is picked while all are ejected")
	}
}

// TestFailingUpstreamIsNotKeptForNearness checks that an upstream which fails a third of its calls gets few of them,
// although it is the only one of its data centre, calls are short, and its health check is good.
func TestFailingUpstreamIsNotKeptForNearness(t *testing.T) {
	l := upstreams("failing", "far")
	l[1].DataCentre = "away"
	p := New("home", 1)
	p.ObserveSlowness(epoch, "failing", 100)
	j := Job{Work: 15 * time.Millisecond, Error: 5 * time.Millisecond, Target: 120 * time.Millisecond}
	for i := range 40 {
		p.CallStarted("failing", j)
		p.CallEnded(epoch, "failing", j, []Result{Failed, Succeeded, Succeeded}[i%3], nil)
	}
	if n := countJobs(p, epoch, l, j, 20)["failing"]; n > 2 {
		t.Errorf("a failing upstream got %d of 20 calls", n)
	}
}
