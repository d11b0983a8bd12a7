// Package clock reads the clock that goes on while a VM is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point on the boot clock of this VM. Instants of two VMs aren't comparable.
type Instant time.Duration

// Now returns the present instant. The boot clock counts suspensions and never jumps.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return Instant(t.Nano())
}

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Before reports whether i is earlier than o.
func (i Instant) Before(o Instant) bool { return i < o }
