// Package stamp provides the timestamps of a hybrid logical clock.
//
// A Time orders the events of several processes. Each process keeps its latest Time, which is
// the whole state of its clock, and replaces it by the result of Next or Observe. Each result
// of Next is at or after the wall clock time of the process, and after all its earlier results
// and all Times observed from peers. The algorithm is that of Kulkarni et al., "Logical
// Physical Clocks" (2014).
package stamp

import (
	"cmp"
	"time"
)

// Time is a timestamp of a hybrid logical clock, and also the state of such a clock. The zero
// value is before all others.
type Time struct {
	// Wall is the latest wall clock time that the process has read or received in a Time of a
	// peer, in nanoseconds since the Unix epoch. It can be ahead of the process's own clock.
	Wall int64 `json:"wall"`
	// Logical orders Times that have the same Wall.
	Logical uint32 `json:"logic"`
}

// Compare returns -1 if t is before u, 0 if they are equal and 1 if t is after u.
func (t Time) Compare(u Time) int {
	if c := cmp.Compare(t.Wall, u.Wall); c != 0 {
		return c
	}
	return cmp.Compare(t.Logical, u.Logical)
}

// Next returns the Time that follows t at wall clock time now. It is after t even if
// the wall clock has stood still or gone back.
func (t Time) Next(now time.Time) Time {
	w := now.UnixNano()
	if w > t.Wall {
		return Time{Wall: w}
	}
	return Time{Wall: t.Wall, Logical: t.Logical + 1}
}

// Observe returns the later of t, the state of the caller's clock, and u, a Time received from
// a peer. It changes neither: the caller keeps the result, so that a call of Next on it returns
// a Time after both.
func (t Time) Observe(u Time) Time {
	if u.Compare(t) > 0 {
		return u
	}
	return t
}
