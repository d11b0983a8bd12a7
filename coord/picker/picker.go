// Package picker is the reducer that chooses the upstream of a plain call.
//
// It answers uneven load of an upstream by all entries (upstreams tell their load beside
// each answer), and upstreams that fail, hang, reset or refuse while their health check
// is good: outcomes alone count. An upstream that lost several calls in a row is left out
// for a time that doubles, and one that fails more often than its peers gets less work.
// Both are forgotten soon after it answers well again.
package picker

import (
	"math/rand/v2"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/roster"
)

const (
	// lostInRow is the number of lost calls in a row after which an upstream is left out.
	lostInRow = 2
	// firstBan is how long an upstream is left out at first.
	firstBan = 500 * time.Millisecond
	// maxBan bounds how long an upstream is left out.
	maxBan = 4 * time.Second
	// goneBan is how long an upstream that is gone is left out; the list says so by then.
	goneBan = 4 * time.Second
	// fresh is how long a load that an upstream told counts.
	fresh = 300 * time.Millisecond
	// smooth is the weight of a new outcome in the average of failures.
	smooth = 0.1
	// failureWeight is what an upstream that always fails adds to its load, in batches.
	failureWeight = 4.0
	// farWeight is what another data centre adds to the load, in batches.
	farWeight = 0.15
	// defaultSlots is the number of slots of an upstream that told none.
	defaultSlots = 4
)

// Result is how a call ended.
type Result int

// Results of calls.
const (
	// Succeeded calls were answered.
	Succeeded Result = iota
	// Failed calls were answered with a failure of the upstream.
	Failed
	// Refused calls were not run for want of room.
	Refused
	// NoAnswer calls got no answer.
	NoAnswer
	// Unreachable calls found nobody at the upstream's address.
	Unreachable
	// Replaced calls found another process at the upstream's address.
	Replaced
	// Abandoned calls ended for a reason that isn't the upstream's.
	Abandoned
)

type stat struct {
	mine     int
	load     calls.Load
	told     time.Time
	failures float64
	lost     int
	ban      time.Duration
	until    time.Time
}

// Picker is the reducer. Use New.
type Picker struct {
	home  string
	rand  *rand.Rand
	stats map[string]*stat
}

// New returns a picker of an entry in a data centre.
func New(home string, seed uint64) *Picker {
	return &Picker{home: home, rand: rand.New(rand.NewPCG(seed, seed)), stats: map[string]*stat{}}
}

func (p *Picker) stat(instance string) *stat {
	s := p.stats[instance]
	if s == nil {
		s = &stat{}
		p.stats[instance] = s
	}
	return s
}

// Pick returns the candidate with the least load that isn't left out. If all are, the one
// that returns first is taken: a guess is better than a refusal that may be wrong.
func (p *Picker) Pick(now time.Time, candidates []roster.Upstream) (best roster.Upstream, ok bool) {
	least := 0.0
	banned := true
	for _, u := range candidates {
		s := p.stat(u.Instance)
		out := now.Before(s.until)
		score := p.score(now, u, s)
		if out {
			score = s.until.Sub(now).Seconds()
		}
		switch {
		case ok && out && !banned:
			continue
		case !ok || banned && !out || score < least:
			best, least, banned, ok = u, score, out, true
		}
	}
	return best, ok
}

func (p *Picker) score(now time.Time, u roster.Upstream, s *stat) float64 {
	slots, busy := u.Slots, s.mine
	if now.Sub(s.told) < fresh {
		slots = s.load.Slots
		busy = max(busy, s.load.Running+s.load.Waiting)
	}
	if slots <= 0 {
		slots = defaultSlots
	}
	score := float64(busy)/float64(slots) + failureWeight*s.failures + p.rand.Float64()*0.05
	if u.DataCentre != p.home {
		score += farWeight
	}
	return score
}

// CallStarted counts a call that is given to an upstream.
func (p *Picker) CallStarted(instance string) { p.stat(instance).mine++ }

// CallEnded counts the end of a call. Load may be nil.
func (p *Picker) CallEnded(now time.Time, instance string, r Result, l *calls.Load) {
	s := p.stat(instance)
	s.mine--
	if l != nil {
		s.load = *l
		// The call that ended is in the load that its upstream told.
		s.load.Running = max(0, s.load.Running-1)
		s.told = now
	}
	switch r {
	case Abandoned:
		return
	case Replaced:
		s.until = now.Add(goneBan)
		return
	case NoAnswer, Unreachable:
		s.lost++
		if r == Unreachable {
			// A connection that is refused needs no second sign.
			s.lost = max(s.lost, lostInRow)
		}
		if s.lost >= lostInRow {
			s.ban = min(maxBan, max(firstBan, 2*s.ban))
			s.until = now.Add(s.ban)
		}
	default:
		s.lost = 0
		s.ban = 0
	}
	bad := 0.0
	if r == Failed || r == NoAnswer || r == Unreachable {
		bad = 1
	}
	s.failures += smooth * (bad - s.failures)
}

// Forget drops what is known of an upstream that is gone.
func (p *Picker) Forget(instance string) { delete(p.stats, instance) }

// Ejected reports whether an upstream is left out for now.
func (p *Picker) Ejected(now time.Time, instance string) bool {
	s := p.stats[instance]
	return s != nil && now.Before(s.until)
}
