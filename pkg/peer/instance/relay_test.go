package instance_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/peer/instance"
)

// relayDialer relays to all addresses but one.
type relayDialer struct {
	denied netip.AddrPort
}

func (d relayDialer) DialTarget(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	if to == d.denied {
		return nil, instance.ErrRelayDenied
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", to.String())
}

// startRelayPair starts an instance that relays to all addresses but one, and another that asks it to.
func startRelayPair(t *testing.T, denied netip.AddrPort) (asks, relays *instance.Node) {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	start := func(name string, options ...instance.Option) *instance.Node {
		n, err := instance.New(context.Background(), instance.Config{Fleet: "f", Name: name, DataCentre: "dc", Address: loopback},
			append(options, instance.WithoutConfigSync())...)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = n.Close() })
		return n
	}
	return start("a"), start("b", instance.WithRelay(relayDialer{denied: denied}))
}

// startTarget starts a listener that passes each connection to a function.
func startTarget(t *testing.T, serve func(*net.TCPConn)) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestRelayedBytes guards against bytes that a relay loses or changes, and against an end of the target's connection that looks
// different through a relay: a broken response must not look complete.
func TestRelayedBytes(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(*net.TCPConn)
		want error
	}{
		{"the target closes", func(c *net.TCPConn) { _ = c.Close() }, io.EOF},
		{"the target resets", func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, syscall.ECONNRESET},
	} {
		t.Run(test.name, func(t *testing.T) {
			asks, relays := startRelayPair(t, netip.AddrPort{})
			received := make(chan struct{})
			to := startTarget(t, func(c *net.TCPConn) {
				b := make([]byte, 7)
				_, _ = io.ReadFull(c, b)
				_, _ = c.Write(append(b, b...))
				<-received // A reset discards bytes that have not been received.
				test.end(c)
			})
			c, err := asks.DialThrough(context.Background(), relays.Address(), to)
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			_, err = c.Write([]byte("request"))
			qt.Assert(t, err, qt.IsNil)
			got := make([]byte, 14)
			_, err = io.ReadFull(c, got)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(got), qt.Equals, "requestrequest")
			close(received)
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err = c.Read(got)
			qt.Assert(t, err, qt.ErrorIs, test.want)
		})
	}
}

// TestResetDuringRelayedUpload guards against a reset of a target's connection that looks like an orderly end through a relay, because
// the write of a request met it, at the relay or at the instance that asked.
func TestResetDuringRelayedUpload(t *testing.T) {
	const (
		connections = 64
		// pause is how much later a connection is reset than the one before.
		pause = 10 * time.Microsecond
	)
	ended := 0
	for n := range connections {
		asks, relays := startRelayPair(t, netip.AddrPort{})
		to := startTarget(t, func(c *net.TCPConn) {
			_ = c.SetReadBuffer(4 << 10)
			b := make([]byte, 7)
			_, _ = io.ReadFull(c, b)
			_, _ = c.Write(b)
			time.Sleep(time.Duration(n) * pause)
			_ = c.SetLinger(0)
			_ = c.Close()
		})
		c, err := asks.DialThrough(context.Background(), relays.Address(), to)
		qt.Assert(t, err, qt.IsNil)
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = c.Write(make([]byte, 3<<20))
		}()
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err = io.Copy(io.Discard, c); err == nil { // An orderly end.
			ended++
		}
		_ = c.Close()
		<-written
		_ = asks.Close()
		_ = relays.Close()
	}
	qt.Assert(t, ended, qt.Equals, 0, qt.Commentf("of %d connections that were reset", connections))
}

// TestRelaysInUse guards against a stop that cuts off a relayed request whose target works for long, and against one that waits for
// relayed connections without a request.
func TestRelaysInUse(t *testing.T) {
	const work = time.Second // Longer than a pause within a response may be.
	asks, relays := startRelayPair(t, netip.AddrPort{})
	to := startTarget(t, func(c *net.TCPConn) {
		_, _ = io.ReadFull(c, make([]byte, 7))
		time.Sleep(work)
		_, _ = io.WriteString(c, "done")
		_, _ = io.ReadFull(c, make([]byte, 1))
	})
	c, err := asks.DialThrough(context.Background(), relays.Address(), to)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	_, err = c.Write([]byte("request"))
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(work - 200*time.Millisecond)
	qt.Assert(t, relays.RelaysInUse(), qt.Equals, 1)
	_, err = io.ReadFull(c, make([]byte, 4))
	qt.Assert(t, err, qt.IsNil)
	for end := time.Now().Add(5 * time.Second); relays.RelaysInUse() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, relays.RelaysInUse(), qt.Equals, 0)
	qt.Assert(t, relays.Relayed(), qt.Equals, 1)
}

// TestRelayEndsWithClient guards against work that a target goes on with after its client has left, since the relay keeps the
// connection.
func TestRelayEndsWithClient(t *testing.T) {
	asks, relays := startRelayPair(t, netip.AddrPort{})
	ended := make(chan error, 1)
	to := startTarget(t, func(c *net.TCPConn) {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	})
	c, err := asks.DialThrough(context.Background(), relays.Address(), to)
	qt.Assert(t, err, qt.IsNil)
	_ = c.Close()
	select {
	case err := <-ended:
		qt.Assert(t, err, qt.IsNotNil)
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the target's connection is still open")
	}
}

// TestRelayRefusals guards against taking a target that has ended for one that this instance cannot reach, and against an
// instance that connects to any address for others.
func TestRelayRefusals(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ended := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	open := startTarget(t, func(c *net.TCPConn) { _ = c.Close() })
	asks, relays := startRelayPair(t, open)
	for _, test := range []struct {
		name    string
		via, to netip.AddrPort
		refused bool
	}{
		{"the target has ended", relays.Address(), ended, true},
		{"denied address", relays.Address(), open, false},
		{"an instance that relays nothing", asks.Address(), open, false},
		{"no instance", ended, open, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := asks.DialThrough(context.Background(), test.via, test.to)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, errors.Is(err, syscall.ECONNREFUSED), qt.Equals, test.refused, qt.Commentf("%v", err))
		})
	}
}
