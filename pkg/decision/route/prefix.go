package route

import "sync/atomic"

// prefixSlots bounds the prefixes known for a group (16 KiB of pointers). A new prefix replaces the prefix that occupies
// its slot, since cache contents are only a hint.
const prefixSlots = 2048

// holder names the target whose cache holds a prompt prefix.
type holder struct {
	hash uint64
	name string
}

// prefixes maps prompt prefixes to the target of a group that last reported them.
type prefixes struct {
	slots [prefixSlots]atomic.Pointer[holder]
}

func (p *prefixes) add(hash uint64, name string) {
	p.slots[hash%prefixSlots].Store(&holder{hash: hash, name: name})
}

// remove removes a prefix, unless its slot holds another prefix or another target by now.
func (p *prefixes) remove(hash uint64, name string) {
	slot := &p.slots[hash%prefixSlots]
	known := slot.Load()
	if known != nil && known.hash == hash && known.name == name {
		slot.CompareAndSwap(known, nil)
	}
}

// find returns the name of the target that holds the prefix, empty if none is known.
func (p *prefixes) find(hash uint64) string {
	known := p.slots[hash%prefixSlots].Load()
	if known == nil || known.hash != hash {
		return ""
	}
	return known.name
}
