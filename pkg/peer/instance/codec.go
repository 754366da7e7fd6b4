package instance

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

var kinds = map[membership.PacketKind]instancepb.Kind{
	membership.Ping:        instancepb.Kind_KIND_PING,
	membership.Ack:         instancepb.Kind_KIND_ACK,
	membership.PingRequest: instancepb.Kind_KIND_PING_REQUEST,
	membership.Nack:        instancepb.Kind_KIND_NACK,
	membership.Gossip:      instancepb.Kind_KIND_GOSSIP,
	membership.Sync:        instancepb.Kind_KIND_SYNC,
	membership.SyncReply:   instancepb.Kind_KIND_SYNC_BACK,
	membership.SyncEntries: instancepb.Kind_KIND_SYNC_ENTRIES,
}

var states = map[membership.State]instancepb.MemberState{
	membership.Alive:   instancepb.MemberState_MEMBER_STATE_ALIVE,
	membership.Suspect: instancepb.MemberState_MEMBER_STATE_SUSPECT,
	membership.Dead:    instancepb.MemberState_MEMBER_STATE_DEAD,
	membership.Left:    instancepb.MemberState_MEMBER_STATE_LEFT,
}

var (
	kindOf  = inverse(kinds)
	stateOf = inverse(states)
)

func inverse[K, V comparable](m map[K]V) map[V]K {
	i := make(map[V]K, len(m))
	for k, v := range m {
		i[v] = k
	}
	return i
}

// Encode returns the packet's bytes, or an error if they exceed membership.MaxPacketBytes.
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
	k := &instancepb.Packet{
		Kind: kinds[p.Kind], Fleet: p.Fleet, From: encodeMember(p.From),
		Sequence: p.Sequence, Version: p.Version.Number, Digest: p.Digest,
	}
	if p.Target.IsValid() {
		k.Target = encodeAddress(p.Target)
	}
	if !p.Load.At.IsZero() {
		k.Load = &instancepb.Load{AtMs: p.Load.At.UnixMilli(), Running: p.Load.Running, Queued: p.Load.Queued}
	}
	for _, m := range p.Members {
		k.Members = append(k.Members, encodeMember(m))
	}
	for _, i := range p.Items {
		encodeItem(k, i)
	}
	return k
}

func encodeItem(k *instancepb.Packet, i membership.Item) {
	switch i := i.(type) {
	case membership.Drain:
		k.Drains = append(k.Drains, &instancepb.Drain{
			Target: i.Target, AtMs: i.At.UnixMilli(), ExpiresMs: i.Expires.UnixMilli(), Cancelled: i.Cancelled,
		})
	case membership.Quarantine:
		k.Quarantines = append(k.Quarantines, &instancepb.Quarantine{
			Fingerprint: i.Fingerprint, UntilMs: i.Until.UnixMilli(), Held: i.Held,
		})
	}
}

func encodeMember(m membership.Member) *instancepb.Member {
	return &instancepb.Member{
		Address: encodeAddress(m.Address), Incarnation: m.Incarnation, State: states[m.State],
		Name: m.Name, DataCentre: m.DataCentre,
	}
}

func encodeAddress(a netip.AddrPort) []byte {
	return append(a.Addr().Unmap().AsSlice(), byte(a.Port()>>8), byte(a.Port()))
}

// Decode returns the packet that the bytes stand for. It refuses whatever a correct member does not
// send, and never panics.
func Decode(b []byte) (membership.Packet, error) {
	var k instancepb.Packet
	if len(b) > membership.MaxPacketBytes {
		return membership.Packet{}, Malformed.New("packet has %d bytes, at most %d are accepted", len(b), membership.MaxPacketBytes)
	}
	if err := proto.Unmarshal(b, &k); err != nil {
		return membership.Packet{}, Malformed.Wrap(err, "packet is not a protocol buffer")
	}
	p := decodePacket(&k)
	return p, p.Validate()
}

func decodePacket(k *instancepb.Packet) membership.Packet {
	p := membership.Packet{
		Kind: kindOf[k.GetKind()], Fleet: k.GetFleet(), From: decodeMember(k.GetFrom()),
		Sequence: k.GetSequence(), Version: membership.ConfigVersion{Number: k.GetVersion()}, Digest: k.GetDigest(),
	}
	p.Target = decodeAddress(k.GetTarget())
	if l := k.GetLoad(); l != nil {
		p.Load = membership.LoadReport{
			Origin: p.From.Address, At: time.UnixMilli(l.GetAtMs()), Running: l.GetRunning(), Queued: l.GetQueued(),
		}
	}
	for _, m := range k.GetMembers() {
		p.Members = append(p.Members, decodeMember(m))
	}
	for _, d := range k.GetDrains() {
		p.Items = append(p.Items, membership.Drain{
			Target: d.GetTarget(), At: time.UnixMilli(d.GetAtMs()), Expires: time.UnixMilli(d.GetExpiresMs()),
			Cancelled: d.GetCancelled(),
		})
	}
	for _, q := range k.GetQuarantines() {
		p.Items = append(p.Items, membership.Quarantine{
			Fingerprint: q.GetFingerprint(), Until: time.UnixMilli(q.GetUntilMs()), Held: q.GetHeld(),
		})
	}
	return p
}

func decodeMember(m *instancepb.Member) membership.Member {
	return membership.Member{
		Name: m.GetName(), DataCentre: m.GetDataCentre(), Address: decodeAddress(m.GetAddress()),
		Incarnation: m.GetIncarnation(), State: stateOf[m.GetState()],
	}
}

// decodeAddress returns an invalid address for bytes that are not one.
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
