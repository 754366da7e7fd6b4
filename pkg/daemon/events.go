package daemon

import (
	"google.golang.org/protobuf/proto"

	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

const (
	// maxPrefixes limits the prefixes kept for one engine. An engine's own cache is limited as well, and
	// the picker keeps 2,048 for all engines with the same layer range.
	maxPrefixes = 512
	// eventRate is the bandwidth of cache events in bytes/s, out of 4 KB/s of control traffic for an
	// instance. It allows about 50 events/s. If engines publish more, events are read later and some
	// are missed.
	eventRate = 1024
	// eventBurst allows for a full response of 1,024 events, so that a new instance learns the cached
	// prefixes quickly.
	eventBurst = 32 << 10
)

// eventBudget is the number of bytes that responses with cache events may still use. The size of a
// response is not known in advance, so the budget may become negative.
type eventBudget float64

// refill adds the budget of one report poll, and reports whether events may be requested.
func (b *eventBudget) refill() bool {
	*b = min(eventBurst, *b+eventRate/reportsPerSecond)
	return *b > 0
}

// cacheView is the known state of the prompt prefixes in one engine's cache.
type cacheView struct {
	lastSequence uint64   // lastSequence is the sequence number of the newest event seen.
	prefixes     []uint64 // prefixes holds the prefix hashes, oldest first.
}

// observeEvents passes cache events to the picker. Events arrive late and some are missed. A missed
// event may have removed any prefix, so all prefixes of the engine are dropped after a gap. A response to
// an earlier poll, which asked for events after another sequence number, is ignored.
func (c *control) observeEvents(name string, view *engineView, p poll) {
	if p.events == nil {
		return
	}
	c.eventBytes -= eventBudget(proto.Size(p.events))
	if p.since != view.cache.lastSequence {
		return
	}
	if first := p.events.GetFirstSequence(); first > view.cache.lastSequence+1 && len(p.events.GetEvents()) > 0 {
		c.dropPrefixes(name, view)
		view.cache.lastSequence = first - 1
	}
	for _, e := range p.events.GetEvents() {
		if e.GetSequence() <= view.cache.lastSequence {
			continue
		}
		if e.GetSequence() != view.cache.lastSequence+1 {
			c.dropPrefixes(name, view)
		}
		view.cache.lastSequence = e.GetSequence()
		c.d.counters.eventsSeen.Inc(1)
		c.updatePrefix(name, view, e)
	}
}

// updatePrefix passes one cache event to the picker, and drops the engine's oldest prefix beyond maxPrefixes.
func (c *control) updatePrefix(name string, view *engineView, e *enginepb.CacheEvent) {
	c.d.picker.UpdatePrefix(name, e.GetPrefixHash(), !e.GetRemoved())
	if e.GetRemoved() {
		return
	}
	view.cache.prefixes = append(view.cache.prefixes, e.GetPrefixHash())
	if len(view.cache.prefixes) > maxPrefixes {
		c.d.picker.UpdatePrefix(name, view.cache.prefixes[0], false)
		view.cache.prefixes = view.cache.prefixes[1:]
	}
}

// dropPrefixes counts a gap in the engine's events and drops the engine's known prefixes. Events that are
// missing before the first response are not a gap.
func (c *control) dropPrefixes(name string, view *engineView) {
	if view.cache.lastSequence == 0 && len(view.cache.prefixes) == 0 {
		return
	}
	c.d.counters.eventGaps.Inc(1)
	for _, hash := range view.cache.prefixes {
		c.d.picker.UpdatePrefix(name, hash, false)
	}
	view.cache.prefixes = nil
}

// resetPrefixes resets the view of an engine that does not respond or whose layers have changed. The
// engine may have restarted, and numbers its events from 1 again in that case.
func (c *control) resetPrefixes(name string, view *engineView) {
	for _, hash := range view.cache.prefixes {
		c.d.picker.UpdatePrefix(name, hash, false)
	}
	view.cache = cacheView{}
}
