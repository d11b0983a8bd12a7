// Package stamp provides a hybrid logical clock.
//
// A Time orders events of several processes: it is never smaller than the wall
// clock of its process and grows past each Time observed from a peer. The scheme
// is that of Kulkarni et al., "Logical Physical Clocks" (2014).
package stamp

import (
	"cmp"
	"time"
)

// Time is one reading of a hybrid logical clock.
type Time struct {
	// Wall is in nanoseconds since the Unix epoch.
	Wall int64 `json:"wall"`
	// Logical breaks ties between events of the same Wall.
	Logical uint32 `json:"logic"`
}

// Compare returns -1, 0 or 1 as t is before, equal to or after u.
func (t Time) Compare(u Time) int {
	if c := cmp.Compare(t.Wall, u.Wall); c != 0 {
		return c
	}
	return cmp.Compare(t.Logical, u.Logical)
}

// Next returns the time of an event that follows t, at the wall clock time now.
func (t Time) Next(now time.Time) Time {
	w := now.UnixNano()
	if w > t.Wall {
		return Time{Wall: w}
	}
	return Time{Wall: t.Wall, Logical: t.Logical + 1}
}

// Observe returns a time that is not before t nor before u.
func (t Time) Observe(u Time) Time {
	if u.Compare(t) > 0 {
		return u
	}
	return t
}
