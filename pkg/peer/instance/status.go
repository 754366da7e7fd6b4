package instance

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

// bulletinMark is the first byte of a bulletin's datagram. No packet of the membership starts with it: field numbers
// of protocol buffers begin at 1.
const bulletinMark = 0

// SendStatus sends a bulletin to other instances. A datagram that the system does not take is lost, as in the network.
func (n *Node) SendStatus(to []netip.AddrPort, b *instancepb.StatusUpdate) error {
	b.Fleet = xxhash.Sum64String(n.fleet)
	content, err := proto.MarshalOptions{}.MarshalAppend([]byte{bulletinMark}, b)
	if err != nil {
		return Malformed.Wrap(err, "bulletin cannot be encoded")
	}
	if len(content) > membership.MaxPacketBytes {
		return Malformed.New("bulletin has %d bytes, at most %d are accepted", len(content), membership.MaxPacketBytes)
	}
	for _, address := range to {
		if _, err := n.udp.WriteToUDPAddrPort(content, address); err != nil {
			n.counters.dropped.Inc(1)
			continue
		}
		n.counters.packetsOut.Inc(1)
		n.counters.bytesOut.Inc(int64(len(content)))
	}
	return nil
}

func (n *Node) readBulletin(from netip.AddrPort, content []byte) {
	var b instancepb.StatusUpdate
	if err := proto.Unmarshal(content, &b); err != nil || b.GetFleet() != xxhash.Sum64String(n.fleet) {
		n.counters.refused.Inc(1)
		return
	}
	if n.bulletins != nil {
		n.bulletins(from, &b)
	}
}
