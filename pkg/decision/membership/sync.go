package membership

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Members compare digests of their entries, which are member records and items. Each entry belongs to a bucket
// by the hash of its key. A digest has one value per bucket: the XOR of the hashes of all live members and items
// in the bucket. Suspicions and tombstones are not included, since they differ between members for a while by
// design.

func hashAddress(a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary() // It never returns an error.
	return xxhash.Sum64(b)
}

func hashKey(k updateKey) uint64 {
	return xxhash.Sum64String(string(k.kind) + "/" + k.key)
}

// mixBits spreads the bits of a value, so that sums of similar entries do not cancel out.
func mixBits(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

// sum returns the member's contribution to the digest.
func (m Member) sum(hash uint64) uint64 {
	return mixBits(hash ^ m.Incarnation)
}

func bucket(hash uint64) int {
	return int(hash % DigestBuckets)
}

// toggleDigest adds a contribution to the digest, or removes one that was added before.
func (l *MemberList) toggleDigest(hash, sum uint64) {
	l.digest[bucket(hash)] ^= uint32(sum)
}

// tickSync starts a comparison of digests with a random member when it is due; see syncInterval.
func (l *MemberList) tickSync() {
	if len(l.live) == 0 || l.now.Before(l.nextSync) {
		return
	}
	l.syncDelay = min(max(2*l.syncDelay, syncMinInterval), syncInterval)
	l.nextSync = l.now.Add(l.syncDelay)
	l.sendDigest(Sync, l.live[l.rand.IntN(len(l.live))].Address)
}

func (l *MemberList) sendDigest(kind PacketKind, to netip.AddrPort) {
	p := l.newHeader(kind, to)
	p.Digest = slices.Clone(l.digest[:])
	l.send(p)
}

// respondToDigest sends the entries of differing buckets. In response to Sync it also sends the digest of this
// member, so that the other member sends the entries that are missing here.
func (l *MemberList) respondToDigest(p Packet) {
	var differ [DigestBuckets]bool
	count := 0
	for b, v := range p.Digest {
		if v != l.digest[b] {
			differ[b] = true
			count++
		}
	}
	if count == 0 {
		return
	}
	if p.Kind == SyncReply && count > syncResetBuckets {
		l.syncDelay = 0
		l.nextSync = l.now.Add(syncMinInterval)
	}
	l.sendEntries(p.From.Address, &differ)
	if p.Kind == Sync {
		l.sendDigest(SyncReply, p.From.Address)
	}
}

// sendEntries sends the entries of the given buckets in random order, as many as syncMaxPackets and the budget allow.
func (l *MemberList) sendEntries(to netip.AddrPort, buckets *[DigestBuckets]bool) {
	keys := l.entryKeys(buckets)
	l.rand.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	for n := 0; n < syncMaxPackets && len(keys) > 0 && l.syncBudget.allow(l.now, MaxPacketBytes); n++ {
		p := l.newHeader(SyncEntries, to)
		size := p.Size()
		for len(keys) > 0 {
			entry := l.appendEntry(&p, keys[0], MaxPacketBytes-size)
			if size+entry > MaxPacketBytes {
				break
			}
			size += entry
			keys = keys[1:]
		}
		l.syncBudget.spend(size)
		l.send(p)
	}
}

// entryKeys returns the keys of all entries in the given buckets except this member's own record, which is in the
// header. Tombstones are included, so that the receiver does not keep dead and departed members as live.
func (l *MemberList) entryKeys(buckets *[DigestBuckets]bool) []updateKey {
	var keys []updateKey
	for _, r := range l.live {
		if buckets[bucket(r.hash)] {
			keys = append(keys, updateKey{address: r.Address})
		}
	}
	for _, r := range l.deadOrLeft {
		if buckets[bucket(r.hash)] {
			keys = append(keys, updateKey{address: r.Address})
		}
	}
	for _, k := range l.sortedItems() {
		if buckets[bucket(hashKey(k))] {
			keys = append(keys, k)
		}
	}
	return keys
}
