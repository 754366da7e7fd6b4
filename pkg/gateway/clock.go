package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime is the time since the machine started. Unlike the monotonic clock, it counts the time in which the
// machine is suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano()) // The clock exists on every kernel in use.
	}
	return time.Duration(t.Nano())
}
