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
	// maxReported bounds the parts in one message, so that the size of an exchange stays bounded.
	maxReported = 24
)

// Recent returns the evidence that has changed lately, for other processes: the parts with the most ends
// first, then the newest.
func (t *Table) Recent(now time.Time) []*wire.Suspect {
	return t.report(now, func(e *evidence) bool { return now.Sub(e.changedAt) <= spreadTime })
}

// All returns the evidence for a process that has other evidence; see Hash. Besides what is recent, it has all
// suspect parts.
func (t *Table) All(now time.Time) []*wire.Suspect {
	return t.report(now, func(e *evidence) bool { return now.Sub(e.changedAt) <= spreadTime || e.isSuspect(now) })
}

// report returns the evidence that is chosen, at most maxReported parts.
func (t *Table) report(now time.Time, choose func(*evidence) bool) (l []*wire.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExcess(now)
	for _, p := range t.byWeight(now) {
		if e := t.cases[p]; choose(e) && len(l) < maxReported {
			l = append(l, e.encode(now, p))
		}
	}
	return l
}

// Hash identifies the suspect parts and the ends of upstreams under them. Processes with the same hash need
// not exchange them again.
func (t *Table) Hash(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := xxhash.New()
	for _, p := range slices.Sorted(maps.Keys(t.cases)) {
		e := t.cases[p]
		if !e.isSuspect(now) {
			continue
		}
		// Writes to a hash never fail.
		_, _ = h.WriteString(p + "\n")
		for _, u := range slices.Sorted(maps.Keys(e.ends)) {
			_, _ = h.WriteString(u + "\n")
		}
	}
	return h.Sum64()
}

// isSuspect reports whether requests with the part are at least not repeated.
func (e *evidence) isSuspect(now time.Time) bool { return e.tally(now).weight >= suspectEnds }

// byWeight returns the parts with evidence, the heaviest first. t.mu must be held.
func (t *Table) byWeight(now time.Time) (parts []string) {
	weight := map[string]int{}
	for p, e := range t.cases {
		weight[p] = e.tally(now).weight
		parts = append(parts, p)
	}
	slices.SortFunc(parts, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight[b], weight[a]), t.cases[b].changedAt.Compare(t.cases[a].changedAt), cmp.Compare(a, b))
	})
	return parts
}

func (e *evidence) encode(now time.Time, part string) *wire.Suspect {
	s := &wire.Suspect{Part: part}
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
			urgent = t.add(now, s.Part, x.Upstream, before(now, x.AgeMicros)) || urgent
		}
		e := t.cases[s.Part]
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
