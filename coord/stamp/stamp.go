// Package stamp provides a hybrid logical clock.
//
// A Time orders the events of several processes. Each reading of a process's clock is at
// or after its wall clock time, and after all earlier readings and all Times observed from
// peers. The algorithm is that of Kulkarni et al., "Logical Physical Clocks" (2014).
package stamp

import (
	"cmp"
	"time"
)

// Time is a reading of a hybrid logical clock. The zero value is before all others.
type Time struct {
	// Wall is the newest wall clock time known, in nanoseconds since the Unix epoch.
	Wall int64 `json:"wall"`
	// Logical orders readings that have the same Wall.
	Logical uint32 `json:"logic"`
}

// Compare returns -1 if t is before u, 0 if they are equal and 1 if t is after u.
func (t Time) Compare(u Time) int {
	if c := cmp.Compare(t.Wall, u.Wall); c != 0 {
		return c
	}
	return cmp.Compare(t.Logical, u.Logical)
}

// Next returns the reading that follows t at wall clock time now. It is after t even if
// the wall clock has stood still or gone back.
func (t Time) Next(now time.Time) Time {
	w := now.UnixNano()
	if w > t.Wall {
		return Time{Wall: w}
	}
	return Time{Wall: t.Wall, Logical: t.Logical + 1}
}

// Observe returns the later of t and u, so that a following call of Next returns a time
// after both.
func (t Time) Observe(u Time) Time {
	if u.Compare(t) > 0 {
		return u
	}
	return t
}
