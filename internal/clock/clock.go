// Package clock reads the clock with which leases are measured.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted, including time in which it was
// suspended. Leases are measured with it: the runtime's monotonic clock stops while a machine
// is suspended, so after a resume a holder would treat an expired lease as valid.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without this clock no lease can be checked. Linux has it since 2.6.39.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
