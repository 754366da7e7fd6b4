package instance

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

// statusMark is the first byte of a status update's datagram. No membership packet starts with this byte, since field
// numbers of protocol buffers start at 1.
const statusMark = 0

// SendStatus sets the fleet of a status update and sends it to other instances. A datagram that the socket does not
// accept is dropped, as datagrams may be dropped by the network.
func (n *Node) SendStatus(to []netip.AddrPort, update *instancepb.StatusUpdate) error {
	update.Fleet = xxhash.Sum64String(n.fleet)
	content, err := proto.MarshalOptions{}.MarshalAppend([]byte{statusMark}, update)
	if err != nil {
		return Malformed.Wrap(err, "status update cannot be encoded")
	}
	if len(content) > membership.MaxPacketBytes {
		return Malformed.New("status update has %d bytes, at most %d are accepted", len(content), membership.MaxPacketBytes)
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

// receiveStatus decodes a status update and passes it to the handler. It refuses updates of other fleets.
func (n *Node) receiveStatus(from netip.AddrPort, content []byte) {
	var update instancepb.StatusUpdate
	if err := proto.Unmarshal(content, &update); err != nil || update.GetFleet() != xxhash.Sum64String(n.fleet) {
		n.counters.refused.Inc(1)
		return
	}
	n.receiveCrash(&update)
	n.receiveRequestLimits(from, &update)
	if n.statusHandler != nil {
		n.statusHandler(from, &update)
	}
}
