package membership

import (
	"net/netip"
	"time"
)

const (
	// broadcastRate is the mean number of broadcasts per second. It keeps broadcasts within the bytes per second
	// that the traffic between instances may use in a fleet of 18 instances, where a broadcast is 17 packets of
	// 2 KB in total.
	broadcastRate = 1
	// broadcastBurst allows a broadcast of the suspects of a crash to be followed by one of the verdict on them.
	broadcastBurst = 4
)

// Publish sets the configuration version or load report of this instance, or gossips a drain or quarantine to
// all members. A version, drain or quarantine that does not supersede the current one with the same key is
// ignored.
func (l *MemberList) Publish(item Item) error {
	if err := item.Validate(); err != nil {
		return err
	}
	switch i := item.(type) {
	case ConfigVersion:
		if i.Supersedes(l.version) {
			l.version = i
			l.pendingGossip = fanout
		}
	case LoadReport:
		l.load = i
		l.load.Origin = l.self.Address
	default:
		if !l.acceptable(i) {
			return Malformed.New("the %s item is expired, lasts too long, or %d items are already kept", i.Kind(), MaxItems)
		}
		l.mergeItem(i, l.self.Address)
	}
	return nil
}

// Broadcast publishes items and returns packets that send them directly to every live member, for updates that
// must arrive before a client can reach another instance. The items are gossiped as well, since packets may be
// lost. Broadcasts over broadcastRate return no packets, so that the items are only gossiped. With 2,700
// members, one broadcast takes about 300 KB.
func (l *MemberList) Broadcast(items []Item, now time.Time) ([]Packet, error) {
	l.now = now
	for _, i := range items {
		if err := l.Publish(i); err != nil {
			return nil, err
		}
	}
	if !l.broadcasts.allow(now, 1) {
		return nil, nil
	}
	l.broadcasts.spend(1)
	for _, r := range l.live {
		p := l.newHeader(Gossip, r.Address)
		for _, i := range items {
			if p.Size()+i.Size() <= MaxPacketBytes {
				p.Items = append(p.Items, i)
			}
		}
		l.send(p)
	}
	return l.takePackets(), nil
}

// acceptable reports whether an item has not expired, expires within 2*MaxItemTTL and fits within MaxItems.
func (l *MemberList) acceptable(i Item) bool {
	if i.Expired(l.now) || !i.Expired(l.now.Add(2*MaxItemTTL)) {
		return false
	}
	_, known := l.items[itemKey(i)]
	return known || len(l.items) < MaxItems
}

// mergeItem stores and gossips an item if it supersedes the known one.
func (l *MemberList) mergeItem(i Item, from netip.AddrPort) {
	if !l.acceptable(i) {
		return
	}
	k := itemKey(i)
	if old, ok := l.items[k]; ok {
		if !i.Supersedes(old) {
			return
		}
		l.removeItem(k, old)
	}
	l.items[k] = i
	h := hashKey(k)
	l.toggleDigest(h, mixBits(h^i.sum()))
	l.enqueueUpdate(k)
	l.events = append(l.events, Event{Item: i, From: from})
}

func (l *MemberList) removeItem(k updateKey, i Item) {
	h := hashKey(k)
	l.toggleDigest(h, mixBits(h^i.sum()))
	delete(l.items, k)
}

func itemKey(i Item) updateKey {
	return updateKey{kind: i.Kind(), key: i.Key()}
}
