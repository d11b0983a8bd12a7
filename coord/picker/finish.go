package picker

import (
	"math/rand/v2"
	"time"

	"cranberrypoint.example/coord/cost"
	"cranberrypoint.example/coord/roster"
)

const (
	// remoteCost is by how much the expected finish in another data centre must be earlier: the way there and
	// back, and what the bytes cost.
	remoteCost = 25 * time.Millisecond
	// equalShare is the part of a job's work by which two expected finishes may differ and count as equal.
	equalShare = 0.15
	// nearShare is the part of a job's target within which this data centre has to serve it to be kept. The rest is for
	// what others send meanwhile, and for slowness that begins.
	nearShare = 0.5
	// failureTime is what a failed call costs at least: a retry, or an error for the caller. With remoteCost it makes up
	// for another data centre at the failure rate at which the score does.
	failureTime = 600 * time.Millisecond
	// unknownWork is the work of a job of which nothing is known.
	unknownWork = 20 * time.Millisecond
)

// Job is a call that is to be placed.
type Job struct {
	// Work is the expected time on an upstream at usual speed without a queue; 0 if it isn't known.
	Work time.Duration
	// Error is the standard deviation of Work.
	Error time.Duration
	// Target is the time that is left for a timely answer; 0 if the call is late or has no target.
	Target time.Duration
}

// KnowsSlowness reports whether one of the upstreams has ever named its slowness.
func (p *Picker) KnowsSlowness(l []roster.Upstream) bool {
	for _, u := range l {
		if p.speeds.HasNamed(u.Instance) {
			return true
		}
	}
	return false
}

// ObserveSlowness records the slowness in percent that an upstream named at a time; 0 for none.
func (p *Picker) ObserveSlowness(at time.Time, instance string, percent int) {
	p.speeds.Observe(at, instance, percent)
}

// ObserveTime records that a call took some time, less that in a queue, where e was expected.
func (p *Picker) ObserveTime(now time.Time, instance string, took time.Duration, e cost.Estimate) {
	p.speeds.ObserveTime(now, instance, took, e)
}

// Slowness returns the factor by which work takes longer on an upstream now than usually, and the age of what the
// upstream named; 0 if it never named it.
func (p *Picker) Slowness(now time.Time, instance string) (factor float64, age time.Duration) {
	return p.speeds.Slowness(now, instance)
}

// finish is when a job is expected to be done by an upstream.
type finish struct {
	upstream *roster.Upstream
	stats    *upstreamStats
	// in is the time until then, with surcharges for failures. inTime is whether that, and an error of the work, is
	// well within the job's target, and the upstream seldom fails.
	in     time.Duration
	inTime bool
}

// pickByFinish returns one of the candidates with about the earliest expected finish; false if all are ejected.
// Of the about equal ones two are drawn and the better is taken, so that entries that see the same don't all
// choose the same.
func (p *Picker) pickByFinish(now time.Time, candidates []roster.Upstream, j Job) (u roster.Upstream, ok bool) {
	if j.Work <= 0 {
		j.Work, j.Error = unknownWork, unknownWork
	}
	l := p.nearest(p.finishes(now, candidates, j))
	if len(l) == 0 {
		return u, false
	}
	l = earliest(l, time.Duration(equalShare*float64(j.Work)))
	return *better(p.rand, l).upstream, true
}

// finishes returns the expected finish on each candidate that isn't ejected.
func (p *Picker) finishes(now time.Time, candidates []roster.Upstream, j Job) []finish {
	l := make([]finish, 0, len(candidates))
	for i := range candidates {
		u := &candidates[i]
		if s := p.statsFor(u.Instance); !now.Before(s.ejectedUntil) {
			l = append(l, finish{upstream: u, stats: s})
		}
	}
	mean, failure := meanOthers(now, l), max(float64(failureTime), failureWeight*float64(j.Work))
	for i := range l {
		u, s := l[i].upstream, l[i].stats
		slowness, _ := p.speeds.Slowness(now, u.Instance)
		in := slowness*(s.outstanding(now, u.Slots, mean, j)+float64(j.Work)) + s.failureRate*failure
		l[i].in = time.Duration(in)
		isSound := failureWeight*s.failureRate <= remoteWeight
		l[i].inTime = isSound && in+slowness*float64(j.Error) <= nearShare*float64(j.Target)
	}
	return l
}

// meanOthers returns how many requests of others an upstream has on average, of those that reported lately.
func meanOthers(now time.Time, l []finish) float64 {
	sum, n := 0, 0
	for _, f := range l {
		if now.Sub(f.stats.loadAt) < loadMaxAge {
			sum += f.stats.others
			n++
		}
	}
	return float64(sum) / float64(max(1, n))
}

// outstanding returns the work in nanoseconds that an upstream has yet to do for each of its slots: that of this
// entry's calls, and the mean work for each request of others. slots and others are used while the upstream hasn't
// reported lately: one that is silent isn't idle.
func (s *upstreamStats) outstanding(now time.Time, slots int, others float64, j Job) float64 {
	if now.Sub(s.loadAt) < loadMaxAge {
		slots, others = s.load.Slots, float64(s.others)
	}
	if slots <= 0 {
		slots = defaultSlots
	}
	mean := s.meanWork
	if mean == 0 {
		mean = j.Work
	}
	return (float64(s.work) + others*float64(mean)) / float64(slots)
}

// nearest leaves out other data centres while one upstream of this data centre serves in time. Otherwise it adds
// what the way there costs.
func (p *Picker) nearest(l []finish) []finish {
	var near []finish
	inTime := false
	for i, f := range l {
		if f.upstream.DataCentre != p.dataCentre {
			l[i].in += remoteCost
			continue
		}
		near = append(near, f)
		inTime = inTime || f.inTime
	}
	if inTime {
		return near
	}
	return l
}

// earliest returns those that finish at most a margin after the earliest.
func earliest(l []finish, margin time.Duration) (equal []finish) {
	first := l[0].in
	for _, f := range l {
		first = min(first, f.in)
	}
	for _, f := range l {
		if f.in <= first+margin {
			equal = append(equal, f)
		}
	}
	return equal
}

// better draws two of the finishes at random and returns the earlier one.
func better(r *rand.Rand, l []finish) finish {
	a, b := l[r.IntN(len(l))], l[r.IntN(len(l))]
	if b.in < a.in {
		return b
	}
	return a
}
