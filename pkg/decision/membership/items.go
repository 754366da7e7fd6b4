package membership

import (
	"net/netip"
	"time"
)

const (
	// broadcastRate keeps the mean of broadcasts within the bytes a second that control may use in a
	// fleet of today, where 17 packets make 2 KB.
	broadcastRate = 1
	// broadcastBurst lets the suspects of a crash and the verdict on them follow each other.
	broadcastBurst = 4
)

// Publish sets an item of this instance, or one that an operator or a finding of this instance sets
// for all. Versions below the present one are ignored. An item that does not win over the one in
// force is ignored too.
func (t *MemberList) Publish(item Item) error {
	if err := item.Validate(); err != nil {
		return err
	}
	switch i := item.(type) {
	case ConfigVersion:
		if i.Supersedes(t.version) {
			t.version = i
			t.pushes = fanout
		}
	case LoadReport:
		t.load = i
		t.load.Origin = t.self.Address
	default:
		if !t.keepable(i) {
			return Malformed.New("the %s item is expired, lasts too long, or %d items are already kept", i.Kind(), MaxItems)
		}
		t.mergeItem(i, t.self.Address)
	}
	return nil
}

// Broadcast publishes items and sends them to every live member at once, for news that must arrive
// before a caller can reach another instance. The items are gossiped as well, since packets get
// lost. In the mean, one broadcast a second is sent; 2,700 members make it about 300 KB.
func (t *MemberList) Broadcast(items []Item, now time.Time) ([]Packet, error) {
	t.now = now
	for _, i := range items {
		if err := t.Publish(i); err != nil {
			return nil, err
		}
	}
	if !t.broadcasts.allow(now, 1) {
		return nil, nil
	}
	t.broadcasts.spend(1)
	for _, r := range t.live {
		p := t.bare(Gossip, r.Address)
		for _, i := range items {
			if p.Size()+i.Size() <= MaxPacketBytes {
				p.Items = append(p.Items, i)
			}
		}
		t.send(p)
	}
	return t.take(), nil
}

// keepable reports whether an item has yet to expire, and does within the accepted time.
func (t *MemberList) keepable(i Item) bool {
	if i.Expired(t.now) || !i.Expired(t.now.Add(2*MaxItemTTL)) {
		return false
	}
	_, known := t.items[itemKey(i)]
	return known || len(t.items) < MaxItems
}

// mergeItem takes over an item if it wins over the one that is known.
func (t *MemberList) mergeItem(i Item, from netip.AddrPort) {
	if !t.keepable(i) {
		return
	}
	k := itemKey(i)
	if old, ok := t.items[k]; ok {
		if !i.Supersedes(old) {
			return
		}
		t.removeItem(k, old)
	}
	t.items[k] = i
	h := hashKey(k)
	t.toggle(h, mix(h^i.sum()))
	t.announce(k)
	t.events = append(t.events, Event{Item: i, From: from})
}

func (t *MemberList) removeItem(k newsKey, i Item) {
	h := hashKey(k)
	t.toggle(h, mix(h^i.sum()))
	delete(t.items, k)
}

func itemKey(i Item) newsKey {
	return newsKey{kind: i.Kind(), key: i.Key()}
}
