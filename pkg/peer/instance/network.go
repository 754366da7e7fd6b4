package instance

import (
	"context"
	"net"
	"net/netip"
)

// Network opens the sockets on which a node exchanges packets and calls with other instances. Relayed connections do not use it.
type Network interface {
	Listen(address netip.AddrPort) (net.Listener, error)
	ListenPacket(address netip.AddrPort) (PacketConn, error)
	Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// PacketConn sends and receives datagrams. *net.UDPConn is one.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (n int, err error)
	Close() error
}

// WithNetwork replaces the sockets of the operating system, so that a test can drive time and the network.
func WithNetwork(network Network) Option {
	return func(n *Node) { n.network = network }
}

// systemNetwork is the network of the operating system.
type systemNetwork struct{}

// Listen implements Network.
func (systemNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
}

// ListenPacket implements Network.
func (systemNetwork) ListenPacket(address netip.AddrPort) (PacketConn, error) {
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
}

// Dial implements Network.
func (systemNetwork) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address.String())
}
