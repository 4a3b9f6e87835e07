package freshness

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now reads the clock that runs on while the host is suspended.
func Now() Instant {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// Every Linux since 2.6.39 has this clock; without it no proof can hold.
		panic("freshness: CLOCK_BOOTTIME cannot be read; run on Linux: " + err.Error())
	}
	return Instant(time.Duration(at.Nano()))
}
