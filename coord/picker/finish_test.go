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

// What the replayed loads have in common: calls whose work spreads five-fold and more by workspace, to upstreams of which
// slowShare are slowFactor times slower at each moment, each for slowTime.
const (
	replaySlots = 6
	workSpread  = 5.0
	slowShare   = 0.15
	slowFactor  = 2.5
	slowTime    = 600 * time.Millisecond
	tick        = time.Millisecond
)

// replay is a load: entries that see only their own calls, and the upstreams that they share.
type replay struct {
	name               string
	entries, upstreams int
	// use is the part of the upstreams' capacity that the calls need, and work their mean work.
	use  float64
	work time.Duration
	time time.Duration
	// dataCentres is the number of data centres over which entries and upstreams are spread in turn. If there are several,
	// half of the calls of the last come to the one before it instead.
	dataCentres int
	target      time.Duration
}

var replays = []replay{
	{name: "many upstreams", entries: 8, upstreams: 32, use: 0.8, work: 20 * time.Millisecond, time: 3 * time.Second, dataCentres: 1},
	{name: "many entries that seldom hear of an upstream", entries: 48, upstreams: 6, use: 0.8, work: 60 * time.Millisecond, time: 20 * time.Second, dataCentres: 1},
}

var unevenDemand = replay{entries: 48, upstreams: 6, use: 0.6, work: 60 * time.Millisecond, time: 20 * time.Second, dataCentres: 4, target: 300 * time.Millisecond}

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

// run replays the load and returns the times of the calls after the first quarter, sorted. figures is whether upstreams
// name their slowness.
func (a replay) run(seed uint64, figures bool) (times []time.Duration) {
	r := rand.New(rand.NewPCG(seed, seed))
	var entries []replayEntry
	for i := range a.entries {
		entries = append(entries, replayEntry{New(fmt.Sprint(i%a.dataCentres), seed+uint64(i)), cost.NewTable()})
	}
	var list []roster.Upstream
	ups := make([]replayUpstream, a.upstreams)
	for i := range ups {
		ups[i].slow = r.Float64() > slowShare
		list = append(list, roster.Upstream{Instance: fmt.Sprint(i), DataCentre: fmt.Sprint(i % a.dataCentres), Slots: replaySlots})
	}
	capacity := float64(a.upstreams*replaySlots) * (1 - slowShare + slowShare/slowFactor)
	perTick := a.use * capacity * tick.Seconds() / a.work.Seconds()
	for now := epoch; now.Before(epoch.Add(a.time)); now = now.Add(tick) {
		for n := perTick; r.Float64() < n; n-- {
			c := a.call(r, now)
			e := entries[c.entry]
			c.estimate = e.costs.Expect(c.key)
			c.job = Job{Work: c.estimate.Work, Error: c.estimate.Error, Target: a.target}
			u, _ := e.picker.Pick(now, list, c.job)
			e.picker.CallStarted(u.Instance, c.job)
			c.slowness, _ = e.picker.Slowness(now, u.Instance)
			i, _ := strconv.Atoi(u.Instance)
			ups[i].calls = append(ups[i].calls, c)
		}
		for i := range ups {
			for _, c := range ups[i].serve(r, now) {
				l := ups[i].load(figures)
				entries[c.entry].end(now, list[i].Instance, c, l)
				if now.Sub(epoch) > a.time/4 {
					times = append(times, now.Sub(c.began))
				}
			}
		}
	}
	slices.Sort(times)
	return times
}

// call draws a call. The work depends on the workspace, and for a part on nothing that can be known.
func (a replay) call(r *rand.Rand, now time.Time) *replayCall {
	w := r.IntN(40)
	spread := math.Pow(workSpread, float64(w)/39-0.5) * (0.7 + 0.6*r.Float64())
	e := r.IntN(a.entries)
	if a.dataCentres > 1 && e%a.dataCentres == a.dataCentres-1 && r.IntN(2) == 0 {
		e--
	}
	return &replayCall{
		entry:     e,
		key:       cost.Key{Service: "api", Route: "read", Workspace: fmt.Sprint(w)},
		began:     now,
		remaining: time.Duration(spread * float64(a.work) / 1.08),
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

// TestExpectedFinishBeatsFewestInFlight replays the loads with and without figures of slowness. Without them the picker
// goes by calls in flight. The 95th percentile has to be lower by a fifth at least, twice the standard error of the
// mean over the seeds taken off.
func TestExpectedFinishBeatsFewestInFlight(t *testing.T) {
	for _, a := range replays {
		t.Run(a.name, func(t *testing.T) { checkGain(t, a) })
	}
}

func percentile95(sorted []time.Duration) time.Duration { return sorted[len(sorted)*95/100] }

func checkGain(t *testing.T, a replay) {
	const seeds = 5
	var gains []float64
	sum := 0.0
	for seed := range uint64(seeds) {
		few, early := percentile95(a.run(seed, false)), percentile95(a.run(seed, true))
		t.Logf("seed %d: 95th percentile %v by calls in flight, %v by expected finish", seed, few, early)
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

// TestFewerLateWhereDemandIsUneven replays data centres of which one has three times the demand of another. At most half
// as many calls may be late as by calls in flight.
func TestFewerLateWhereDemandIsUneven(t *testing.T) {
	late := func(figures bool) (part float64) {
		const seeds = 10
		for seed := range uint64(seeds) {
			l := unevenDemand.run(seed, figures)
			i, _ := slices.BinarySearch(l, unevenDemand.target)
			part += float64(len(l)-i) / float64(len(l)) / seeds
		}
		return part
	}
	few, early := late(false), late(true)
	t.Logf("late: %.4f by calls in flight, %.4f by expected finish", few, early)
	if early > few/2 {
		t.Errorf("%.4f of the calls are late, want at most half of %.4f", early, few)
	}
}
