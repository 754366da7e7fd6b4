package engine

import (
	"container/list"
	"time"
	"unicode"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

const (
	// prefixBlock is the number of positions between the block boundaries at which prefixes are cached.
	prefixBlock = 16
	// maxEvents is the number of events that are kept for clients that fetch them late.
	maxEvents = 1024
)

// prefix is the start of a prompt, up to a block boundary, a line end or the prompt's end.
type prefix struct {
	hash      uint64
	bytes     int
	positions int
}

// prefixCache holds a limited number of prefixes. It only shortens the time of a prefill. The layers
// of cached positions still run, so that executions stay complete.
type prefixCache struct {
	limit        int
	lag          time.Duration
	lossInterval uint64
	recency      *list.List
	entries      map[uint64]*list.Element
	events       []timedEvent
	sequence     uint64
}

type timedEvent struct {
	at    time.Time
	event *enginepb.CacheEvent
}

func newPrefixCache(o options) *prefixCache {
	return &prefixCache{
		limit: o.maxPrefixes, lag: o.eventLag, lossInterval: o.eventLossInterval,
		recency: list.New(), entries: map[uint64]*list.Element{},
	}
}

// stepPrefixes returns the prefixes of a prefill, shortest first. On later stages it hashes the
// activations, which the prompt determines.
func stepPrefixes(step *enginepb.Step) []prefix {
	if step.Position != 0 {
		return nil
	}
	if step.FirstLayer > 0 {
		return activationPrefixes(step.Activations)
	}
	return promptPrefixes(step.Prompt)
}

// promptPrefixes returns the prefixes that end after each block of words, at each line end, where chat
// templates end a message, and at the prompt's end.
func promptPrefixes(prompt string) []prefix {
	var found []prefix
	words, inWord := 0, false
	add := func(end int) { found = append(found, prefix{xxhash.Sum64String(prompt[:end]), end, words}) }
	for i, r := range prompt {
		space := unicode.IsSpace(r)
		if inWord && space && words%prefixBlock == 0 && r != '\n' {
			add(i)
		}
		if !inWord && !space {
			words++
		}
		inWord = !space
		if r == '\n' && words > 0 {
			add(i + 1)
		}
	}
	if words > 0 && (len(found) == 0 || found[len(found)-1].bytes < len(prompt)) {
		add(len(prompt))
	}
	return found
}

func activationPrefixes(activations []byte) []prefix {
	var found []prefix
	const block = prefixBlock * activationBytes
	for end := block; end <= len(activations); end += block {
		found = append(found, prefix{xxhash.Sum64(activations[:end]), 0, end / activationBytes})
	}
	return found
}

// lookup returns the number of positions of a prefill that are cached.
func (c *prefixCache) lookup(step *enginepb.Step) int {
	cached := 0
	for _, p := range stepPrefixes(step) {
		element, ok := c.entries[p.hash]
		if !ok {
			break
		}
		c.recency.MoveToFront(element)
		cached = p.positions
	}
	return cached
}

func (c *prefixCache) store(step *enginepb.Step) {
	for _, p := range stepPrefixes(step) {
		if element, ok := c.entries[p.hash]; ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.entries[p.hash] = c.recency.PushFront(p)
		c.publish(p, false)
	}
	for c.recency.Len() > c.limit {
		last := c.recency.Remove(c.recency.Back()).(prefix)
		delete(c.entries, last.hash)
		c.publish(last, true)
	}
}

// publish adds an event, or only increments the sequence number if the event is to be lost. Prefixes
// of activations have no events.
func (c *prefixCache) publish(p prefix, removed bool) {
	if p.bytes == 0 {
		return
	}
	c.sequence++
	if c.lossInterval > 0 && c.sequence%c.lossInterval == 0 {
		return
	}
	c.events = append(c.events, timedEvent{time.Now(), &enginepb.CacheEvent{
		Sequence: c.sequence, PrefixHash: p.hash, PrefixBytes: uint32(p.bytes), Removed: removed,
	}})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsSince returns the events after a sequence number that are at least as old as the event lag.
func (c *prefixCache) eventsSince(sequence uint64, now time.Time) *enginepb.CacheEvents {
	found := &enginepb.CacheEvents{FirstSequence: c.sequence + 1}
	if len(c.events) > 0 {
		found.FirstSequence = c.events[0].event.Sequence
	}
	for _, e := range c.events {
		if e.event.Sequence > sequence && now.Sub(e.at) >= c.lag {
			found.Events = append(found.Events, e.event)
		}
	}
	return found
}
