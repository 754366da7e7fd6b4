package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine booted. Unlike the monotonic clock, it includes the time during which the
// machine is suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano()) // CLOCK_BOOTTIME exists on every kernel in use.
	}
	return time.Duration(t.Nano())
}
