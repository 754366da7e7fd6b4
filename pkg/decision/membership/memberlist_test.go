package membership

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_800_000_000_000)

func member(i int, incarnation uint64, s State) Member {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7946)
	return Member{Name: "e", DataCentre: "a", Address: a, Incarnation: incarnation, State: s}
}

func newMemberList(t rapid.TB) *MemberList {
	l, err := New(Config{Fleet: "f", Self: member(1, 1, Alive)}, rand.New(rand.NewPCG(1, 1)), start)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestItems guards against members that keep different ones of two items with the same key.
func TestItems(t *testing.T) {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	tests := []struct {
		name         string
		newer, older Item
		equal, kept  bool
	}{
		{"higher version", ConfigVersion{Number: 3}, ConfigVersion{Number: 2}, false, false},
		{"later load", LoadReport{At: at(2)}, LoadReport{At: at(1), Running: 9}, false, false},
		{"drain set later", Drain{Target: "w", At: at(2), Expires: at(5)}, Drain{Target: "w", At: at(1), Expires: at(9)}, false, true},
		{"drain that lasts longer", Drain{Target: "w", At: at(1), Expires: at(9)}, Drain{Target: "w", At: at(1), Expires: at(5), Cancelled: true}, false, true},
		{"cancelled drain", Drain{Target: "w", At: at(1), Expires: at(5), Cancelled: true}, Drain{Target: "w", At: at(1), Expires: at(5)}, false, true},
		{"longer quarantine", Quarantine{Fingerprint: 1, Until: at(9)}, Quarantine{Fingerprint: 1, Until: at(5)}, false, true},
		{"same drain", Drain{Target: "w", At: at(1), Expires: at(5)}, Drain{Target: "w", At: at(1), Expires: at(5)}, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.newer.Supersedes(test.older), qt.Equals, !test.equal)
			qt.Assert(t, test.older.Supersedes(test.newer), qt.IsFalse)
			if !test.kept {
				return
			}
			for _, order := range [][]Item{{test.newer, test.older}, {test.older, test.newer}} {
				l := newMemberList(t)
				qt.Assert(t, l.Publish(order[0]), qt.IsNil)
				qt.Assert(t, l.Publish(order[1]), qt.IsNil)
				qt.Assert(t, l.Items(), qt.DeepEquals, []Item{test.newer})
			}
		})
	}
}

// TestPublishRefuses guards against items that last too long or have expired, and against items that do not fit a
// packet or cannot be encoded in one.
func TestPublishRefuses(t *testing.T) {
	l := newMemberList(t)
	for _, i := range []Item{
		Drain{Target: string(make([]byte, MaxTargetBytes+1)), At: start, Expires: start.Add(time.Hour)},
		Drain{Target: "\xff", At: start, Expires: start.Add(time.Hour)},
		Drain{Target: "", At: start, Expires: start.Add(time.Hour)},
		Drain{Target: "w", At: start, Expires: start.Add(8 * 24 * time.Hour)},
		Drain{Target: "w", At: start, Expires: start},
		Quarantine{Fingerprint: 1, Until: start.Add(100 * 24 * time.Hour)},
	} {
		qt.Assert(t, l.Publish(i), qt.IsNotNil, qt.Commentf("%+v", i))
	}
}

// TestMerge guards against a record that wrongly supersedes another, and above all against a death from a
// digest response that is accepted without verification.
func TestMerge(t *testing.T) {
	tests := []struct {
		name            string
		known, received Member
		how             PacketKind
		want            State
	}{
		{"death by gossip", member(2, 5, Alive), member(2, 5, Dead), Gossip, Dead},
		{"death by digest", member(2, 5, Alive), member(2, 5, Dead), SyncEntries, Alive},
		{"departure by digest", member(2, 5, Alive), member(2, 5, Left), SyncEntries, Left},
		{"old death", member(2, 5, Alive), member(2, 4, Dead), Gossip, Alive},
		{"alive without refutation", member(2, 5, Dead), member(2, 5, Alive), Gossip, Dead},
		{"refutation", member(2, 5, Dead), member(2, 6, Alive), SyncEntries, Alive},
		{"suspicion", member(2, 5, Alive), member(2, 5, Suspect), Gossip, Suspect},
		{"suspicion after departure", member(2, 5, Left), member(2, 5, Suspect), Gossip, Left},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newMemberList(t)
			sender := member(3, 1, Alive)
			for _, p := range []Packet{
				{Kind: Gossip, Fleet: "f", From: sender, Members: []Member{test.known}},
				{Kind: test.how, Fleet: "f", From: sender, Members: []Member{test.received}},
			} {
				l.Receive(sender.Address, p, start)
			}
			qt.Assert(t, l.members[test.known.Address].State, qt.Equals, test.want)
		})
	}
}

