// Package bytebudget decides how many bytes of request bodies an instance holds, and whose body gives way when there is no room.
//
// It answers the load of many clients at once that each send a body within the limits and stop just short of its end. One budget
// covers all bodies of an instance. When it is used up, the incomplete body with the most byte-seconds gives way: the bytes that it
// holds, times the time since it began. A client that sends a byte now and then does not escape that, and a fast upload is not hit.
//
// A Budget is safe for concurrent use.
//
// Usage:
//
//	budget := bytebudget.New(20 << 20)
//	hold := budget.Begin(now, func() { ... }) // The function ends the reading of the body.
//	defer hold.Release()
//	if !hold.Grow(4096, now) { ... } // There is no room: the request is refused.
//	if !hold.Complete() { ... }      // The body had to give way meanwhile.
package bytebudget

import (
	"sync"
	"time"
)

const (
	// smallBody is the size in bytes up to which a body may use the reserve.
	smallBody = 64 << 10
	// reserveFraction is the fraction of the budget that only small bodies may use.
	reserveFraction = 0.125
)

// Budget bounds the bytes of all bodies.
type Budget struct {
	limit, reserve int64

	mu         sync.Mutex
	used       int64
	incomplete map[*Hold]struct{} // incomplete holds the bodies that are still being read.
	evicted    int64              // evicted counts the bodies that gave way.
	denied     int64              // denied counts the bodies for which there was no room.
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, reserve: int64(reserveFraction * float64(limit)), incomplete: make(map[*Hold]struct{})}
}

// Hold is what one body holds.
type Hold struct {
	budget  *Budget
	evict   func()
	began   time.Time
	bytes   int64
	evicted bool
}

// Begin registers a body that begins to be read. The function evict is called at most once, if the body has to give way, and must
// not block.
func (b *Budget) Begin(now time.Time, evict func()) *Hold {
	h := &Hold{budget: b, evict: evict, began: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incomplete[h] = struct{}{}
	return h
}

// Grow takes n more bytes and reports whether there is room. Other bodies may have to give way for them.
func (h *Hold) Grow(n int64, now time.Time) bool {
	granted, victims := h.budget.grow(h, n, now)
	for _, v := range victims {
		v.evict()
	}
	return granted
}

func (b *Budget) grow(h *Hold, n int64, now time.Time) (granted bool, victims []*Hold) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limit
	if h.bytes+n > smallBody {
		limit -= b.reserve
	}
	for !h.evicted && b.used+n > limit {
		victim := b.worst(now)
		if victim == nil || victim == h {
			b.denied++
			return false, victims
		}
		b.remove(victim)
		victims = append(victims, victim)
	}
	if h.evicted {
		return false, victims
	}
	b.used += n
	h.bytes += n
	return true, victims
}

// worst returns the incomplete body with the most byte-seconds, or nil if none holds bytes. The lock must be held.
func (b *Budget) worst(now time.Time) *Hold {
	var worst *Hold
	most := 0.0
	for h := range b.incomplete {
		if held := float64(h.bytes) * max(now.Sub(h.began), time.Microsecond).Seconds(); held > most {
			worst, most = h, held
		}
	}
	return worst
}

// remove makes a body give way. Its bytes count as free at once, since its reader ends now. The lock must be held.
func (b *Budget) remove(h *Hold) {
	h.evicted = true
	b.evicted++
	b.used -= h.bytes
	h.bytes = 0
	delete(b.incomplete, h)
}

// EvictWorst makes the incomplete body with the most byte-seconds give way, and reports whether there was one.
func (b *Budget) EvictWorst(now time.Time) bool {
	b.mu.Lock()
	victim := b.worst(now)
	if victim != nil {
		b.remove(victim)
	}
	b.mu.Unlock()
	if victim == nil {
		return false
	}
	victim.evict()
	return true
}

// Shrink gives n bytes back.
func (h *Hold) Shrink(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	n = min(n, h.bytes)
	h.bytes -= n
	h.budget.used -= n
}

// Complete records that the body was read as a whole. It reports whether the request may go on; from then on the body does not have
// to give way.
func (h *Hold) Complete() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.incomplete, h)
	return !h.evicted
}

// Release gives all bytes back. Further calls have no effect.
func (h *Hold) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.incomplete, h)
	h.budget.used -= h.bytes
	h.bytes = 0
}

// Usage says how a budget is used.
type Usage struct {
	Limit      int64 // Limit is the number of bytes that may be held.
	Used       int64 // Used is the number of bytes that are held.
	Incomplete int   // Incomplete is the number of bodies that are being read.
	Evicted    int64 // Evicted counts the bodies that had to give way.
	Denied     int64 // Denied counts the bodies for which there was no room.
}

// Usage returns how the budget is used.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Limit: b.limit, Used: b.used, Incomplete: len(b.incomplete), Evicted: b.evicted, Denied: b.denied}
}
