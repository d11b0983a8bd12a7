// Package poison recognizes the parts of prompts that crash upstreams, and quarantines them.
//
// It answers a load of poison messages: requests that have one part of their prompts in common come
// at any entry, each of them new, and each crashes the upstream that begins to answer it. An entry
// that sees a single crash can't tell them from the requests that merely ran beside them, and sends
// the next one to the next upstream. Upstreams then crash faster than they restart, and all other
// requests go down with them.
//
// A Table collects which upstreams ended under requests with a part, and which parts were answered.
// A part is quarantined once several upstreams have ended under it and none of its requests was
// answered. What ran beside a poison message shares its crashes, but not all of them: a part isn't
// held against a request that lacks another part under which the same upstreams ended.
//
// Processes exchange their evidence. A Table is safe for concurrent use and does no I/O; the caller
// passes the time.
package poison

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// quarantineEnds is the number of upstreams that must have ended under a part. Two may be a
	// coincidence.
	quarantineEnds = 3
	// coincidence is the time within which upstreams that end count as one, or as half of them if that
	// is more: a failure that takes several with it at once is seldom the work of requests.
	coincidence    = 200 * time.Millisecond
	coincidentEnds = 2
	// suspectEnds is the number from which on requests with the part aren't repeated.
	suspectEnds = 2
	// soundTime is how long a complete answer to a request with a part speaks for the part. If upstreams
	// begin to end within that time, soundEnds more of them are needed.
	soundTime = time.Minute
	soundEnds = 2
	// quarantineTime is the time from the last end of an upstream to the end of the quarantine.
	quarantineTime = 10 * time.Minute
	// evidenceTime is how long the end of an upstream counts. It is longer than quarantineTime, so that
	// one further end renews a quarantine.
	evidenceTime = time.Hour
	// maxCases bounds the parts with evidence against them, maxEnds the ends that are kept for one.
	maxCases = 512
	maxEnds  = 32
)

// Quarantine is the reason for which a request is not sent.
type Quarantine struct {
	Part string
	// Ends is the number of upstreams that have ended under the part.
	Ends int
	// Until is when the quarantine ends if no further upstream ends.
	Until time.Time
}

// evidence is what is known of one part under which an upstream has ended.
type evidence struct {
	// ends holds when upstreams ended, by the id of the upstream's process.
	ends map[string]time.Time
	// soundAt is when a request with the part was last answered; zero for never.
	soundAt time.Time
	// changedAt is when something was last added.
	changedAt time.Time
}

// counts reports whether an end is evidence against the part.
func (e *evidence) counts(now, endedAt time.Time) bool {
	return now.Sub(endedAt) < evidenceTime && e.soundAt.Before(endedAt)
}

