package connection

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveInterval and keepAliveCount configure the TCP keep-alive probes with which the kernel detects the dead
	// peer of an idle connection.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// NewDialer returns a dialer with a timeout for the connection setup. Its connections fail if sent bytes stay
// unacknowledged for unackedTimeout, or if an idle peer does not respond to keep-alive probes: a host that is
// partitioned or without power sends no reset.
func NewDialer(timeout, unackedTimeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
}
