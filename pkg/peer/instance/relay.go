package instance

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/cuminroute/cuminroute/pkg/connection"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
	"github.com/cuminroute/cuminroute/pkg/responseconn"
)

const (
	// relayPrefix begins a connection that is relayed to a target. Calls of drpc begin otherwise.
	relayPrefix = "CMNRELAY"
	// relayHandshakeTimeout bounds the exchange of the request and the response.
	relayHandshakeTimeout = time.Second
	// relayDialTimeout bounds the opening of a connection to a target for another instance.
	relayDialTimeout = 300 * time.Millisecond
	// relayUnackedTimeout is how long bytes to another instance may stay unacknowledged before the connection fails.
	relayUnackedTimeout = 1500 * time.Millisecond
	// maxRelays bounds the connections that are relayed at the same time. Each has two descriptors.
	maxRelays = 512
	// relayBufferBytes is the size of the buffer for each direction of a relayed connection: some events of a stream.
	relayBufferBytes = 4 << 10
	// relayLingerTimeout is how long a relayed connection whose target has ended may take to deliver the last bytes.
	relayLingerTimeout = 10 * time.Second
	// maxRelayMessage bounds the messages of the handshake in bytes.
	maxRelayMessage = 256
)

// RelayTargetDialer opens connections to targets for other instances.
type RelayTargetDialer interface {
	// DialTarget opens a direct connection to a target. Its error is ErrRelayDenied for other addresses, and if this instance
	// stops.
	DialTarget(ctx context.Context, to netip.AddrPort) (net.Conn, error)
}

// ErrRelayDenied reports an address to which no connections are relayed.
var ErrRelayDenied = errors.New("no connections are relayed to this address")

// WithRelay sets the dialer of relayed connections. Without this option, the node relays none.
func WithRelay(d RelayTargetDialer) Option {
	return func(n *Node) { n.relayTargetDialer = d }
}

// DialThrough opens a connection to a target through another instance. Its error wraps syscall.ECONNREFUSED if the target's
// host refused the connection of that instance.
func (n *Node) DialThrough(ctx context.Context, via, to netip.AddrPort) (net.Conn, error) {
	dialer := connection.NewDialer(relayHandshakeTimeout, relayUnackedTimeout)
	c, err := dialer.DialContext(ctx, "tcp", via.String())
	if err != nil {
		return nil, Unavailable.New("instance %s cannot be reached: %v", via, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Now()) })
	err = n.requestRelay(c, to)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	_ = c.SetDeadline(time.Time{})
	return responseconn.Wrap(c), nil
}

// requestRelay sends a relay request and reads the response.
func (n *Node) requestRelay(c net.Conn, to netip.AddrPort) error {
	_ = c.SetDeadline(time.Now().Add(relayHandshakeTimeout))
	request, err := marshalRelay(&instancepb.RelayRequest{Fleet: xxhash.Sum64String(n.fleet), Target: encodeAddress(to)})
	if err != nil {
		return Malformed.Wrap(err, "relay request cannot be encoded")
	}
	if _, err := c.Write(append([]byte(relayPrefix), request...)); err != nil {
		return Unavailable.Wrap(err, "relay request failed")
	}
	var response instancepb.RelayResponse
	if err := (protodelim.UnmarshalOptions{MaxSize: maxRelayMessage}).UnmarshalFrom(byteReader{c}, &response); err != nil {
		return Unavailable.Wrap(err, "no response to a relay request")
	}
	switch response.GetStatus() {
	case instancepb.RelayStatus_RELAY_STATUS_CONNECTED:
		return nil
	case instancepb.RelayStatus_RELAY_STATUS_REFUSED:
		return syscall.ECONNREFUSED
	default:
		return Unavailable.New("%s cannot be reached through %s: %s", to, c.RemoteAddr(), response.GetStatus())
	}
}

// marshalRelay encodes a message of the handshake with its length before it.
func marshalRelay(m proto.Message) ([]byte, error) {
	var b bytes.Buffer
	_, err := protodelim.MarshalTo(&b, m)
	return b.Bytes(), err
}

