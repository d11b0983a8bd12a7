// Package picker implements load balancing with outlier ejection. It chooses the upstream of
// each call except streams from model engines; for those it only tells which engines are
// ejected. The Picker is a deterministic state machine: it does no I/O, the caller passes the
// time, and its random numbers depend on a seed.
//
// An entry is one of the processes that accept callers' requests and send them to upstreams.
// Several entries send calls to the same upstreams, but each sees only its own calls, so the
// load that upstreams report with their answers counts too. Upstreams may fail, hang, reset
// or refuse calls while their health check is good, so only the results of calls count. An
// upstream that leaves several calls in a row unanswered is ejected for a time that doubles
// with each ejection until a call is answered or refused. An upstream that fails more often
// than its peers gets fewer calls until successful ones have lowered its failure rate.
//
// Among upstreams of which one has named its slowness, the expected finish of a call decides in place of
// the number of calls in flight.
package picker

import (
	"math/rand/v2"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/cost"
	"cranberrypoint.example/coord/roster"
)

const (
	// ejectionThreshold is the number of consecutive calls without an answer after which an
	// upstream is ejected.
	ejectionThreshold = 2
	// baseEjection is the duration of the first ejection. Each further one takes twice as long.
	baseEjection = 500 * time.Millisecond
	// maxEjection bounds the duration of an ejection.
	maxEjection = 4 * time.Second
	// replacedEjection is how long an upstream is ejected after another process answered at
	// its address. When the ejection ends, the candidates should contain the new process,
	// with another instance, in place of the old one.
	replacedEjection = 4 * time.Second
	// loadMaxAge is how long a reported load is used.
	loadMaxAge = 300 * time.Millisecond
	// ewmaWeight is the weight of a new result in the exponentially weighted failure rate.
	ewmaWeight = 0.1
	// failureWeight is what a failure rate of 1 adds to the score. A score of 1 means that
	// all slots of the upstream are busy.
	failureWeight = 4.0
	// remoteWeight is what another data centre adds to the score.
	remoteWeight = 0.15
	// defaultSlots is the number of slots of an upstream that reported none.
	defaultSlots = 4
)

// Result is how a call to an upstream ended.
type Result int

// Results of calls.
const (
	// Succeeded calls were answered without a failure of the upstream.
	Succeeded Result = iota
	// Failed calls were answered with a failure of the upstream.
	Failed
	// Refused calls were not run because the upstream refused them for lack of capacity or
	// the limit of connections to it was reached.
	Refused
	// NoAnswer calls may have reached the upstream and got no valid answer.
	NoAnswer
	// Unreachable calls could not be sent to the upstream's address.
	Unreachable
	// Replaced calls were answered by another process at the upstream's address.
	Replaced
	// Abandoned calls ended for a reason that isn't the upstream's, such as a caller that left.
	Abandoned
)

// upstreamStats is what is known of one upstream.
type upstreamStats struct {
	// inFlight is the number of calls of this entry that haven't ended.
	inFlight int
	// work is the sum of the expected work of the calls in flight, and meanWork the average work of a call.
	work     time.Duration
	meanWork time.Duration
	// load is the last load that the upstream reported, and loadAt the time of the report.
	// others is the part of it that wasn't this entry's.
	load   calls.Load
	loadAt time.Time
	others int
	// failureRate is from 0 to 1.
	failureRate float64
	// noAnswers is compared with ejectionThreshold. A NoAnswer call adds 1, an Unreachable one
	// raises it at least to the threshold, and an answered or refused one sets it to 0.
	// Replaced and Abandoned calls leave it unchanged.
	noAnswers int
	// ejectionTime is the duration of the last ejection for NoAnswer or Unreachable calls,
	// which the next one doubles. It is reset to 0 whenever noAnswers is.
	ejectionTime time.Duration
	ejectedUntil time.Time
}

// Picker chooses among upstreams by load and past results. Use New.
type Picker struct {
	dataCentre string
	rand       *rand.Rand
	// stats holds the statistics by roster.Upstream.Instance.
	stats  map[string]*upstreamStats
	speeds *cost.Speeds
}

// New returns a picker for an entry in a data centre. The seed is that of the random part
// of the scores.
func New(dataCentre string, seed uint64) *Picker {
	return &Picker{
		dataCentre: dataCentre,
		rand:       rand.New(rand.NewPCG(seed, seed)),
		stats:      map[string]*upstreamStats{},
		speeds:     cost.NewSpeeds(),
	}
}

