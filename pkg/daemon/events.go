package daemon

import (
	"google.golang.org/protobuf/proto"

	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

const (
	// maxPrefixes bounds the prefixes kept of one engine. An engine's own cache is limited as well,
	// and the picker keeps 2,048 for all engines that hold one range.
	maxPrefixes = 512
	// eventRate is what cache events may take of the 4 KB/s of an instance, in bytes/s. It is about 50
	// events/s. Where engines publish more, events are read later and gaps come up.
	eventRate = 1024
	// eventBurst holds a whole answer of 1,024 events, so that a new instance learns quickly.
	eventBurst = 32 << 10
)

// eventBudget is the number of bytes that answers with cache events may take now. An answer's size
// is not known before, so the budget may become negative.
type eventBudget float64

// turn adds what one turn of the report polls earns, and reports whether events may be asked for.
func (b *eventBudget) turn() bool {
	*b = min(eventBurst, *b+eventRate/reportsPerSecond)
	return *b > 0
}

// cacheView is what is known of the prompt prefixes in one engine's cache.
type cacheView struct {
	since uint64   // since is the sequence number of the newest event seen.
	known []uint64 // known holds the hashes, the oldest first.
}

// observeEvents passes cache events to the picker. Events come late and some are lost. After a gap
// it is not known which prefixes were dropped, so all that was known of the engine is.
func (c *control) observeEvents(name string, view *engineView, p poll) {
	if p.events == nil {
		return
	}
	c.eventBytes -= eventBudget(proto.Size(p.events))
	if p.since != view.cache.since {
		return
	}
	if first := p.events.GetFirstSequence(); first > view.cache.since+1 && len(p.events.GetEvents()) > 0 {
		c.gap(name, view)
		view.cache.since = first - 1
	}
	for _, e := range p.events.GetEvents() {
		if e.GetSequence() <= view.cache.since {
			continue
		}
		if e.GetSequence() != view.cache.since+1 {
			c.gap(name, view)
		}
		view.cache.since = e.GetSequence()
		c.d.counters.eventsSeen.Inc(1)
		c.observePrefix(name, view, e)
	}
}

func (c *control) observePrefix(name string, view *engineView, e *enginepb.CacheEvent) {
	c.d.picker.UpdatePrefix(name, e.GetPrefixHash(), !e.GetRemoved())
	if e.GetRemoved() {
		return
	}
	view.cache.known = append(view.cache.known, e.GetPrefixHash())
	if len(view.cache.known) > maxPrefixes {
		c.d.picker.UpdatePrefix(name, view.cache.known[0], false)
		view.cache.known = view.cache.known[1:]
	}
}

// gap drops what is known of the engine's prefixes.
func (c *control) gap(name string, view *engineView) {
	if view.cache.since == 0 && len(view.cache.known) == 0 {
		return
	}
	c.d.counters.eventGaps.Inc(1)
	for _, hash := range view.cache.known {
		c.d.picker.UpdatePrefix(name, hash, false)
	}
	view.cache.known = nil
}

// forgetPrefixes starts anew with an engine that does not answer or holds other layers: it may have
// been restarted, and its events are numbered from 1 then.
func (c *control) forgetPrefixes(name string, view *engineView) {
	for _, hash := range view.cache.known {
		c.d.picker.UpdatePrefix(name, hash, false)
	}
	view.cache = cacheView{}
}
