package membership

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A digest has one value per bucket: the XOR of a hash of every live member and every item in it.
// Suspicions and tombstones do not count, since they differ for a while by design.

func hashAddress(a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary() // It never returns an error.
	return xxhash.Sum64(b)
}

func hashKey(k newsKey) uint64 {
	return xxhash.Sum64String(string(k.kind) + "/" + k.key)
}

// mix spreads the bits of a value, so that sums of similar entries do not cancel out.
func mix(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

// sum is the member's contribution to the digest.
func (m Member) sum(hash uint64) uint64 {
	return mix(hash ^ m.Incarnation)
}

func bucket(hash uint64) int {
	return int(hash % DigestBuckets)
}

// toggle adds a contribution to the digest or takes it out.
func (t *MemberList) toggle(hash, sum uint64) {
	t.digest[bucket(hash)] ^= uint32(sum)
}

// tickSync starts a comparison of digests with a random member, often at first and after a comparison
// that differed much.
func (t *MemberList) tickSync() {
	if len(t.live) == 0 || t.now.Before(t.nextSync) {
		return
	}
	t.syncWait = min(max(2*t.syncWait, syncCatchUp), syncInterval)
	t.nextSync = t.now.Add(t.syncWait)
	t.sendDigest(Sync, t.live[t.rand.IntN(len(t.live))].Address)
}

func (t *MemberList) sendDigest(kind PacketKind, to netip.AddrPort) {
	p := t.bare(kind, to)
	p.Digest = slices.Clone(t.digest[:])
	t.send(p)
}

// answerDigest sends the entries of differing buckets, and in answer to Sync its own digest, so that
// the other side sends what is missing here.
func (t *MemberList) answerDigest(p Packet) {
	var differ [DigestBuckets]bool
	count := 0
	for b, v := range p.Digest {
		if v != t.digest[b] {
			differ[b] = true
			count++
		}
	}
	if count == 0 {
		return
	}
	if p.Kind == SyncReply && count > syncManyBuckets {
		t.syncWait = 0
		t.nextSync = t.now.Add(syncCatchUp)
	}
	t.sendEntries(p.From.Address, &differ)
	if p.Kind == Sync {
		t.sendDigest(SyncReply, p.From.Address)
	}
}

// sendEntries sends the entries of the given buckets in random order, as many as the budget allows.
func (t *MemberList) sendEntries(to netip.AddrPort, wanted *[DigestBuckets]bool) {
	keys := t.entries(wanted)
	t.rand.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	for n := 0; n < syncPackets && len(keys) > 0 && t.syncBudget.allow(t.now, MaxPacketBytes); n++ {
		p := t.bare(SyncEntries, to)
		size := p.Size()
		for len(keys) > 0 {
			entry := t.addEntry(&p, keys[0], MaxPacketBytes-size)
			if size+entry > MaxPacketBytes {
				break
			}
			size += entry
			keys = keys[1:]
		}
		t.syncBudget.spend(size)
		t.send(p)
	}
}

// entries returns the keys of all entries in the given buckets but the own record, which the header
// carries. Tombstones are among them, so that the receiver does not keep what is gone.
func (t *MemberList) entries(wanted *[DigestBuckets]bool) []newsKey {
	var keys []newsKey
	for _, r := range t.live {
		if wanted[bucket(r.hash)] {
			keys = append(keys, newsKey{address: r.Address})
		}
	}
	for _, r := range t.gone {
		if wanted[bucket(r.hash)] {
			keys = append(keys, newsKey{address: r.Address})
		}
	}
	for _, k := range t.sortedItems() {
		if wanted[bucket(hashKey(k))] {
			keys = append(keys, k)
		}
	}
	return keys
}
