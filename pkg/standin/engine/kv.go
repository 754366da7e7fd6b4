package engine

import (
	"container/list"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

type kvKey struct {
	request    string
	generation uint32
}

type kvEntry struct {
	key       kvKey
	layers    layer.Range
	positions int
	states    []uint64 // states holds the last output of each layer.
}

// kvMemory keeps the KV caches of a limited number of generations and evicts the least recently used.
type kvMemory struct {
	limit   int
	order   *list.List
	entries map[kvKey]*list.Element
}

func newKvMemory(limit int) *kvMemory {
	return &kvMemory{limit: limit, order: list.New(), entries: map[kvKey]*list.Element{}}
}

func keyOf(step *enginepb.Step) kvKey {
	return kvKey{request: step.Request, generation: step.Generation}
}

// entry returns the cache of a generation, which it makes where create is set. It returns nil
// where there is none for exactly these layers.
func (m *kvMemory) entry(key kvKey, layers layer.Range, create bool) *kvEntry {
	if element, ok := m.entries[key]; ok {
		m.order.MoveToFront(element)
		entry := element.Value.(*kvEntry)
		if entry.layers != layers {
			return nil
		}
		return entry
	}
	if !create {
		return nil
	}
	entry := &kvEntry{key: key, layers: layers, states: make([]uint64, layers.Len())}
	m.put(entry)
	return entry
}

func (m *kvMemory) put(entry *kvEntry) {
	m.remove(entry.key)
	m.entries[entry.key] = m.order.PushFront(entry)
	for m.order.Len() > m.limit {
		m.remove(m.order.Back().Value.(*kvEntry).key)
	}
}

func (m *kvMemory) remove(key kvKey) {
	if element, ok := m.entries[key]; ok {
		m.order.Remove(element)
		delete(m.entries, key)
	}
}

func (m *kvMemory) export(key kvKey) *enginepb.KvCache {
	element, ok := m.entries[key]
	if !ok {
		return nil
	}
	entry := element.Value.(*kvEntry)
	return &enginepb.KvCache{
		Request: key.request, Generation: key.generation,
		FirstLayer: uint32(entry.layers.First), EndLayer: uint32(entry.layers.End),
		Positions: uint32(entry.positions), Data: encode(entry.states),
	}
}

// restore takes over an exported cache and reports whether its data fits its layers.
func (m *kvMemory) restore(c *enginepb.KvCache) bool {
	states, ok := decode(c.Data)
	layers := layer.Range{First: int(c.FirstLayer), End: int(c.EndLayer)}
	if !ok || !layers.Valid() || len(states) != layers.Len() {
		return false
	}
	key := kvKey{request: c.Request, generation: c.Generation}
	m.put(&kvEntry{key: key, layers: layers, positions: int(c.Positions), states: states})
	return true
}
