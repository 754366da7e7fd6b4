package emulator

import (
	"time"

	"github.com/cuminroute/cuminroute/pkg/target"
)

// workItem is the work of one request that a target has queued: prefill of some tokens, or one decode step.
type workItem struct {
	stream      *Stream
	stage       int
	pathVersion int // pathVersion is the stream's path version when the item was queued.
	prefillLeft int // prefillLeft is the number of tokens still to be prefilled; 0 means a decode step.
}

// obsolete reports whether the stream has ended, changed its path or moved to another stage since the item was queued.
func (w workItem) obsolete() bool {
	return w.stream.ended || w.stream.pathVersion != w.pathVersion || w.stream.stage != w.stage
}

// simTarget is a simulated target.
type simTarget struct {
	emulator *Emulator
	spec     target.Target
	capacity int64 // capacity is the memory for requests, in KV cells (tokens times layers).
	used     int64
	slowdown float64
	dead     bool
	busy     bool
	queue    []workItem
	streams  []*Stream // streams are those that hold memory on the target, the newest last.
}

func newSimTarget(e *Emulator, spec target.Target) *simTarget {
	return &simTarget{emulator: e, spec: spec, capacity: e.engine.KVCells(spec.Accelerator, spec.Layers.Len()), slowdown: 1}
}

// kill stops the target and drops its queue and all allocated memory.
func (t *simTarget) kill() {
	t.dead, t.queue, t.used = true, nil, 0
	for _, s := range t.streams {
		s.dropAllocation(t)
	}
	t.streams = nil
}

// enqueue queues work and starts a pass if the target is idle. A dead target ignores it.
func (t *simTarget) enqueue(w workItem) {
	if t.dead {
		return
	}
	t.queue = append(t.queue, w)
	t.startPass()
}

// startPass starts a forward pass over the queue, unless one is running.
func (t *simTarget) startPass() {
	if t.busy || t.dead || len(t.queue) == 0 {
		return
	}
	t.busy = true
	batch, unfinished, prefillBudget := t.queue, []workItem(nil), t.emulator.prefillChunk
	done := make([]workItem, 0, len(batch))
	duration := t.baseTime()
	for _, w := range batch {
		if w.obsolete() {
			continue
		}
		if w.prefillLeft == 0 {
			duration += t.decodeTime(w)
			done = append(done, w)
			continue
		}
		tokens := min(w.prefillLeft, prefillBudget)
		prefillBudget -= tokens
		duration += t.prefillTime(w, tokens)
		w.prefillLeft -= tokens
		if w.prefillLeft > 0 {
			unfinished = append(unfinished, w)
			continue
		}
		done = append(done, w)
	}
	t.queue = unfinished
	t.emulator.stats.Passes++
	t.emulator.after(time.Duration(float64(duration)*t.slowdown), func() { t.finishPass(done) })
}

// finishPass advances the streams whose work the pass has completed, and starts the next pass.
func (t *simTarget) finishPass(done []workItem) {
	t.busy = false
	if t.dead {
		return
	}
	for _, w := range done {
		if !w.obsolete() {
			w.stream.finishStage(w.stage)
		}
	}
	t.startPass()
}

// baseTime returns the time of a pass before the times that its requests add.
func (t *simTarget) baseTime() time.Duration {
	return time.Duration(t.emulator.tokensPerPass) * t.emulator.engine.StepTime(t.spec.Accelerator, t.spec.Layers)
}

// decodeTime returns the time that a decoding request adds to a pass.
func (t *simTarget) decodeTime(w workItem) time.Duration {
	e := t.emulator.engine
	perToken := float64(e.StepTimePerSequence) + float64(e.StepTimePerKToken)*float64(w.stream.tokens)/1000
	layerRatio := float64(w.stream.path[w.stage].Layers.Len()) / float64(e.Layers)
	return time.Duration(perToken * e.Accelerators[t.spec.Accelerator].StepFactor * layerRatio * float64(t.emulator.tokensPerPass))
}

// prefillTime counts prefilled tokens and returns the time that they add to a pass.
func (t *simTarget) prefillTime(w workItem, tokens int) time.Duration {
	t.emulator.stats.PrefillTokens += tokens
	return t.emulator.engine.PrefillTime(t.spec.Accelerator, w.stream.path[w.stage].Layers, tokens)
}

// allocate reserves memory for a stream. While the memory is overcommitted, it preempts the newest stream, but never the
// only one.
func (t *simTarget) allocate(s *Stream, stage, tokens int) {
	needed := kvCells(s.path[stage], tokens)
	if needed <= 0 {
		return
	}
	if s.allocated[stage] == 0 {
		t.streams = append(t.streams, s)
	}
	s.allocated[stage] += needed
	t.used += needed
	for t.used > t.capacity && len(t.streams) > 1 {
		newest := t.streams[len(t.streams)-1]
		t.emulator.stats.Preempted++
		t.release(newest)
	}
}

// release frees the memory of a stream.
func (t *simTarget) release(s *Stream) {
	t.used -= s.dropAllocation(t)
	for i, other := range t.streams {
		if other == s {
			t.streams = append(t.streams[:i], t.streams[i+1:]...)
			break
		}
	}
}
