package instance

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

var wireKinds = map[membership.PacketKind]instancepb.Kind{
	membership.Ping:        instancepb.Kind_KIND_PING,
	membership.Ack:         instancepb.Kind_KIND_ACK,
	membership.PingRequest: instancepb.Kind_KIND_PING_REQUEST,
	membership.Nack:        instancepb.Kind_KIND_NACK,
	membership.Gossip:      instancepb.Kind_KIND_GOSSIP,
	membership.Sync:        instancepb.Kind_KIND_SYNC,
	membership.SyncReply:   instancepb.Kind_KIND_SYNC_BACK,
	membership.SyncEntries: instancepb.Kind_KIND_SYNC_ENTRIES,
}

var wireStates = map[membership.State]instancepb.MemberState{
	membership.Alive:   instancepb.MemberState_MEMBER_STATE_ALIVE,
	membership.Suspect: instancepb.MemberState_MEMBER_STATE_SUSPECT,
	membership.Dead:    instancepb.MemberState_MEMBER_STATE_DEAD,
	membership.Left:    instancepb.MemberState_MEMBER_STATE_LEFT,
}

var (
	packetKinds  = inverse(wireKinds)
	memberStates = inverse(wireStates)
)

// inverse returns the map from values to keys.
func inverse[K, V comparable](m map[K]V) map[V]K {
	i := make(map[V]K, len(m))
	for k, v := range m {
		i[v] = k
	}
	return i
}

// Encode encodes a packet, or returns an error if it exceeds membership.MaxPacketBytes.
func Encode(p membership.Packet) ([]byte, error) {
	b, err := proto.Marshal(encodePacket(p))
	if err != nil {
		return nil, Malformed.Wrap(err, "packet cannot be encoded")
	}
	if len(b) > membership.MaxPacketBytes {
		return nil, Malformed.New("packet has %d bytes, at most %d are accepted", len(b), membership.MaxPacketBytes)
	}
	return b, nil
}

func encodePacket(p membership.Packet) *instancepb.Packet {
	m := &instancepb.Packet{
		Kind: wireKinds[p.Kind], Fleet: p.Fleet, From: encodeMember(p.From),
		Sequence: p.Sequence, Version: p.Version.Number, Digest: p.Digest,
	}
	if p.Target.IsValid() {
		m.Target = encodeAddress(p.Target)
	}
	if !p.Load.At.IsZero() {
		m.Load = &instancepb.Load{AtMs: p.Load.At.UnixMilli(), Running: p.Load.Running, Queued: p.Load.Queued}
	}
	for _, member := range p.Members {
		m.Members = append(m.Members, encodeMember(member))
	}
	for _, i := range p.Items {
		encodeItem(m, i)
	}
	return m
}

func encodeItem(m *instancepb.Packet, i membership.Item) {
	switch i := i.(type) {
	case membership.Drain:
		m.Drains = append(m.Drains, &instancepb.Drain{
			Target: i.Target, AtMs: i.At.UnixMilli(), ExpiresMs: i.Expires.UnixMilli(), Cancelled: i.Cancelled,
		})
	case membership.Quarantine:
		m.Quarantines = append(m.Quarantines, &instancepb.Quarantine{
			Fingerprint: i.Fingerprint, UntilMs: i.Until.UnixMilli(), Held: i.Held,
		})
	}
}

func encodeMember(m membership.Member) *instancepb.Member {
	return &instancepb.Member{
		Address: encodeAddress(m.Address), Incarnation: m.Incarnation, State: wireStates[m.State],
		Name: m.Name, DataCentre: m.DataCentre,
	}
}

func encodeAddress(a netip.AddrPort) []byte {
	return append(a.Addr().Unmap().AsSlice(), byte(a.Port()>>8), byte(a.Port()))
}

// Decode decodes and validates a packet. It returns an error for packets that a correct member does not
// send, and never panics.
func Decode(b []byte) (membership.Packet, error) {
	var m instancepb.Packet
	if len(b) > membership.MaxPacketBytes {
		return membership.Packet{}, Malformed.New("packet has %d bytes, at most %d are accepted", len(b), membership.MaxPacketBytes)
	}
	if err := proto.Unmarshal(b, &m); err != nil {
		return membership.Packet{}, Malformed.Wrap(err, "packet is not a protocol buffer")
	}
	p := decodePacket(&m)
	return p, p.Validate()
}

func decodePacket(m *instancepb.Packet) membership.Packet {
	p := membership.Packet{
		Kind: packetKinds[m.GetKind()], Fleet: m.GetFleet(), From: decodeMember(m.GetFrom()),
		Sequence: m.GetSequence(), Version: membership.ConfigVersion{Number: m.GetVersion()}, Digest: m.GetDigest(),
	}
	p.Target = decodeAddress(m.GetTarget())
	if l := m.GetLoad(); l != nil {
		p.Load = membership.LoadReport{
			Origin: p.From.Address, At: time.UnixMilli(l.GetAtMs()), Running: l.GetRunning(), Queued: l.GetQueued(),
		}
	}
	for _, member := range m.GetMembers() {
		p.Members = append(p.Members, decodeMember(member))
	}
	for _, d := range m.GetDrains() {
		p.Items = append(p.Items, membership.Drain{
			Target: d.GetTarget(), At: time.UnixMilli(d.GetAtMs()), Expires: time.UnixMilli(d.GetExpiresMs()),
			Cancelled: d.GetCancelled(),
		})
	}
	for _, q := range m.GetQuarantines() {
		p.Items = append(p.Items, membership.Quarantine{
			Fingerprint: q.GetFingerprint(), Until: time.UnixMilli(q.GetUntilMs()), Held: q.GetHeld(),
		})
	}
	return p
}

func decodeMember(m *instancepb.Member) membership.Member {
	return membership.Member{
		Name: m.GetName(), DataCentre: m.GetDataCentre(), Address: decodeAddress(m.GetAddress()),
		Incarnation: m.GetIncarnation(), State: memberStates[m.GetState()],
	}
}

// decodeAddress returns an invalid address if the bytes are not an address.
func decodeAddress(b []byte) netip.AddrPort {
	if len(b) < 2 {
		return netip.AddrPort{}
	}
	ip, ok := netip.AddrFromSlice(b[:len(b)-2])
	if !ok {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ip.Unmap(), uint16(b[len(b)-2])<<8|uint16(b[len(b)-1]))
}
