package origin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cranberrypoint.example/coord/wire"
)

// maxObserveGap is the longest time between two views of all upstreams that hides no version: one that joins, serves and
// leaves again, or comes back under the names of its upstreams as another one, takes longer.
const maxObserveGap = time.Second

// currentTime is how long after its last sight a version counts as one of those that serve.
const currentTime = maxObserveGap

// History holds when upstreams of each version were last listed, and since when the process has seen all of them. A process
// that has started has seen none of those that had left by then. Use NewHistory.
type History struct {
	mu sync.Mutex
	// observedSince and lastObserved bound the time in which the process has seen all versions; zero for none.
	observedSince time.Time
	lastObserved  time.Time
	// lastSeen is by service and version.
	lastSeen map[string]map[string]time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{lastSeen: map[string]map[string]time.Time{}} }

// See records that an upstream of a version is listed.
func (h *History) See(now time.Time, o Origin) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.lastSeen[o.Service]
	if m == nil {
		m = map[string]time.Time{}
		h.lastSeen[o.Service] = m
	}
	m[o.Version] = now
	maps.DeleteFunc(m, func(_ string, t time.Time) bool { return now.Sub(t) > noteTime })
}

// Observe records that all upstreams are known as of a time: that of the list that tells of them.
func (h *History) Observe(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.Before(h.lastObserved) {
		return
	}
	if at.Sub(h.lastObserved) > maxObserveGap {
		h.observedSince = at
	}
	h.lastObserved = at
}

// Observed returns for how long back from now all versions have been seen; 0 for none.
func (h *History) Observed(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastObserved.IsZero() || now.Sub(h.lastObserved) > maxObserveGap {
		return 0
	}
	return now.Sub(h.observedSince)
}

// Report returns the versions that serve now, for members that don't see lists themselves; nil if that isn't known. The
// first one is empty: it says that the list is whole, also if upstreams state no version.
func (h *History) Report(now time.Time) (l []*wire.ServiceVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.lastObserved) > currentTime {
		return nil
	}
	l = append(l, &wire.ServiceVersion{})
	for s, m := range h.lastSeen {
		for v, seen := range m {
			if now.Sub(seen) <= currentTime {
				l = append(l, &wire.ServiceVersion{Service: s, Version: v})
			}
		}
	}
	return l
}

// Merge records what an entry reports.
func (h *History) Merge(now time.Time, l []*wire.ServiceVersion) {
	if len(l) == 0 {
		return
	}
	for _, v := range l {
		if v.Version != "" {
			h.See(now, Origin{v.Service, v.Version})
		}
	}
	h.Observe(now)
}

// Since returns the versions of a service that were listed at a time or later, sorted.
func (h *History) Since(t time.Time, service string) (versions []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for v, seen := range h.lastSeen[service] {
		if !seen.Before(t) {
			versions = append(versions, v)
		}
	}
	slices.Sort(versions)
	return versions
}
