// Package clock reads the clock by which leases are measured.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started, including time in which it was
// suspended. Leases are measured by it: the runtime's monotonic clock stands still while
// a machine is suspended, so a holder that wakes up would take its lapsed lease for valid.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without this clock no lease can be told to be valid. Linux has had it since 2.6.39.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
