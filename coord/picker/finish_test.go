package picker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/cost"
	"cranberrypoint.example/coord/roster"
)

// The load of the replay: calls whose work spreads five-fold and more by workspace, to upstreams of which slowShare are
// slowFactor times slower at each moment, each for slowTime.
const (
	replayEntries   = 8
	replayUpstreams = 32
	replaySlots     = 6
	replayTime      = 5 * time.Second
	replayUse       = 0.8
	replayWorkMean  = 20 * time.Millisecond
	workSpread      = 5.0
	slowShare       = 0.15
	slowFactor      = 2.5
	slowTime        = 600 * time.Millisecond
	tick            = time.Millisecond
)

// replayCall is a call of an entry.
type replayCall struct {
	entry     int
	key       cost.Key
	job       Job
	estimate  cost.Estimate
	slowness  float64
	began     time.Time
	remaining time.Duration
}

// replayUpstream serves its first calls, as many as it has slots; the others wait.
type replayUpstream struct {
	calls     []*replayCall
	slow      bool
	slowUntil time.Time
}

// replayEntry is an entry that sees only its own calls.
type replayEntry struct {
	picker *Picker
	costs  *cost.Table
}

// run replays the load and returns the 95th percentile of the times of calls, and the most calls that upstreams had
// at once. figures is whether upstreams name their slowness.
func run(seed uint64, figures bool) (p95 time.Duration, most int) {
	r := rand.New(rand.NewPCG(seed, seed))
	var entries []replayEntry
	for i := range replayEntries {
		entries = append(entries, replayEntry{New("home", seed+uint64(i)), cost.NewTable()})
	}
	var list []roster.Upstream
	ups := make([]replayUpstream, replayUpstreams)
	for i := range ups {
		ups[i].slow = r.Float64() > slowShare
		list = append(list, roster.Upstream{Instance: fmt.Sprint(i), DataCentre: "home", Slots: replaySlots})
	}
	capacity := replayUpstreams * replaySlots * (1 - slowShare + slowShare/slowFactor)
	perTick := replayUse * capacity * tick.Seconds() / replayWorkMean.Seconds()
	var times []time.Duration
	for now := epoch; now.Before(epoch.Add(replayTime)); now = now.Add(tick) {
		for n := perTick; r.Float64() < n; n-- {
			c := newReplayCall(r, now)
			e := entries[c.entry]
			c.estimate = e.costs.Expect(c.key)
			c.job = Job{Work: c.estimate.Work, Error: c.estimate.Error}
			u, _ := e.picker.Pick(now, list, c.job)
			e.picker.CallStarted(u.Instance, c.job)
			c.slowness, _ = e.picker.Slowness(now, u.Instance)
			i, _ := strconv.Atoi(u.Instance)
			ups[i].calls = append(ups[i].calls, c)
			most = max(most, len(ups[i].calls))
		}
		for i := range ups {
			for _, c := range ups[i].serve(r, now) {
				l := ups[i].load(figures)
				entries[c.entry].end(now, list[i].Instance, c, l)
				if now.Sub(epoch) > replayTime/4 {
					times = append(times, now.Sub(c.began))
				}
			}
		}
	}
	slices.Sort(times)
	return times[len(times)*95/100], most
}

// newReplayCall draws a call. The work depends on the workspace, and for a part on nothing that can be known.
func newReplayCall(r *rand.Rand, now time.Time) *replayCall {
	w := r.IntN(40)
	spread := math.Pow(workSpread, float64(w)/39-0.5) * (0.7 + 0.6*r.Float64())
	return &replayCall{
		entry:     r.IntN(replayEntries),
		key:       cost.Key{Service: "api", Route: "read", Workspace: fmt.Sprint(w)},
		began:     now,
		remaining: time.Duration(spread * float64(replayWorkMean) / 1.08),
	}
}

// serve advances an upstream by a tick and returns the calls that have ended.
func (u *replayUpstream) serve(r *rand.Rand, now time.Time) (ended []*replayCall) {
	if !now.Before(u.slowUntil) {
		usualTime := time.Duration(r.ExpFloat64() * float64(slowTime) * (1 - slowShare) / slowShare)
		u.slow = !u.slow
		u.slowUntil = now.Add(map[bool]time.Duration{true: slowTime, false: usualTime}[u.slow])
	}
	step := tick
	if u.slow {
		step = time.Duration(float64(tick) / slowFactor)
	}
	for _, c := range u.calls[:min(replaySlots, len(u.calls))] {
		if c.remaining -= step; c.remaining <= 0 {
			ended = append(ended, c)
		}
	}
	u.calls = slices.DeleteFunc(u.calls, func(c *replayCall) bool { return c.remaining <= 0 })
	return ended
}

// load returns what an upstream reports in an answer, which counts the call that ends.
func (u *replayUpstream) load(figures bool) *calls.Load {
	l := &calls.Load{Running: 1 + min(replaySlots, len(u.calls)), Waiting: max(0, len(u.calls)-replaySlots), Slots: replaySlots}
	if figures {
		l.SlownessPercent = 100
		if u.slow {
			l.SlownessPercent = 100 * slowFactor
		}
	}
	return l
}

// end records the answer to a call.
func (e *replayEntry) end(now time.Time, instance string, c *replayCall, l *calls.Load) {
	e.picker.ObserveSlowness(now, instance, l.SlownessPercent)
	e.picker.CallEnded(now, instance, c.job, Succeeded, l)
	after, _ := e.picker.Slowness(now, instance)
	e.costs.Observe(c.key, cost.WorkOf(now.Sub(c.began), (c.slowness+after)/2, float64(l.Waiting)/float64(l.Slots)))
}

// TestExpectedFinishBeatsFewestInFlight replays the load with and without figures of slowness. Without them the picker
// goes by calls in flight. The 95th percentile has to be lower by a fifth at least, twice the standard error of the
// mean over the seeds taken off.
func TestExpectedFinishBeatsFewestInFlight(t *testing.T) {
	const seeds = 5
	var gains []float64
	sum := 0.0
	for seed := range uint64(seeds) {
		few, _ := run(seed, false)
		early, most := run(seed, true)
		t.Logf("seed %d: 95th percentile %v by calls in flight, %v by expected finish, at most %d calls at one upstream", seed, few, early, most)
		gains = append(gains, 1-float64(early)/float64(few))
		sum += gains[seed]
	}
	mean, squares := sum/seeds, 0.0
	for _, g := range gains {
		squares += (g - mean) * (g - mean)
	}
	e := math.Sqrt(squares / (seeds - 1) / seeds)
	t.Logf("gain %.3f, standard error %.3f", mean, e)
	if mean-2*e < 0.2 {
		t.Errorf("the 95th percentile is lower by %.3f with a standard error of %.3f, want at least 0.2", mean, e)
	}
}
