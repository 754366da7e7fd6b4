package relay_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/relay"
)

var (
	address        = netip.MustParseAddrPort("10.1.64.9:8080")
	errUnreachable = errors.New("unreachable")
)

// way is a way to an address, directly or through peers.
type way struct {
	mu    sync.Mutex
	hangs bool
	err   error
	dials int
}

// set changes how the way behaves.
func (w *way) set(hangs bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hangs, w.err = hangs, err
}

// dialed returns the number of connections that were attempted.
func (w *way) dialed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dials
}

func (w *way) dial(ctx context.Context) (net.Conn, error) {
	w.mu.Lock()
	hangs, err := w.hangs, w.err
	w.dials++
	w.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	if err != nil {
		return nil, err
	}
	c, other := net.Pipe()
	_ = other.Close()
	return c, nil
}

func newDialer(direct, peers *way) *relay.Dialer {
	d := relay.New(func(ctx context.Context, _, _ string) (net.Conn, error) { return direct.dial(ctx) })
	d.SetPeers(func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) { return peers.dial(ctx) })
	return d
}

// TestDial guards against a target that is taken for dead, or for ended, because this instance alone has no link to it, and
// against relaying while the link works.
func TestDial(t *testing.T) {
	for _, test := range []struct {
		name          string
		direct, peers *way
		connects      bool
		refused       bool // refused means that the error says that the address refuses connections.
		failed        bool // failed means that the link has failed afterwards.
		relayed       int
	}{
		{"the link works", &way{}, &way{}, true, false, false, 0},
		{"the link hangs", &way{hangs: true}, &way{}, true, false, true, 1},
		{"the link refuses", &way{err: syscall.ECONNREFUSED}, &way{}, true, false, true, 1},
		{"the target has ended", &way{err: syscall.ECONNREFUSED}, &way{err: syscall.ECONNREFUSED}, false, true, false, 1},
		{"the target is dark", &way{hangs: true}, &way{err: errUnreachable}, false, false, false, 1},
		{"refused here, no peer reaches it", &way{err: syscall.ECONNREFUSED}, &way{err: errUnreachable}, false, false, false, 1},
		{"refused, without peers", &way{err: syscall.ECONNREFUSED}, &way{err: relay.ErrNoPeer}, false, true, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDialer(test.direct, test.peers)
				c, err := d.DialContext(context.Background(), "tcp", address.String())
				qt.Assert(t, err == nil, qt.Equals, test.connects, qt.Commentf("%v", err))
				qt.Assert(t, errors.Is(err, syscall.ECONNREFUSED), qt.Equals, test.refused, qt.Commentf("%v", err))
				if err == nil {
					_ = c.Close()
				}
				time.Sleep(time.Second)
				qt.Assert(t, d.Failed(address), qt.Equals, test.failed)
				qt.Assert(t, d.AnyFailed(), qt.Equals, test.failed)
				qt.Assert(t, test.peers.dialed(), qt.Equals, test.relayed)
			})
		})
	}
}

// TestFailedLink guards against a wait for a link that is known to have failed, and against relaying for good.
func TestFailedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, peers := &way{err: syscall.ECONNREFUSED}, &way{}
		d := newDialer(direct, peers)
		changes := make(chan bool, 2)
		d.OnChange(func(_ netip.AddrPort, failed bool) { changes <- failed })
		qt.Assert(t, d.Check(context.Background(), address).IsZero(), qt.IsFalse)
		direct.set(true, nil)
		began := time.Now()
		_, err := d.DialContext(context.Background(), "tcp", address.String())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, time.Since(began) < 3*time.Millisecond, qt.IsTrue, qt.Commentf("connected after %v", time.Since(began)))
		direct.set(false, nil)
		time.Sleep(2 * time.Second)
		_, err = d.DialContext(context.Background(), "tcp", address.String())
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(100 * time.Millisecond)
		relayed := peers.dialed()
		_, err = d.DialContext(context.Background(), "tcp", address.String())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, peers.dialed(), qt.Equals, relayed)
		qt.Assert(t, <-changes, qt.IsTrue)
		qt.Assert(t, <-changes, qt.IsFalse)
	})
}

// TestDialEndsWithContext guards against a probe that waits for a target longer than its time.
func TestDialEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDialer(&way{hangs: true}, &way{hangs: true})
		ctx, cancel := context.WithTimeout(context.Background(), 40*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := d.DialContext(ctx, "tcp", address.String())
		qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)
		qt.Assert(t, time.Since(began), qt.Equals, 40*time.Millisecond)
		time.Sleep(time.Second) // Lets the direct attempt end.
	})
}
