// Package relay opens connections through another instance where this one has no link to the address.
//
// An instance may lose its links to some or all targets while its peers reach them, and it reaches its peers. A Dialer
// connects directly, and through a peer if the direct connection fails or takes longer than usual. If only the peer connects,
// the link has failed: further connections to the address go through peers at once, and the direct way is tried again in the
// background. If the peer does not connect either, the address itself does not respond, and the error is that of the
// direct connection.
//
// A Dialer is safe for concurrent use.
//
// Usage:
//
//	dialer := relay.New(direct.DialContext)
//	dialer.SetPeers(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) { ... })
//	c, err := dialer.DialContext(ctx, "tcp", "10.1.64.9:8080")
package relay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// hedgeDelay is how long a direct connection may take before a peer is asked to connect as well. A live host accepts a
	// connection within one or two milliseconds, a busy one later.
	hedgeDelay = 15 * time.Millisecond
	// probeHedgeDelay is the same for probes, which have less time.
	probeHedgeDelay = 4 * time.Millisecond
	// directTimeout bounds a direct connection that no peer opens either. It is shorter than the kernel's initial SYN
	// retransmission timeout of 1 s.
	directTimeout = 600 * time.Millisecond
	// linkTimeout is how long a direct connection may take while a peer connects. A link that is slower has failed.
	linkTimeout = 200 * time.Millisecond
	// retryInterval is how often the direct way to an address is tried again while its link fails.
	retryInterval = time.Second
	// checkTTL is how long the result of a check of a link is reused.
	checkTTL = time.Second
	// linkTTL is how long an address without connections is remembered.
	linkTTL = 10 * time.Second
)

// ErrNoPeer reports that there is no peer to connect through.
var ErrNoPeer = errors.New("there is no peer to connect through")

// errLinkFailed reports an address to which this instance has lost its link.
var errLinkFailed = errors.New("the link to the address has failed here, too")

// errSilent replaces the error of a direct connection that was refused, if peers could not confirm that.
var errSilent = errors.New("the address refuses connections here, and no peer reaches it")

// DialFunc opens a connection directly.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// PeerDialFunc opens a connection to an address through a peer.
type PeerDialFunc func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// link is the state of the direct way to an address.
type link struct {
	// failedAt is when the link was found to have failed: peers connect to the address and this instance does not. It is zero while
	// the link works.
	failedAt  time.Time
	usedAt    time.Time
	checkedAt time.Time
	retriedAt time.Time
}

// Dialer opens connections directly or through peers.
type Dialer struct {
	direct DialFunc

	mu       sync.Mutex
	peers    PeerDialFunc // peers is nil if there are none.
	onChange []func(to netip.AddrPort, failed bool)
	links    map[netip.AddrPort]*link
}

// New returns a dialer without peers.
func New(direct DialFunc) *Dialer {
	return &Dialer{direct: direct, links: make(map[netip.AddrPort]*link)}
}

// SetPeers sets the function that connects through a peer. Its error wraps syscall.ECONNREFUSED if the address refused the
// peer's connection, and ErrNoPeer if there is no peer.
func (d *Dialer) SetPeers(dial PeerDialFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = dial
}

// OnChange adds a function that is called when the link to an address has failed or works again.
func (d *Dialer) OnChange(f func(to netip.AddrPort, failed bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onChange = append(d.onChange, f)
}

// DialContext opens a connection. It has the signature of net.Dialer.DialContext.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return d.dial(ctx, network, address, hedgeDelay)
}

// ProbeContext opens a connection as DialContext does, and asks a peer sooner.
func (d *Dialer) ProbeContext(ctx context.Context, network, address string) (net.Conn, error) {
	return d.dial(ctx, network, address, probeHedgeDelay)
}

func (d *Dialer) dial(ctx context.Context, network, address string, hedge time.Duration) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return d.direct(ctx, network, address)
	}
	peers := d.use(to)
	if peers == nil {
		return d.direct(ctx, network, address)
	}
	if d.Failed(to) {
		d.retry(to)
		if c, err := peers(ctx, to); err == nil || !errors.Is(err, ErrNoPeer) {
			return c, err
		}
	}
	return d.race(ctx, to, peers, hedge)
}

// DialForPeer opens a connection to an address directly, for a peer.
func (d *Dialer) DialForPeer(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	if d.Failed(to) {
		return nil, errLinkFailed
	}
	return d.direct(ctx, "tcp", to.String())
}

// Failed reports whether the link to an address has failed.
func (d *Dialer) Failed(to netip.AddrPort) bool {
	return !d.failedAt(to).IsZero()
}

// AnyFailed reports whether the link to any address has failed.
func (d *Dialer) AnyFailed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.links {
		if !l.failedAt.IsZero() {
			return true
		}
	}
	return false
}

// Check finds out whether the link to an address has failed, by connecting directly and, if that fails, through a peer. It
// returns when the link was found to have failed, or zero if it works.
func (d *Dialer) Check(ctx context.Context, to netip.AddrPort) (failedAt time.Time) {
	peers := d.use(to)
	if peers == nil || !d.startCheck(to) {
		return d.failedAt(to)
	}
	if d.connects(ctx, to) {
		d.set(to, false)
		return time.Time{}
	}
	if c, err := peers(ctx, to); err == nil {
		_ = c.Close()
		d.set(to, true)
	}
	return d.failedAt(to)
}

