package cost

import (
	"math"
	"time"
)

const (
	// usual is the slowness at which work takes its usual time.
	usual = 1.0
	// minSlowness and maxSlowness bound the slowness of an upstream.
	minSlowness = 0.1
	maxSlowness = 100.0
	// Slowness that an upstream names fades within a time that is learned, from minPersistence to
	// maxPersistence.
	minPersistence     = 50 * time.Millisecond
	initialPersistence = 300 * time.Millisecond
	maxPersistence     = time.Second
	// pairMaxGap is the longest time between two figures of one upstream from which the persistence is
	// learned, and pairMinChange the least deviation from usual of the first.
	pairMaxGap    = 300 * time.Millisecond
	pairMinChange = 0.2
	// pairDecay is the part of the earlier pairs' weight that a new pair leaves.
	pairDecay = 0.99
	// seenMaxAge is how long the ratio of seen to expected times counts at most.
	seenMaxAge = 2 * time.Second
	// seenWeight is the weight of a new ratio if the expected time is certain.
	seenWeight = 0.3
)

// speed is what is known of one upstream.
type speed struct {
	// named is the last slowness that the upstream named, at namedAt; namedAt is zero if it named none.
	named   float64
	namedAt time.Time
	// seen is the average ratio of seen to expected times, as of seenAt; seenAt is zero before the first.
	seen   float64
	seenAt time.Time
}

// Speeds holds how slow upstreams are at a moment, by instance. Use NewSpeeds.
type Speeds struct {
	upstreams map[string]*speed
	// lost and held are sums over pairs of figures, weighted by the square of the deviation: the part of it
	// that was lost from the first to the second, and the time between them in seconds.
	lost, held float64
	// named is the number of upstreams that have named their slowness.
	named int
}

// NewSpeeds returns a table in which all upstreams are as usual.
func NewSpeeds() *Speeds { return &Speeds{upstreams: map[string]*speed{}} }

func (s *Speeds) speed(instance string) *speed {
	u := s.upstreams[instance]
	if u == nil {
		u = &speed{named: usual, seen: usual}
		s.upstreams[instance] = u
	}
	return u
}

// Observe records the slowness in percent that an upstream named some time ago. 0 means that it named none.
func (s *Speeds) Observe(at time.Time, instance string, percent int) {
	if percent <= 0 {
		return
	}
	u := s.speed(instance)
	if !at.After(u.namedAt) {
		return
	}
	x := min(maxSlowness, max(minSlowness, float64(percent)/100))
	if u.namedAt.IsZero() {
		s.named++
	} else {
		s.learnPersistence(u.named-usual, x-usual, at.Sub(u.namedAt))
	}
	u.named, u.namedAt = x, at
}

// learnPersistence records the deviations from usual that an upstream named one after the other.
func (s *Speeds) learnPersistence(before, after float64, gap time.Duration) {
	if gap > pairMaxGap || math.Abs(before) < pairMinChange {
		return
	}
	s.lost = pairDecay*s.lost + before*(before-after)
	s.held = pairDecay*s.held + before*before*gap.Seconds()
}

// persistence returns the time constant with which a named slowness fades.
func (s *Speeds) persistence() time.Duration {
	switch {
	case s.held == 0:
		return initialPersistence
	case s.lost <= 0:
		return maxPersistence
	}
	return min(maxPersistence, max(minPersistence, seconds(min(s.held/s.lost, maxPersistence.Seconds()))))
}

// ObserveTime records that a request took some time on an upstream, where some was expected at usual speed
// with an error. An uncertain expectation counts for less.
func (s *Speeds) ObserveTime(now time.Time, instance string, took time.Duration, e Estimate) {
	if took <= 0 || e.Work <= 0 {
		return
	}
	u := s.speed(instance)
	r := float64(e.Error) / float64(e.Work)
	w := seenWeight / (1 + r*r)
	x := min(maxSlowness, max(minSlowness, float64(took)/float64(e.Work)))
	u.seen = u.seenNow(now) + w*(x-u.seenNow(now))
	u.seenAt = now
}

// seenNow returns the ratio of seen to expected times; usual if it is old.
func (u *speed) seenNow(now time.Time) float64 {
	if u.seenAt.IsZero() {
		return usual
	}
	left := 1 - now.Sub(u.seenAt).Seconds()/seenMaxAge.Seconds()
	return usual + min(1, max(0, left))*(u.seen-usual)
}

// Slowness returns the factor by which work takes longer on an upstream now than usually, and the age of what
// the upstream named; 0 if it named nothing.
func (s *Speeds) Slowness(now time.Time, instance string) (factor float64, age time.Duration) {
	u := s.upstreams[instance]
	if u == nil {
		return usual, 0
	}
	if u.namedAt.IsZero() {
		return u.seenNow(now), 0
	}
	age = max(0, now.Sub(u.namedAt))
	seen := u.seenNow(now)
	if u.named == seen {
		return seen, age
	}
	w := math.Exp(-age.Seconds() / s.persistence().Seconds())
	return w*u.named + (1-w)*seen, age
}

// HasNamed reports whether an upstream has ever named its slowness.
func (s *Speeds) HasNamed(instance string) bool {
	if s.named == 0 {
		return false
	}
	u := s.upstreams[instance]
	return u != nil && !u.namedAt.IsZero()
}

// Forget drops what is known of an upstream that is gone.
func (s *Speeds) Forget(instance string) {
	if s.HasNamed(instance) {
		s.named--
	}
	delete(s.upstreams, instance)
}