// tally returns the ends of upstreams that count.
func (e *evidence) tally(now time.Time) (c tally) {
	var times []time.Time
	for u, t := range e.ends {
		if e.counts(now, t) {
			c.upstreams = append(c.upstreams, u)
			times = append(times, t)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	for _, t := range times {
		if t.Sub(c.last) >= coincidence {
			c.weight++
			c.last = t
		}
	}
	c.weight = max(c.weight, len(times)/coincidentEnds)
	if len(times) > 0 && times[0].Sub(e.soundAt) < soundTime {
		c.weight = max(0, c.weight-soundEnds)
	}
	return c
}

// tally sums up the evidence against a part.
type tally struct {
	upstreams []string
	// weight is the number of ends, of which those that coincide count less, less what speaks for the
	// part.
	weight int
	// last is the time of the last end, or of the first that coincides with it.
	last time.Time
}

// Table holds the evidence against parts of prompts. Use New.
type Table struct {
	mu    sync.Mutex
	cases map[string]*evidence
	sound *answered
}

// New returns an empty table.
func New() *Table { return &Table{cases: map[string]*evidence{}, sound: newAnswered()} }

// Ended records that an upstream, identified by its process, ended under a request with the given
// parts. It reports whether processes should hear of it soon: a part is suspect or quarantined.
func (t *Table) Ended(now time.Time, upstream string, parts []string) (urgent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		urgent = t.add(now, p, upstream, now) || urgent
	}
	t.dropExcess(now)
	return urgent
}

// add adds the end of an upstream to the evidence against a part. It reports whether that makes the part
// suspect or quarantined. t.mu must be held.
func (t *Table) add(now time.Time, part, upstream string, endedAt time.Time) (urgent bool) {
	e := t.cases[part]
	if e == nil {
		e = &evidence{ends: map[string]time.Time{}, soundAt: t.sound.last(part)}
		t.cases[part] = e
	}
	known, ok := e.ends[upstream]
	switch {
	case ok && !endedAt.Before(known), !ok && len(e.ends) >= maxEnds:
		return false
	}
	e.ends[upstream] = endedAt
	if ok {
		return false
	}
	e.changedAt = now
	return e.tally(now).weight >= suspectEnds
}

// Answered records that a request with the given parts was answered completely.
func (t *Table) Answered(now time.Time, parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		t.sound.add(now, p)
		e := t.cases[p]
		if e == nil {
			continue
		}
		if len(e.tally(now).upstreams) > 0 {
			e.changedAt = now
		}
		e.soundAt = now
	}
}

// Check reports whether a request with the given parts is quarantined.
func (t *Table) Check(now time.Time, parts []string) (q Quarantine, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		c := t.unexplained(now, p, parts)
		if until := c.last.Add(quarantineTime); c.weight >= quarantineEnds && now.Before(until) {
			return Quarantine{Part: p, Ends: len(c.upstreams), Until: until}, true
		}
	}
	return q, false
}

// MayRepeat reports whether a request with the given parts may be sent once more after an upstream has
// ended under it.
func (t *Table) MayRepeat(now time.Time, parts []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !slices.ContainsFunc(parts, func(p string) bool { return t.unexplained(now, p, parts).weight >= suspectEnds })
}

// unexplained returns what is held against a part of a request: nothing if another part explains it, that is,
// one that the request lacks and under which all the same upstreams ended. t.mu must be held.
func (t *Table) unexplained(now time.Time, part string, parts []string) tally {
	e := t.cases[part]
	if e == nil {
		return tally{}
	}
	c := e.tally(now)
	if c.weight < suspectEnds || t.isExplained(now, c.upstreams, parts) {
		return tally{}
	}
	return c
}

// isExplained reports whether all of the given upstreams ended under a part that a request lacks. t.mu
// must be held.
func (t *Table) isExplained(now time.Time, upstreams, parts []string) bool {
	for p, e := range t.cases {
		if slices.Contains(parts, p) {
			continue
		}
		isIn := func(u string) bool {
			at, ok := e.ends[u]
			return ok && e.counts(now, at)
		}
		if !slices.ContainsFunc(upstreams, func(u string) bool { return !isIn(u) }) {
			return true
		}
	}
	return false
}

// Quarantined returns the parts under which enough upstreams have ended for a quarantine, sorted.
func (t *Table) Quarantined(now time.Time) (parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, e := range t.cases {
		if c := e.tally(now); c.weight >= quarantineEnds && now.Before(c.last.Add(quarantineTime)) {
			parts = append(parts, p)
		}
	}
	slices.Sort(parts)
	return parts
}

// dropExcess drops the evidence that no longer counts, and the least if there is too much. t.mu must be
// held.
func (t *Table) dropExcess(now time.Time) {
	maps.DeleteFunc(t.cases, func(_ string, e *evidence) bool {
		return len(e.tally(now).upstreams) == 0 && now.Sub(e.changedAt) > spreadTime
	})
	if len(t.cases) <= maxCases {
		return
	}
	for _, p := range t.byWeight(now)[maxCases:] {
		delete(t.cases, p)
	}
}
