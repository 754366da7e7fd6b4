package membership

import (
	"net/netip"
	"time"
)

const (
	// broadcastRate keeps the mean rate of broadcasts within the bytes per second that control traffic may use in
	// a fleet of the present size, where 17 packets make 2 KB.
	broadcastRate = 1
	// broadcastBurst lets the suspects of a crash and the verdict on them follow each other.
	broadcastBurst = 4
)

// Publish sets an item of this instance, or one that an operator or a crash finding of this instance sets
// for all instances. Versions below the current one are ignored, and so are items that do not supersede the
// current one.
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

// Broadcast publishes items and sends them to every live member at once, for updates that must arrive
// before a client can reach another instance. The items are gossiped as well, since packets may be
// lost. On average, one broadcast per second is sent; with 2,700 members it takes about 300 KB.
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
	return l.takeOutput(), nil
}

// acceptable reports whether an item has not expired, expires within the accepted time and fits within MaxItems.
func (l *MemberList) acceptable(i Item) bool {
	if i.Expired(l.now) || !i.Expired(l.now.Add(2*MaxItemTTL)) {
		return false
	}
	_, known := l.items[itemKey(i)]
	return known || len(l.items) < MaxItems
}

// mergeItem stores an item if it supersedes the known one.
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
