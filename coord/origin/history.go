package origin

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// History holds when upstreams of each version were last listed. Use NewHistory.
type History struct {
	mu sync.Mutex
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
