package pacer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cranberrypoint.example/coord/wire"
)

const (
	// maxReported bounds the limits in one message.
	maxReported = 24
	// wordResolution is the difference in time from which on another process's word is newer. It is above
	// the delays of messages, which would otherwise make each copy of the same word a newer one.
	wordResolution = 200 * time.Millisecond
)

// Report returns the newest words of upstreams for other processes.
func (t *Table) Report(now time.Time) (l []*wire.NamedLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropOld(now)
	newest := slices.SortedFunc(maps.Keys(t.words), func(a, b string) int {
		return cmp.Or(t.words[b].saidAt.Compare(t.words[a].saidAt), cmp.Compare(a, b))
	})
	for _, i := range newest[:min(maxReported, len(newest))] {
		w := t.words[i]
		l = append(l, &wire.NamedLimit{Instance: i, PerSecond: w.perSecond, AgeMicros: now.Sub(w.saidAt).Microseconds()})
	}
	return l
}

// Merge adds what other processes were told.
func (t *Table) Merge(now time.Time, l []*wire.NamedLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range l {
		age := time.Duration(m.AgeMicros) * time.Microsecond
		if m.Instance == "" || !(m.PerSecond >= 0) || age < 0 || age >= wordTime {
			continue
		}
		w, at := t.words[m.Instance], now.Add(-age)
		if w == nil && m.PerSecond == 0 || w != nil && !at.After(w.saidAt.Add(wordResolution)) {
			continue
		}
		t.set(now, at, m.Instance, m.PerSecond)
	}
}
