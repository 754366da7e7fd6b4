package engine

import (
	"container/list"
	"time"
	"unicode"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

const (
	// prefixBlock is the number of positions between cached prefix lengths.
	prefixBlock = 16
	// eventsKept is the number of events that a late reader still gets.
	eventsKept = 1024
)

// prefix is the start of a prompt, up to a block boundary or the prompt's end.
type prefix struct {
	hash      uint64
	bytes     int
	positions int
}

// prefixCache holds a limited number of prefixes. It only shortens the time of a prefill: the
// layers run all the same, so that executions stay complete.
type prefixCache struct {
	limit    int
	lag      time.Duration
	gap      uint64
	order    *list.List
	held     map[uint64]*list.Element
	events   []timedEvent
	sequence uint64
}

type timedEvent struct {
	at    time.Time
	event *enginepb.CacheEvent
}

func newPrefixCache(o options) *prefixCache {
	return &prefixCache{limit: o.prefixes, lag: o.eventLag, gap: o.eventGap, order: list.New(), held: map[uint64]*list.Element{}}
}

// prefixesOf returns the prefixes of a prefill, shortest first. On later stages it hashes the
// activations, which the prompt determines.
func prefixesOf(step *enginepb.Step) []prefix {
	if step.Position != 0 {
		return nil
	}
	if step.FirstLayer > 0 {
		return activationPrefixes(step.Activations)
	}
	return promptPrefixes(step.Prompt)
}

// promptPrefixes ends prefixes after every block of words, at each line's end, where chat
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
	for _, p := range prefixesOf(step) {
		element, ok := c.held[p.hash]
		if !ok {
			break
		}
		c.order.MoveToFront(element)
		cached = p.positions
	}
	return cached
}

func (c *prefixCache) store(step *enginepb.Step) {
	for _, p := range prefixesOf(step) {
		if element, ok := c.held[p.hash]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.held[p.hash] = c.order.PushFront(p)
		c.publish(p, false)
	}
	for c.order.Len() > c.limit {
		last := c.order.Remove(c.order.Back()).(prefix)
		delete(c.held, last.hash)
		c.publish(last, true)
	}
}

// publish adds an event, or only its sequence number where the event is one of those that get lost.
// Prefixes of activations have no event.
func (c *prefixCache) publish(p prefix, removed bool) {
	if p.bytes == 0 {
		return
	}
	c.sequence++
	if c.gap > 0 && c.sequence%c.gap == 0 {
		return
	}
	c.events = append(c.events, timedEvent{time.Now(), &enginepb.CacheEvent{
		Sequence: c.sequence, PrefixHash: p.hash, PrefixBytes: uint32(p.bytes), Removed: removed,
	}})
	if len(c.events) > eventsKept {
		c.events = c.events[len(c.events)-eventsKept:]
	}
}

// since returns the events after a sequence number that are old enough to show.
func (c *prefixCache) since(sequence uint64, now time.Time) *enginepb.CacheEvents {
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
