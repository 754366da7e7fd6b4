package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// timeSinceBoot returns the time since the machine booted. Unlike the monotonic clock, it includes the time during
// which the machine is suspended.
func timeSinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano()) // Not reached: every kernel in use has CLOCK_BOOTTIME.
	}
	return time.Duration(t.Nano())
}
