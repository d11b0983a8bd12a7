package pacer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cranberrypoint.example/coord/rank"
)

const (
	// burstPart is the part of the tolerated excess that full buckets may use up at once. The rest covers requests that
	// arrive later than their tokens were taken.
	burstPart = 0.8
	// settleTime is how long a process must have heard most others before it sends to cold upstreams: until then
	// these may not know it yet, or again.
	settleTime = 4 * time.Second
	// peerTTL is how long a process that isn't heard any more counts as a member. It exceeds the length of a partition.
	// If more than half of the processes are lost for good, the others send nothing to cold upstreams for as long.
	peerTTL = 10 * time.Minute
	// maxViewAge is the age from which on a view of the others no longer counts, as in a process that was suspended.
	maxViewAge = 2 * time.Second
)

// Bound is by how much all processes together may exceed the limit of a cold upstream over any second: Overage times
// the limit, and Slack requests.
type Bound struct{ Overage, Slack float64 }

// DefaultBound applies where the settings name none.
var DefaultBound = Bound{Overage: 1.5, Slack: 5}

// Share is the ColdShare of one of the processes that are known, self among them, dead ones included. It is an equal one of
// all, or, if the buckets of so many could exceed the bound together, of those that rank first for the upstream. The
// others may send nothing.
//
// It answers a low limit and many processes: each would have a request to spare, and all would send it at once. That
// dead processes keep their shares for a while answers a partition: they may be alive.
func (b Bound) Share(instance string, perSecond float64, self string, known []string) float64 {
	allowed := perSecond*b.Overage + b.Slack
	holders := min(len(known), max(1, int(burstPart*(allowed-perSecond))))
	if holders < len(known) && !slices.Contains(rank.Top(instance, known, holders), self) {
		return 0
	}
	return max(0, min(perSecond, allowed-float64(holders))) / float64(holders)
}

// View is what a process sees of the others.
type View struct {
	// Heard names the others whose heartbeats arrive.
	Heard []string
	// Joined is false until the process has met those others that it was told of.
	Joined bool
	// Isolated is true if nothing at all arrives.
	Isolated bool
}

// Fleet tells a process whether it and all others that may send to cold upstreams know each other.
//
// It answers partitions and restarts: equal shares add up to a whole only among processes that know each other. Each
// part of a fleet would take a whole for itself, and so would each process that has just started and knows nobody.
// Only a process that hears more than half of those that it remembers may send, and only once it has done so for long enough
// that the others know it too. Others are remembered long after they were last heard, and are first remembered only while
// most are heard, so that the smaller part of a partition never takes itself for the whole. The zero value has seen nothing.
// It is safe for concurrent use.
type Fleet struct {
	mu sync.Mutex
	// lastHeard holds the others that are remembered.
	lastHeard map[string]time.Time
	// since is when this process began to hear most of them; zero if it doesn't.
	since      time.Time
	observedAt time.Time
}

// Observe records a view. It must be called well more often than maxViewAge.
func (f *Fleet) Observe(now time.Time, v View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.skipSuspension(now)
	f.observedAt = now
	if !v.Joined {
		return
	}
	if !f.hearsMost(now, v) {
		f.since = time.Time{}
		return
	}
	if f.since.IsZero() {
		f.since = now
	}
	for _, n := range v.Heard {
		f.lastHeard[n] = now
	}
}

// skipSuspension leaves a time out of account in which the process didn't run. f.mu must be held.
func (f *Fleet) skipSuspension(now time.Time) {
	gap := now.Sub(f.observedAt)
	if gap <= maxViewAge {
		return
	}
	f.since = time.Time{}
	for n, at := range f.lastHeard {
		f.lastHeard[n] = at.Add(gap)
	}
}

// hearsMost reports whether a view holds more than half of the processes that are remembered, this one included. f.mu
// must be held.
func (f *Fleet) hearsMost(now time.Time, v View) bool {
	if f.lastHeard == nil {
		f.lastHeard = map[string]time.Time{}
	}
	maps.DeleteFunc(f.lastHeard, func(_ string, at time.Time) bool { return now.Sub(at) >= peerTTL })
	heard := 1
	for _, n := range v.Heard {
		if _, ok := f.lastHeard[n]; ok {
			heard++
		}
	}
	return !v.Isolated && 2*heard > 1+len(f.lastHeard)
}

// MaySend reports whether the process may send to cold upstreams.
func (f *Fleet) MaySend(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.since.IsZero() && now.Sub(f.since) >= settleTime && now.Sub(f.observedAt) <= maxViewAge
}

// CountOthers returns how many other processes are remembered, those included that were last heard long ago.
func (f *Fleet) CountOthers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.lastHeard)
}
