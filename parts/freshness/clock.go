package freshness

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the current reading of CLOCK_BOOTTIME, which keeps running while the
// host is suspended. It panics if the clock cannot be read.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39. Without it, ages cannot be measured.
		panic("freshness: cannot read CLOCK_BOOTTIME; run on Linux 2.6.39 or later: " + err.Error())
	}
	return Instant(time.Duration(ts.Nano()))
}