// failedAt returns when the link to an address was found to have failed, or zero if it works.
func (d *Dialer) failedAt(to netip.AddrPort) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.links[to]; l != nil {
		return l.failedAt
	}
	return time.Time{}
}

// use records the use of an address, forgets those that were not used for linkTTL, and returns the function that connects
// through a peer.
func (d *Dialer) use(to netip.AddrPort) PeerDialFunc {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	l := d.links[to]
	if l == nil {
		for address, other := range d.links {
			if now.Sub(other.usedAt) > linkTTL {
				delete(d.links, address)
			}
		}
		l = &link{}
		d.links[to] = l
	}
	l.usedAt = now
	return d.peers
}

// startCheck reports whether the link to an address was not checked within checkTTL, and records a check if so.
func (d *Dialer) startCheck(to netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.links[to]
	if l == nil || time.Since(l.checkedAt) < checkTTL {
		return false
	}
	l.checkedAt = time.Now()
	return true
}

// connects reports whether a direct connection succeeds within linkTimeout, and closes it.
func (d *Dialer) connects(ctx context.Context, to netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), linkTimeout)
	defer cancel()
	c, err := d.direct(ctx, "tcp", to.String())
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// set records whether the link to an address has failed. When the first link fails, the others are checked: often all fail
// together.
func (d *Dialer) set(to netip.AddrPort, failed bool) {
	d.mu.Lock()
	l := d.links[to]
	changed := l != nil && l.failedAt.IsZero() == failed
	var others []netip.AddrPort
	if changed {
		l.failedAt, l.retriedAt = time.Time{}, time.Now()
		if failed {
			l.failedAt = l.retriedAt
		}
		for address, other := range d.links {
			if failed && address != to && other.failedAt.IsZero() && time.Since(other.usedAt) < linkTTL {
				others = append(others, address)
			}
		}
	}
	handlers := slices.Clone(d.onChange)
	d.mu.Unlock()
	if changed {
		for _, handle := range handlers {
			handle(to, failed)
		}
	}
	for _, address := range others {
		go d.Check(context.Background(), address)
	}
}

// retry tries the direct way to an address whose link has failed, in the background, at most once in retryInterval.
func (d *Dialer) retry(to netip.AddrPort) {
	d.mu.Lock()
	l := d.links[to]
	due := l != nil && time.Since(l.retriedAt) >= retryInterval
	if due {
		l.retriedAt = time.Now()
	}
	d.mu.Unlock()
	if due {
		go func() {
			if d.connects(context.Background(), to) {
				d.set(to, false)
			}
		}()
	}
}

// result is the outcome of opening a connection.
type result struct {
	conn net.Conn
	err  error
}

// start opens a connection in the background.
func start(dial func() (net.Conn, error)) chan result {
	results := make(chan result, 1)
	go func() {
		c, err := dial()
		results <- result{conn: c, err: err}
	}()
	return results
}

// closeLate closes the connection of an attempt that is no longer needed, when it has opened.
func closeLate(results chan result) {
	if results == nil {
		return
	}
	if r := <-results; r.err == nil {
		_ = r.conn.Close()
	}
}

// race connects directly and, after the hedge delay or a failure, through a peer, and returns the connection that opens first.
func (d *Dialer) race(ctx context.Context, to netip.AddrPort, peers PeerDialFunc, hedge time.Duration) (net.Conn, error) {
	direct := d.startDirect(ctx, to)
	timer := time.NewTimer(hedge)
	defer timer.Stop()
	var directErr error
	select {
	case r := <-direct:
		if r.err == nil {
			return r.conn, nil
		}
		direct, directErr = nil, r.err
	case <-timer.C:
	}
	relayed := start(func() (net.Conn, error) { return peers(ctx, to) })
	var relayErr error
	for direct != nil || relayed != nil {
		select {
		case r := <-direct:
			if r.err == nil {
				go closeLate(relayed)
				return r.conn, nil
			}
			direct, directErr = nil, r.err
		case r := <-relayed:
			if r.err == nil {
				d.judge(to, direct)
				return r.conn, nil
			}
			relayed, relayErr = nil, r.err
		case <-ctx.Done():
			go closeLate(direct)
			go closeLate(relayed)
			return nil, ctx.Err()
		}
	}
	return nil, combine(directErr, relayErr)
}

// startDirect connects directly in the background. The end of ctx does not end the attempt, whose result says whether the
// link works.
func (d *Dialer) startDirect(ctx context.Context, to netip.AddrPort) chan result {
	return start(func() (net.Conn, error) {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), directTimeout)
		defer cancel()
		return d.direct(bounded, "tcp", to.String())
	})
}

// judge records that the link has failed if the direct connection, which is nil after a failure, has failed or does not open
// within linkTimeout.
func (d *Dialer) judge(to netip.AddrPort, direct chan result) {
	if direct == nil {
		d.set(to, true)
		return
	}
	go func() {
		select {
		case r := <-direct:
			if r.err == nil {
				_ = r.conn.Close()
				return
			}
		case <-time.After(linkTimeout):
			go closeLate(direct)
		}
		d.set(to, true)
	}()
}

// combine returns the error of an address to which neither this instance nor a peer connects.
func combine(direct, relayed error) error {
	if errors.Is(direct, syscall.ECONNREFUSED) && !errors.Is(relayed, syscall.ECONNREFUSED) && !errors.Is(relayed, ErrNoPeer) {
		return errors.Join(errSilent, relayed)
	}
	return direct
}
