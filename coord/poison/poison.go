// Package poison recognizes requests, and parts of prompts, that crash upstreams, and quarantines them.
//
// It answers two loads of poison messages. One request comes again and again at any entry, and crashes
// the upstream that begins to run it. Or requests that have one part of their prompts in common come at
// any entry, each of them new, and each crashes the upstream that begins to answer it. An entry that sees
// a single crash can't tell them from the requests that merely ran beside them, and sends the next one
// to the next upstream. Upstreams then crash faster than they restart, and all other requests go down
// with them.
//
// What may be at fault has a Key: a request has one for itself, and one for each part of its prompt that
// others may share. A Table collects which upstreams ended under requests with a key, and which keys were
// answered. A key is quarantined once several upstreams have ended under it and none of its requests was
// answered. What ran beside a poison message shares its crashes, but not all of them: a key isn't held
// against a request that lacks another key under which the same upstreams ended.
//
// Processes exchange their evidence. A Table is safe for concurrent use and does no I/O; the caller
// passes the time.
package poison

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/recent"
)

const (
	// quarantineEnds is the number of upstreams that must have ended under a key. Two may be a
	// coincidence.
	quarantineEnds = 3
	// coincidence is the time within which upstreams that end under a part count as one, or as half of them
	// if that is more: requests with the part run at many upstreams, and a failure that takes several with
	// it at once is seldom their work. A single request runs at one after the other, so each end counts.
	coincidence    = 200 * time.Millisecond
	coincidentEnds = 2
	// suspectEnds is the number from which on requests with the key aren't repeated.
	suspectEnds = 2
	// soundTime is how long a complete answer to a request with a key speaks for the key. If upstreams
	// begin to end within that time, soundEnds more of them are needed.
	soundTime = time.Minute
	soundEnds = 2
	// quarantineTime is the time from the last end of an upstream to the end of the quarantine.
	quarantineTime = 10 * time.Minute
	// evidenceTime is how long the end of an upstream counts. It is longer than quarantineTime, so that
	// one further end renews a quarantine.
	evidenceTime = time.Hour
	// maxSound is about half of the answered keys that are remembered at most.
	maxSound = 4096
	// maxCases bounds the keys with evidence against them, maxEnds the ends that are kept for one.
	maxCases = 512
	maxEnds  = 32
)

// Quarantine is the reason for which a request is not sent.
type Quarantine struct {
	Key Key
	// Ends is the number of upstreams that have ended under the key.
	Ends int
	// Until is when the quarantine ends if no further upstream ends.
	Until time.Time
}

// Fault returns the refusal of the request.
func (q Quarantine) Fault() *fault.Error {
	c := fault.PromptQuarantined
	if q.Key.isRequest() {
		c = fault.RequestQuarantined
	}
	return fault.NotRun(c, "%d upstreams have crashed under %s", q.Ends, q.Key).WithRetryAt(q.Until)
}

// evidence is what is known of one key under which an upstream has ended.
type evidence struct {
	key Key
	// ends holds when upstreams ended, by the id of the upstream's process.
	ends map[string]time.Time
	// soundAt is when a request with the key was last answered; zero for never.
	soundAt time.Time
	// changedAt is when something was last added.
	changedAt time.Time
}

// counts reports whether an end is evidence against the part.
func (e *evidence) counts(now, endedAt time.Time) bool {
	return now.Sub(endedAt) < evidenceTime && e.soundAt.Before(endedAt)
}

