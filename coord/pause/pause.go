// Package pause remembers which upstreams have asked to be left alone for a time.
//
// It answers an overload in which upstreams turn requests away and state when to come back. A
// request that arrives before costs them work and is turned away again; and if all callers that
// were refused return at the end of the pause together, the overload returns with them. The table
// does no I/O; the caller passes the time.
package pause

import (
	"math/rand/v2"
	"time"
)

const (
	// MaxPause bounds a pause, so that an upstream can't take itself out of service for long by a
	// value that it didn't mean.
	MaxPause = 30 * time.Second
	// spreadShare is the part of the time until a return over which returns are spread, with
	// the bounds minSpread and maxSpread.
	spreadShare = 0.5
	minSpread   = 500 * time.Millisecond
	maxSpread   = 3 * time.Second
)

// Table holds the pauses by instance, so that a restart of an upstream ends its pause. Use New.
type Table struct {
	until map[string]time.Time
}

// New returns an empty table.
func New() *Table { return &Table{until: map[string]time.Time{}} }

// Ask records that an instance asks for a pause. The longest one counts.
func (t *Table) Ask(now time.Time, instance string, d time.Duration) {
	if d <= 0 {
		return
	}
	if u := now.Add(min(d, MaxPause)); u.After(t.until[instance]) {
		t.until[instance] = u
	}
}

// Until returns the end of an instance's pause; ok is false if it has none at present.
func (t *Table) Until(now time.Time, instance string) (end time.Time, ok bool) {
	end, ok = t.until[instance]
	if ok && !now.Before(end) {
		delete(t.until, instance)
		return time.Time{}, false
	}
	return end, ok
}

// Forget drops the pause of an instance that is gone.
func (t *Table) Forget(instance string) { delete(t.until, instance) }

// FirstEnd returns when the first of the pauses of instances ends, if all of them have one. It is
// false if there are no instances.
func (t *Table) FirstEnd(now time.Time, instances []string) (first time.Time, ok bool) {
	for _, i := range instances {
		end, paused := t.Until(now, i)
		if !paused {
			return time.Time{}, false
		}
		if !ok || end.Before(first) {
			first, ok = end, true
		}
	}
	return first, ok
}

// ReturnAt returns when a caller that is refused now should return if upstreams can be asked again
// from end on: some time after end, so that not all callers return together.
func ReturnAt(now, end time.Time, r *rand.Rand) time.Time {
	spread := min(maxSpread, max(minSpread, time.Duration(spreadShare*float64(end.Sub(now)))))
	return end.Add(time.Duration(r.Int64N(int64(spread))))
}
