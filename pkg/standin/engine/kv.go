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

// kvStore holds the KV caches of a limited number of generations and evicts the least recently used one.
type kvStore struct {
	limit   int
	recency *list.List
	entries map[kvKey]*list.Element
}

func newKvStore(limit int) *kvStore {
	return &kvStore{limit: limit, recency: list.New(), entries: map[kvKey]*list.Element{}}
}

func keyOf(step *enginepb.Step) kvKey {
	return kvKey{request: step.Request, generation: step.Generation}
}

// entry returns the cache of a generation, and creates a missing one if create is set. It returns nil
// if the generation has no cache for exactly these layers.
func (s *kvStore) entry(key kvKey, layers layer.Range, create bool) *kvEntry {
	if element, ok := s.entries[key]; ok {
		s.recency.MoveToFront(element)
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
	s.put(entry)
	return entry
}

func (s *kvStore) put(entry *kvEntry) {
	s.remove(entry.key)
	s.entries[entry.key] = s.recency.PushFront(entry)
	for s.recency.Len() > s.limit {
		s.remove(s.recency.Back().Value.(*kvEntry).key)
	}
}

func (s *kvStore) remove(key kvKey) {
	if element, ok := s.entries[key]; ok {
		s.recency.Remove(element)
		delete(s.entries, key)
	}
}

func (s *kvStore) export(key kvKey) *enginepb.KvCache {
	element, ok := s.entries[key]
	if !ok {
		return nil
	}
	entry := element.Value.(*kvEntry)
	return &enginepb.KvCache{
		Request: key.request, Generation: key.generation,
		FirstLayer: uint32(entry.layers.First), EndLayer: uint32(entry.layers.End),
		Positions: uint32(entry.positions), Data: encodeUint64s(entry.states),
	}
}

// importCache adds an exported cache and reports whether its data fits its layers.
func (s *kvStore) importCache(c *enginepb.KvCache) bool {
	states, ok := decodeUint64s(c.Data)
	layers := layer.Range{First: int(c.FirstLayer), End: int(c.EndLayer)}
	if !ok || !layers.Valid() || len(states) != layers.Len() {
		return false
	}
	key := kvKey{request: c.Request, generation: c.Generation}
	s.put(&kvEntry{key: key, layers: layers, positions: int(c.Positions), states: states})
	return true
}
