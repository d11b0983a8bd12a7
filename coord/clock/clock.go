// Package clock reads the Linux clock CLOCK_BOOTTIME, which is monotonic and, unlike the
// monotonic clock of package time, keeps running while the VM (the machine that the process
// runs on) is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the VM's CLOCK_BOOTTIME, in nanoseconds. Instants of different VMs
// are not comparable.
type Instant time.Duration

// Now returns the current instant. It includes the time for which the VM was suspended, and
// changes of the wall clock do not affect it. It panics if the clock can't be read.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return Instant(t.Nano())
}

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration i-o, which is negative if i is before o.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Before reports whether i is earlier than o.
func (i Instant) Before(o Instant) bool { return i < o }
