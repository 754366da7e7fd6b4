package membership

import "net/netip"

// Publish sets an item of this instance, or one that an operator or a finding of this instance sets
// for all. Versions below the present one are ignored. An item that does not win over the one in
// force is ignored too.
func (t *Table) Publish(item Item) error {
	if err := item.Check(); err != nil {
		return err
	}
	switch i := item.(type) {
	case Version:
		if i.Wins(t.version) {
			t.version = i
			t.pushes = fanout
		}
	case LoadShare:
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

// keepable reports whether an item has yet to expire, and does within the accepted time.
func (t *Table) keepable(i Item) bool {
	if i.Expired(t.now) || !i.Expired(t.now.Add(2*MaxItemLife)) {
		return false
	}
	_, known := t.items[itemKey(i)]
	return known || len(t.items) < MaxItems
}

// mergeItem takes over an item if it wins over the one that is known.
func (t *Table) mergeItem(i Item, from netip.AddrPort) {
	if !t.keepable(i) {
		return
	}
	k := itemKey(i)
	if old, ok := t.items[k]; ok {
		if !i.Wins(old) {
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

func (t *Table) removeItem(k newsKey, i Item) {
	h := hashKey(k)
	t.toggle(h, mix(h^i.sum()))
	delete(t.items, k)
}

func itemKey(i Item) newsKey {
	return newsKey{kind: i.Kind(), key: i.Key()}
}
