package poison

import (
	"cmp"
	"slices"
	"time"

	"cranberrypoint.example/coord/wire"
)

const (
	// spreadTime is how long evidence is passed on after its last change, unless its part is suspect.
	spreadTime = 10 * time.Second
	// maxReported bounds the parts in one message, so that the size of an exchange stays bounded.
	maxReported = 24
)

// Report returns the evidence for other processes: the parts with the most ends first, then what is new.
func (t *Table) Report(now time.Time) (l []*wire.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExcess(now)
	for _, p := range t.byWeight(now) {
		e := t.cases[p]
		if e.ended(now).weight < suspectEnds && now.Sub(e.changedAt) > spreadTime {
			continue
		}
		l = append(l, e.encode(now, p))
		if len(l) == maxReported {
			break
		}
	}
	return l
}

// byWeight returns the parts with evidence, the heaviest first. t.mu must be held.
func (t *Table) byWeight(now time.Time) (parts []string) {
	weight := map[string]int{}
	for p, e := range t.cases {
		weight[p] = e.ended(now).weight
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