func (p *Picker) statsFor(instance string) *upstreamStats {
	s := p.stats[instance]
	if s == nil {
		s = &upstreamStats{}
		p.stats[instance] = s
	}
	return s
}

// Pick returns a candidate for a job that isn't ejected: the one with the lowest score or, if a candidate has
// ever named its slowness, one with about the earliest expected finish. If all are ejected,
// it returns the one whose ejection ends first: to try an upstream that may have recovered is
// better than to fail the call without a try. It returns false if there are no candidates.
func (p *Picker) Pick(now time.Time, candidates []roster.Upstream, j Job) (best roster.Upstream, ok bool) {
	if p.KnowsSlowness(candidates) {
		if best, ok = p.pickByFinish(now, candidates, j); ok {
			return best, ok
		}
	}
	return p.pickByScore(now, candidates)
}

// pickByScore returns the candidate with the lowest score, or the one whose ejection ends first.
func (p *Picker) pickByScore(now time.Time, candidates []roster.Upstream) (best roster.Upstream, ok bool) {
	// The sort key is the score or, for an ejected upstream, the seconds until its ejection ends.
	bestKey := 0.0
	bestEjected := true
	for _, u := range candidates {
		s := p.statsFor(u.Instance)
		ejected := now.Before(s.ejectedUntil)
		key := p.score(now, u, s)
		if ejected {
			key = s.ejectedUntil.Sub(now).Seconds()
		}
		switch {
		case ok && ejected && !bestEjected:
			continue
		case !ok || bestEjected && !ejected || key < bestKey:
			best, bestKey, bestEjected, ok = u, key, ejected, true
		}
	}
	return best, ok
}

// score returns the busy calls of an upstream divided by its slots, with surcharges for
// failures and for another data centre, and a small random part that spreads calls among
// upstreams of equal load.
func (p *Picker) score(now time.Time, u roster.Upstream, s *upstreamStats) float64 {
	slots, busy := u.Slots, s.inFlight
	if now.Sub(s.loadAt) < loadMaxAge {
		slots = s.load.Slots
		busy = max(busy, s.load.Running+s.load.Waiting)
	}
	if slots <= 0 {
		slots = defaultSlots
	}
	score := float64(busy)/float64(slots) + failureWeight*s.failureRate + p.rand.Float64()*0.05
	if u.DataCentre != p.dataCentre {
		score += remoteWeight
	}
	return score
}

// CallStarted counts a call that is sent to an upstream. Each must be followed by CallEnded with the same job.
func (p *Picker) CallStarted(instance string, j Job) {
	s := p.statsFor(instance)
	s.inFlight++
	s.work += j.Work
	if s.meanWork == 0 {
		s.meanWork = j.Work
	}
	s.meanWork += time.Duration(ewmaWeight * float64(j.Work-s.meanWork))
}

// CallEnded records the result of a call. The load is what the upstream reported with its
// answer; nil if it reported none.
func (p *Picker) CallEnded(now time.Time, instance string, j Job, r Result, l *calls.Load) {
	s := p.statsFor(instance)
	s.inFlight--
	s.work -= j.Work
	if l != nil {
		s.load = *l
		// The reported load still includes the call that ended.
		s.load.Running = max(0, s.load.Running-1)
		s.others = max(0, s.load.Running+s.load.Waiting-s.inFlight)
		s.loadAt = now
	}
	switch r {
	case Abandoned:
		return
	case Replaced:
		s.ejectedUntil = now.Add(replacedEjection)
		return
	case NoAnswer, Unreachable:
		s.noAnswers++
		if r == Unreachable {
			// One call that could not be sent is enough for an ejection.
			s.noAnswers = max(s.noAnswers, ejectionThreshold)
		}
		if s.noAnswers >= ejectionThreshold {
			s.ejectionTime = min(maxEjection, max(baseEjection, 2*s.ejectionTime))
			s.ejectedUntil = now.Add(s.ejectionTime)
		}
	default:
		s.noAnswers = 0
		s.ejectionTime = 0
	}
	failure := 0.0
	if r == Failed || r == NoAnswer || r == Unreachable {
		failure = 1
	}
	s.failureRate += ewmaWeight * (failure - s.failureRate)
}

// Forget drops the statistics of an upstream that was removed.
func (p *Picker) Forget(instance string) {
	delete(p.stats, instance)
	p.speeds.Forget(instance)
}

// Ejected reports whether an upstream is currently ejected.
func (p *Picker) Ejected(now time.Time, instance string) bool {
	s := p.stats[instance]
	return s != nil && now.Before(s.ejectedUntil)
}