// TestRefute guards against a live member that does not refute its own death, and against a departed member that
// becomes alive again.
func TestRefute(t *testing.T) {
	l := newMemberList(t)
	self, sender := l.Self(), member(3, 1, Alive)
	dead := self
	dead.State = Dead
	l.Receive(sender.Address, Packet{Kind: Ping, Fleet: "f", From: sender, Members: []Member{dead}}, start)
	qt.Assert(t, l.Self().Incarnation, qt.Equals, self.Incarnation+1)
	l.Receive(sender.Address, Packet{Kind: Ping, Fleet: "f", From: sender, Members: []Member{dead}}, start)
	qt.Assert(t, l.Self().Incarnation, qt.Equals, self.Incarnation+1)
	left := l.Leave(start)
	qt.Assert(t, left, qt.HasLen, 1)
	qt.Assert(t, left[0].From.State, qt.Equals, Left)
	dead.Incarnation += 5
	l.Receive(sender.Address, Packet{Kind: Ping, Fleet: "f", From: sender, Members: []Member{dead}}, start)
	qt.Assert(t, l.Self().State, qt.Equals, Left)
}

// TestMemberList guards against packets over the size limit, and against lists and a digest that disagree with
// the records, under arbitrary traffic.
func TestMemberList(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l, now := newMemberList(r), start
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(r, "ms")) * time.Millisecond)
			out := append(l.Receive(member(2, 1, Alive).Address, drawPacket(r), now), l.Tick(now)...)
			for _, p := range out {
				if p.Size() > MaxPacketBytes || p.Validate() != nil || p.To == l.self.Address {
					r.Fatalf("%d bytes, %v: %+v", p.Size(), p.Validate(), p)
				}
			}
			checkLists(r, l)
		}
	})
}

func drawPacket(r *rapid.T) Packet {
	draw := func() Member {
		s := rapid.SampledFrom([]State{Alive, Suspect, Dead, Left}).Draw(r, "state")
		return member(rapid.IntRange(1, 60).Draw(r, "member"), rapid.Uint64Range(1, 4).Draw(r, "incarnation"), s)
	}
	p := Packet{Kind: rapid.SampledFrom([]PacketKind{Ping, Ack, PingRequest, Nack, Gossip, Sync, SyncReply, SyncEntries}).Draw(r, "kind"), Fleet: "f"}
	p.From = draw()
	p.From.State = Alive
	p.Target = draw().Address
	p.Sequence = rapid.Uint64Range(0, 20).Draw(r, "sequence")
	if p.Kind == Sync || p.Kind == SyncReply {
		p.Digest = make([]uint32, DigestBuckets)
	}
	for range rapid.IntRange(0, 20).Draw(r, "members") {
		p.Members = append(p.Members, draw())
	}
	until := start.Add(time.Duration(rapid.IntRange(1, 60).Draw(r, "until")) * time.Second)
	p.Items = []Item{Quarantine{Fingerprint: rapid.Uint64Range(1, 5).Draw(r, "fingerprint"), Until: until}}
	return p
}

func checkLists(r *rapid.T, l *MemberList) {
	var digest [DigestBuckets]uint32
	add := func(hash, sum uint64) { digest[bucket(hash)] ^= uint32(sum) }
	add(l.hash, l.self.sum(l.hash))
	suspects := 0
	for _, m := range l.members {
		list := l.deadOrLeft
		if m.State.Live() {
			list = l.live
			add(m.hash, m.sum(m.hash))
		}
		if list[m.index] != m {
			r.Fatalf("%+v is not at its index", m)
		}
		if m.State == Suspect {
			suspects++
		}
	}
	for key, i := range l.items {
		add(hashKey(key), mixBits(hashKey(key)^i.sum()))
	}
	if suspects != len(l.suspects) || len(l.live)+len(l.deadOrLeft) != len(l.members) || digest != l.digest {
		r.Fatalf("lists or digest do not match the records")
	}
}
