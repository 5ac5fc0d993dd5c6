// Package boottime reads the clock that permissions are measured by. Unlike the
// monotonic clock of package time it counts the time during which the host was
// suspended, so that no permission outlives a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, or 0 if the clock can't be read.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
