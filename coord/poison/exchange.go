package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cranberrypoint.example/coord/wire"
	"github.com/cespare/xxhash/v2"
)

const (
	// spreadTime is how long evidence is passed on after its last change.
	spreadTime = 10 * time.Second
	// maxReported bounds the keys of requests, and those of parts, in one message, so that the size of an exchange
	// stays bounded. Each has its own bound: a crash leaves evidence against each request that ran, which mustn't
	// crowd out the news that a part is sound.
	maxReported = 24
)

// Recent returns the evidence that has changed lately, for other processes: the keys with the most ends
// first, also those that were answered since, then the newest.
func (t *Table) Recent(now time.Time) []*wire.Suspect {
	return t.report(now, func(e *evidence) bool { return now.Sub(e.changedAt) <= spreadTime })
}

// All returns the evidence for a process that has other evidence; see Hash. Besides what is recent, it has all
// suspect keys.
func (t *Table) All(now time.Time) []*wire.Suspect {
	return t.report(now, func(e *evidence) bool { return now.Sub(e.changedAt) <= spreadTime || e.isSuspect(now) })
}

// report returns the evidence that is chosen, at most maxReported keys of
// each kind.
func (t *Table) report(now time.Time, choose func(*evidence) bool) (l []*wire.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExcess(now)
	reported := map[bool]int{}
	for _, k := range t.sorted(choose, func(e *evidence) int { return len(e.ends) }) {
		if reported[k.isRequest()] < maxReported {
			reported[k.isRequest()]++
			l = append(l, t.cases[k].encode(now))
		}
	}
	return l
}

// Hash identifies the suspect keys and the ends of upstreams under them. Processes with the same hash need
// not exchange them again.
func (t *Table) Hash(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := xxhash.New()
	for _, k := range slices.Sorted(maps.Keys(t.cases)) {
		e := t.cases[k]
		if !e.isSuspect(now) {
			continue
		}
		// Writes to a hash never fail.
		_, _ = h.WriteString(string(k) + "\n")
		for _, u := range slices.Sorted(maps.Keys(e.ends)) {
			_, _ = h.WriteString(u + "\n")
		}
	}
	return h.Sum64()
}

// isSuspect reports whether requests with the key are at least not repeated.
func (e *evidence) isSuspect(now time.Time) bool {
	return len(e.ends) >= suspectEnds && e.tally(now).weight >= suspectEnds
}

// sorted returns the keys whose evidence is chosen, those with the highest rank first, then the newest. t.mu must be
// held.
func (t *Table) sorted(choose func(*evidence) bool, rank func(*evidence) int) (keys []Key) {
	ranks := map[Key]int{}
	for k, e := range t.cases {
		if choose(e) {
			ranks[k] = rank(e)
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(ranks[b], ranks[a]), t.cases[b].changedAt.Compare(t.cases[a].changedAt), cmp.Compare(a, b))
	})
	return keys
}

func (e *evidence) encode(now time.Time) *wire.Suspect {
	s := &wire.Suspect{Key: string(e.key)}
	for u, at := range e.ends {
		s.Ends = append(s.Ends, &wire.UpstreamEnd{Upstream: u, AgeMicros: now.Sub(at).Microseconds()})
	}
	if !e.soundAt.IsZero() {
		s.Sound, s.SoundAgeMicros = true, now.Sub(e.soundAt).Microseconds()
	}
	return s
}

// Merge adds the evidence of another process. It reports whether others should hear of it soon.
func (t *Table) Merge(now time.Time, l []*wire.Suspect) (urgent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range l {
		for _, x := range s.Ends {
			urgent = t.add(now, Key(s.Key), x.Upstream, before(now, x.AgeMicros)) || urgent
		}
		e := t.cases[Key(s.Key)]
		if e == nil || !s.Sound {
			continue
		}
		if at := before(now, s.SoundAgeMicros); at.After(e.soundAt.Add(soundResolution)) {
			e.soundAt, e.changedAt = at, now
		}
	}
	t.dropExcess(now)
	return urgent
}

// soundResolution is the difference in time from which on a later answer is news. It is above the delays
// of messages, which would otherwise make every copy of the same news a newer one.
const soundResolution = time.Second

// before returns the time that was some microseconds ago. An age below 0 counts as 0.
func before(now time.Time, ageMicros int64) time.Time {
	return now.Add(-time.Duration(max(0, ageMicros)) * time.Microsecond)
}
