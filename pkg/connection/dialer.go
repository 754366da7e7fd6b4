package connection

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeInterval and probeCount make the kernel notice a silent peer of an idle connection.
	probeInterval = time.Second
	probeCount    = 2
)

// NewDialer returns a dialer whose connections fail once sent bytes have gone unacknowledged, or an idle peer has been
// silent, for some time: a machine that is cut off or without power sends no reset.
func NewDialer(timeout, silence time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			control := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			if control != nil {
				return control
			}
			return err
		},
	}
}
