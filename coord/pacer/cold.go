package pacer

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// rampSteps is the number of steps in which the limit of an upstream that is warm again ends. Each doubles it.
	rampSteps = 4
	// minRamp is above the delay of messages, so that late ones don't make an upstream cold again.
	minRamp = time.Second
	// maxCold bounds the cold upstreams that are kept. It is above the number of all upstreams, which may start at
	// once: one that is dropped would get its full load.
	maxCold = 4096
	// maxColdTime bounds the time that an upstream is held to be cold on any single report.
	maxColdTime = time.Hour
	// The tolerances are the least differences by which a reported end must differ from the known one to count as new, in
	// gossip and in reports of upstreams. They exceed the delays of either; with less, each late copy would postpone the end.
	gossipTolerance = time.Second
	reportTolerance = 200 * time.Millisecond
	// registrationDelay is how far a registration may be behind its upstream.
	registrationDelay = 2 * time.Second
)

// Source is where a process has it from that an upstream is cold.
type Source string

// Sources. SourceStart and SourceReturn are assumptions, which the upstream's own report replaces.
const (
	// SourceRegistration means that its registration names the time left.
	SourceRegistration Source = "registration"
	// SourceAnswer means that an answer of it names the time left.
	SourceAnswer Source = "answer"
	// SourceStart means that this process saw it start.
	SourceStart Source = "start"
	// SourceReturn means that its data centre was taken back after an evacuation.
	SourceReturn Source = "return"
	// SourceGossip means that another process said so.
	SourceGossip Source = "gossip"
)

// ColdReport states how long an upstream stays cold, or that it is warm.
type ColdReport struct {
	Source Source
	// PerSecond is the number of requests that it takes from all processes together while it is cold; 0 for no limit,
	// and the report has no effect.
	PerSecond float64
	// Remaining is the time that it stays cold; 0 if it is warm.
	Remaining time.Duration
	// Ramp is the time after that in which its limit grows until it ends.
	Ramp time.Duration
	// AsOf is when the request was sent, or the read of the store began, that brought the report.
	AsOf time.Time
}

// ColdChange is an upstream that has become cold, or warm.
type ColdChange struct {
	Instance  string
	IsCold    bool
	PerSecond float64
	// Share is what this process may send, in requests a second.
	Share  float64
	Source Source
	Until  time.Time
}

// ColdShare returns how many requests a second a process may send of those that a cold upstream takes from all.
type ColdShare func(instance string, perSecond float64) float64

// WithColdShare lets a process send to cold upstreams. Without it, it only passes on which these are.
func WithColdShare(s ColdShare) Option { return func(t *Table) { t.coldShare = s } }

// cold is an upstream that is cold, or was until recently.
type cold struct {
	bucket
	perSecond float64
	// until is when it is warm.
	until time.Time
	ramp  time.Duration
	// source and toldAt belong to the report that until rests on.
	source Source
	toldAt time.Time
	// isLogged is true once ColdChanges has returned that it is cold.
	isLogged bool
}

// rate returns the limit for all processes together: it doubles with each step after the upstream is warm.
func (c *cold) rate(now time.Time) float64 {
	if now.Before(c.until) {
		return c.perSecond
	}
	step := 1 + int(now.Sub(c.until)/(c.ramp/rampSteps))
	return c.perSecond * math.Exp2(float64(step))
}

// nextRate returns when the limit changes next.
func (c *cold) nextRate(now time.Time) time.Time {
	if now.Before(c.until) {
		return c.until
	}
	step := c.ramp / rampSteps
	return c.until.Add((1 + now.Sub(c.until)/step) * step)
}

func (c *cold) isOver(now time.Time) bool { return !now.Before(c.until.Add(c.ramp)) }

// isExtendedBy says whether a report makes the cold time longer.
func (c *cold) isExtendedBy(until time.Time, s Source) bool {
	if s == SourceGossip {
		return until.After(c.until.Add(gossipTolerance))
	}
	return until.After(c.until)
}

// isShortenedBy says whether a report that names an earlier end counts. Only the upstream's own does, and only if
// it is later than the one that named the present end: an answer to a request that was sent after that, or a
// registration, which may be behind, some time after it. What an answer has named, only another answer shortens.
func (c *cold) isShortenedBy(w ColdReport) bool {
	switch w.Source {
	case SourceAnswer:
		return w.AsOf.After(c.toldAt)
	case SourceRegistration:
		return c.source != SourceAnswer && w.AsOf.After(c.toldAt.Add(registrationDelay))
	}
	return false
}

// ObserveCold records what is known of an upstream's cold time. A longer time than known counts; see isShortenedBy for
// shorter ones. It reports whether the upstream wasn't cold before.
func (t *Table) ObserveCold(now time.Time, instance string, w ColdReport) (began bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.observeCold(now, instance, w)
}

// observeCold is ObserveCold. t.mu must be held.
func (t *Table) observeCold(now time.Time, instance string, w ColdReport) (began bool) {
	t.dropWarm(now)
	c := t.cold[instance]
	left := min(w.Remaining, maxColdTime)
	if !(w.PerSecond > 0) || math.IsInf(w.PerSecond, 1) || left < 0 || c == nil && left == 0 {
		return false
	}
	until := now.Add(left)
	if left == 0 && !now.Before(c.until) {
		return false
	}
	if c != nil && !c.isExtendedBy(until, w.Source) && !c.isShortenedBy(w) {
		return false
	}
	if c == nil {
		c = &cold{bucket: bucket{filledAt: now}}
		t.cold[instance] = c
		t.dropLeastCold()
	}
	began = !now.Before(c.until) && left > 0
	if began || until.Sub(c.until).Abs() > reportTolerance {
		c.source, c.toldAt = w.Source, now
	}
	c.until, c.perSecond, c.ramp = until, w.PerSecond, max(minRamp, min(w.Ramp, maxColdTime))
	return began
}

// dropWarm drops the upstreams whose limit has ended. t.mu must be held.
func (t *Table) dropWarm(now time.Time) {
	maps.DeleteFunc(t.cold, func(_ string, c *cold) bool { return c.isOver(now) })
}

// dropLeastCold drops the upstreams that are warm first if there are too many. t.mu must be held.
func (t *Table) dropLeastCold() {
	for len(t.cold) > maxCold {
		first := ""
		for i, c := range t.cold {
			if first == "" || c.until.Before(t.cold[first].until) {
				first = i
			}
		}
		delete(t.cold, first)
	}
}

// ColdChanges returns the upstreams that have become cold or warm since the last call, sorted by instance. Those that
// are gone are left out.
func (t *Table) ColdChanges(now time.Time) (l []ColdChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range slices.Sorted(maps.Keys(t.cold)) {
		c := t.cold[i]
		isCold := now.Before(c.until)
		if isCold == c.isLogged {
			continue
		}
		c.isLogged = isCold
		l = append(l, ColdChange{Instance: i, IsCold: isCold, PerSecond: c.perSecond, Share: t.coldShare(i, c.perSecond), Source: c.source, Until: c.until})
	}
	return l
}

// IsCold reports whether an upstream is cold at present.
func (t *Table) IsCold(now time.Time, instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cold[instance]
	return c != nil && now.Before(c.until)
}
