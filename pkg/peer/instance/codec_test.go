package instance_test

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/peer/instance"
)

func drawAddress(t *rapid.T) netip.AddrPort {
	port := rapid.Uint16Range(1, 65535).Draw(t, "port")
	if rapid.Bool().Draw(t, "v4") {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, rapid.Byte().Draw(t, "ip"), 0, 1}), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16([16]byte{0xfd, rapid.Byte().Draw(t, "ip"), 15: 1}), port)
}

func drawMember(t *rapid.T) membership.Member {
	return membership.Member{
		Name:        rapid.StringN(0, 16, membership.MaxNameBytes).Draw(t, "name"),
		DataCentre:  rapid.StringN(0, 16, membership.MaxNameBytes).Draw(t, "data centre"),
		Address:     drawAddress(t),
		Incarnation: rapid.Uint64Range(1, membership.MaxIncarnation).Draw(t, "incarnation"),
		State:       rapid.SampledFrom([]membership.State{membership.Alive, membership.Suspect, membership.Dead, membership.Left}).Draw(t, "state"),
	}
}

func drawTime(t *rapid.T) time.Time {
	return time.UnixMilli(rapid.Int64Range(1, 1<<45).Draw(t, "ms"))
}

func drawItem(t *rapid.T) membership.Item {
	if rapid.Bool().Draw(t, "quarantine") {
		return membership.Quarantine{
			Fingerprint: rapid.Uint64().Draw(t, "fingerprint"), Until: drawTime(t), Held: rapid.Bool().Draw(t, "held"),
		}
	}
	at := drawTime(t)
	return membership.Drain{
		Target: rapid.StringN(1, 32, membership.MaxTargetBytes).Draw(t, "target"), At: at,
		Expires: at.Add(time.Hour), Cancelled: rapid.Bool().Draw(t, "cancelled"),
	}
}

func drawPacket(t *rapid.T) membership.Packet {
	from := drawMember(t)
	from.State = membership.Alive
	p := membership.Packet{
		Kind: membership.Ping, Fleet: "fleet", From: from, Sequence: rapid.Uint64().Draw(t, "sequence"),
		Version: membership.ConfigVersion{Number: rapid.Uint64().Draw(t, "version")},
		Members: rapid.SliceOfN(rapid.Custom(drawMember), 0, 3).Draw(t, "members"),
		Items:   rapid.SliceOfN(rapid.Custom(drawItem), 0, 2).Draw(t, "items"),
	}
	if rapid.Bool().Draw(t, "load") {
		p.Load = membership.LoadReport{Origin: p.From.Address, At: drawTime(t), Running: rapid.Uint32().Draw(t, "running"), Queued: 1 << 31}
	}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		p.Kind, p.Target = membership.PingRequest, drawAddress(t)
	case 1:
		p.Kind, p.Digest = membership.SyncReply, make([]uint32, membership.DigestBuckets)
		p.Digest[3] = rapid.Uint32().Draw(t, "digest")
		p.Members, p.Items = nil, nil
	}
	return p
}

// TestCodec guards against fields lost in encoding, and against encoded packets that exceed the result of
// membership.Packet.Size, with which the member list fills packets.
func TestCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPacket(t)
		b, err := instance.Encode(p)
		if err != nil || len(b) > p.Size() {
			t.Fatalf("%d bytes, counted %d: %v", len(b), p.Size(), err)
		}
		q, err := instance.Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		again, err := instance.Encode(q)
		if err != nil || !bytes.Equal(again, b) {
			t.Fatalf("decoded packet %+v differs from %+v: %v", q, p, err)
		}
		if len(q.Members) != len(p.Members) || len(q.Items) != len(p.Items) || q.From != p.From {
			t.Fatalf("decoded packet %+v differs from %+v", q, p)
		}
	})
}

// FuzzDecode guards against panics on malformed packets, in the decoder and in the member list that receives them.
func FuzzDecode(f *testing.F) {
	self := membership.Member{Name: "a", Address: netip.MustParseAddrPort("10.0.0.1:1"), State: membership.Alive, Incarnation: 1}
	peer := membership.Member{Name: "b", Address: netip.MustParseAddrPort("10.0.0.2:1"), State: membership.Alive, Incarnation: 1}
	now := time.UnixMilli(1 << 40)
	for _, k := range []membership.Packet{
		{Kind: membership.Ping, Members: []membership.Member{self}},
		{Kind: membership.PingRequest, Target: self.Address},
		{Kind: membership.Sync, Digest: make([]uint32, membership.DigestBuckets)},
		{Kind: membership.Gossip, Items: []membership.Item{membership.Drain{Target: "w", At: now, Expires: now.Add(time.Hour)}}},
	} {
		k.From = peer
		b, err := instance.Encode(k)
		qt.Assert(f, err, qt.IsNil)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := instance.Decode(b)
		if err != nil {
			return
		}
		memberList, err := membership.New(membership.Config{Self: self}, seeded(1), now)
		qt.Assert(t, err, qt.IsNil)
		p.Fleet = ""
		out := append(memberList.Receive(peer.Address, p, now), memberList.Tick(now)...)
		for _, o := range out {
			_, err := instance.Encode(o)
			qt.Assert(t, err, qt.IsNil)
		}
	})
}