// serveRelay serves a connection that another instance asks to relay to a target.
func (n *Node) serveRelay(c net.Conn) {
	defer c.Close()
	peer, ok := c.(*net.TCPConn)
	if !ok || n.relayTargetDialer == nil {
		return
	}
	select {
	case n.relaySlots <- struct{}{}:
		defer func() { <-n.relaySlots }()
	default:
		return
	}
	_ = peer.SetDeadline(time.Now().Add(relayHandshakeTimeout))
	target, status := n.dialForPeer(peer)
	if target != nil {
		defer target.Close()
	}
	response, err := marshalRelay(&instancepb.RelayResponse{Status: status})
	if err != nil {
		return
	}
	if _, err := peer.Write(response); err != nil || target == nil {
		return
	}
	_ = peer.SetDeadline(time.Time{})
	n.counters.relayed.Inc(1)
	stop := context.AfterFunc(n.ctx, func() { _ = peer.Close(); _ = target.Close() })
	defer stop()
	activity := n.relayActivities.add()
	defer n.relayActivities.remove(activity)
	forward(peer, responseconn.Wrap(target), activity)
}

// Relayed returns the number of connections that are relayed for other instances.
func (n *Node) Relayed() int { return len(n.relaySlots) }

// RelaysInUse returns the number of relayed connections that carry a request or its response now, as opposed to those that other
// instances keep for later requests.
func (n *Node) RelaysInUse() int { return n.relayActivities.inUse(time.Now()) }

// dialForPeer reads a relay request and opens the connection to the target. The connection is nil unless the status is
// connected.
func (n *Node) dialForPeer(peer net.Conn) (net.Conn, instancepb.RelayStatus) {
	var request instancepb.RelayRequest
	if err := (protodelim.UnmarshalOptions{MaxSize: maxRelayMessage}).UnmarshalFrom(byteReader{peer}, &request); err != nil {
		return nil, instancepb.RelayStatus_RELAY_STATUS_DENIED
	}
	to := decodeAddress(request.GetTarget())
	if !to.IsValid() || request.GetFleet() != xxhash.Sum64String(n.fleet) {
		return nil, instancepb.RelayStatus_RELAY_STATUS_DENIED
	}
	ctx, cancel := context.WithTimeout(n.ctx, relayDialTimeout)
	defer cancel()
	target, err := n.relayTargetDialer.DialTarget(ctx, to)
	switch {
	case err == nil:
		return target, instancepb.RelayStatus_RELAY_STATUS_CONNECTED
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, instancepb.RelayStatus_RELAY_STATUS_REFUSED
	case errors.Is(err, ErrRelayDenied):
		return nil, instancepb.RelayStatus_RELAY_STATUS_DENIED
	default:
		return nil, instancepb.RelayStatus_RELAY_STATUS_UNREACHABLE
	}
}

// forward copies bytes between a peer and a target until either side ends. When the peer ends, the target's connection is
// closed at once, so that the target stops its work. When the target ends, the peer gets the same end: a reset after an
// error, since a response without a length would look complete otherwise.
func forward(peer *net.TCPConn, target net.Conn, activity *relayActivity) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.CopyBuffer(onlyWriter{target}, activity.toTarget(peer), make([]byte, relayBufferBytes))
		_ = target.Close()
	}()
	if _, err := io.CopyBuffer(onlyWriter{peer}, activity.fromTarget(target), make([]byte, relayBufferBytes)); err != nil {
		_ = peer.SetLinger(0)
		_ = peer.Close()
	} else {
		_ = peer.CloseWrite()
		_ = peer.SetReadDeadline(time.Now().Add(relayLingerTimeout))
	}
	<-done
}

// onlyWriter hides the other methods of a connection, so that the copy uses the given buffer.
type onlyWriter struct{ io.Writer }

// byteReader reads single bytes, so that nothing after a message is read.
type byteReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}
