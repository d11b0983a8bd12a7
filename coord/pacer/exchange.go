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
	// maxReportedCold bounds the cold upstreams in one message. After an evacuation all of a data centre are.
	maxReportedCold = 64
	// maxInstanceBytes bounds the names that are kept.
	maxInstanceBytes = 200
	// advertResolution is the difference in time from which on another process's advertisement is newer. It is above
	// the delays of messages, which would otherwise make each copy of the same advertisement a newer one.
	advertResolution = 200 * time.Millisecond
)

// Report returns the newest advertisements of upstreams for other processes.
func (t *Table) Report(now time.Time) (l []*wire.AdvertisedLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropOld(now)
	newest := slices.SortedFunc(maps.Keys(t.adverts), func(a, b string) int {
		return cmp.Or(t.adverts[b].receivedAt.Compare(t.adverts[a].receivedAt), cmp.Compare(a, b))
	})
	for _, i := range newest[:min(maxReported, len(newest))] {
		a := t.adverts[i]
		l = append(l, &wire.AdvertisedLimit{Instance: i, PerSecond: a.perSecond, AgeMicros: now.Sub(a.receivedAt).Microseconds()})
	}
	return l
}

// Merge adds what other processes were told.
func (t *Table) Merge(now time.Time, l []*wire.AdvertisedLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range l {
		age := time.Duration(m.AgeMicros) * time.Microsecond
		if m.Instance == "" || !(m.PerSecond >= 0) || age < 0 || age >= advertTTL {
			continue
		}
		a, at := t.adverts[m.Instance], now.Add(-age)
		if a == nil && m.PerSecond == 0 || a != nil && !at.After(a.receivedAt.Add(advertResolution)) {
			continue
		}
		t.set(now, at, m.Instance, m.PerSecond)
	}
}

// ReportCold returns the upstreams that are cold, those that are so longest first, for other processes.
func (t *Table) ReportCold(now time.Time) (l []*wire.ColdUpstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, c := range t.cold {
		if now.Before(c.until) {
			l = append(l, &wire.ColdUpstream{Instance: i, PerSecond: c.perSecond, RemainingMicros: c.until.Sub(now).Microseconds()})
		}
	}
	slices.SortFunc(l, func(a, b *wire.ColdUpstream) int {
		return cmp.Or(cmp.Compare(b.RemainingMicros, a.RemainingMicros), cmp.Compare(a.Instance, b.Instance))
	})
	return l[:min(maxReportedCold, len(l))]
}

// MergeCold adds what other processes know of cold upstreams, and reports whether that is news. The time in which an
// upstream's limit ends isn't passed on; the time left stands for it.
func (t *Table) MergeCold(now time.Time, l []*wire.ColdUpstream) (isNews bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range l {
		if m.Instance == "" || len(m.Instance) > maxInstanceBytes || m.RemainingMicros <= 0 || m.RemainingMicros > maxColdTime.Microseconds() {
			continue
		}
		left := time.Duration(m.RemainingMicros) * time.Microsecond
		if t.observeCold(now, m.Instance, ColdReport{Source: SourceGossip, PerSecond: m.PerSecond, Remaining: left, Ramp: left}) {
			isNews = true
		}
	}
	return isNews
}