// hasEnds reports whether an end of an upstream counts.
func (e *evidence) hasEnds(now time.Time) bool {
	for _, at := range e.ends {
		if e.counts(now, at) {
			return true
		}
	}
	return false
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
		if t.Sub(c.last) >= e.key.coincidence() {
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

// tally sums up the evidence against a key.
type tally struct {
	upstreams []string
	// weight is the number of ends, of which those that coincide count less, less what speaks for the
	// key.
	weight int
	// last is the time of the last end, or of the first that coincides with it.
	last time.Time
}

// Table holds the evidence against keys. Use New.
type Table struct {
	mu    sync.Mutex
	cases map[Key]*evidence
	// sound holds when requests with a key were last answered.
	sound *recent.Cache[Key, time.Time]
}

// New returns an empty table.
func New() *Table {
	return &Table{cases: map[Key]*evidence{}, sound: recent.NewCache[Key, time.Time](maxSound, soundTime)}
}

// Ended records that an upstream, identified by its process, ended under a request with the given
// keys. It reports whether processes should hear of it soon: a key is suspect or quarantined.
func (t *Table) Ended(now time.Time, upstream string, keys []Key) (urgent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range keys {
		urgent = t.add(now, k, upstream, now) || urgent
	}
	t.dropExcess(now)
	return urgent
}

// add adds the end of an upstream to the evidence against a key. It reports whether that makes the key
// suspect or quarantined. t.mu must be held.
func (t *Table) add(now time.Time, k Key, upstream string, endedAt time.Time) (urgent bool) {
	e := t.cases[k]
	if e == nil {
		e = &evidence{key: k, ends: map[string]time.Time{}}
		e.soundAt, _ = t.sound.Get(k)
		t.cases[k] = e
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

// Answered records that a request with the given keys was answered completely.
func (t *Table) Answered(now time.Time, keys []Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range keys {
		t.sound.Put(now, k, now)
		e := t.cases[k]
		if e == nil {
			continue
		}
		if e.hasEnds(now) {
			e.changedAt = now
		}
		e.soundAt = now
	}
}

// Check reports whether a request with the given keys is quarantined.
func (t *Table) Check(now time.Time, keys []Key) (q Quarantine, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range keys {
		c := t.unexplained(now, k, keys)
		if until := c.last.Add(quarantineTime); c.weight >= quarantineEnds && now.Before(until) {
			return Quarantine{Key: k, Ends: len(c.upstreams), Until: until}, true
		}
	}
	return q, false
}

// MayRepeat reports whether a request with the given keys may be sent once more after an upstream has
// ended under it.
func (t *Table) MayRepeat(now time.Time, keys []Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !slices.ContainsFunc(keys, func(k Key) bool { return t.unexplained(now, k, keys).weight >= suspectEnds })
}

// unexplained returns what is held against a key of a request: nothing if another key explains it, that is,
// one that the request lacks and under which all the same upstreams ended. t.mu must be held.
func (t *Table) unexplained(now time.Time, k Key, keys []Key) tally {
	e := t.cases[k]
	if e == nil {
		return tally{}
	}
	c := e.tally(now)
	if c.weight < suspectEnds || t.isExplained(now, c.upstreams, keys) {
		return tally{}
	}
	return c
}

// isExplained reports whether all of the given upstreams ended under a key that a request lacks. t.mu
// must be held.
func (t *Table) isExplained(now time.Time, upstreams []string, keys []Key) bool {
	for k, e := range t.cases {
		if slices.Contains(keys, k) {
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

// Quarantined returns the keys under which enough upstreams have ended for a quarantine, sorted.
func (t *Table) Quarantined(now time.Time) (keys []Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, e := range t.cases {
		if c := e.tally(now); c.weight >= quarantineEnds && now.Before(c.last.Add(quarantineTime)) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// dropExcess drops the evidence that no longer counts, and the least if there is too much. t.mu must be
// held.
func (t *Table) dropExcess(now time.Time) {
	maps.DeleteFunc(t.cases, func(_ Key, e *evidence) bool {
		return now.Sub(e.changedAt) > spreadTime && !e.hasEnds(now)
	})
	if len(t.cases) <= maxCases {
		return
	}
	all := func(*evidence) bool { return true }
	for _, k := range t.sorted(all, func(e *evidence) int { return e.tally(now).weight })[maxCases:] {
		delete(t.cases, k)
	}
}
