package emulator

import (
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
)

// TokenCounts is the size of a request.
type TokenCounts struct {
	Prompt, Output int // Prompt and Output are numbers of tokens, each at least 1.
}

// Callbacks are called with the virtual time when a stream sends an event, and when it completes. Either may be nil.
type Callbacks struct {
	Event func(at time.Duration)
	End   func(at time.Duration)
}

// Stream is a running request.
type Stream struct {
	emulator    *Emulator
	size        TokenCounts
	callbacks   Callbacks
	path        path.Path
	allocated   []int64 // allocated holds the KV cells on each stage.
	tokens      int     // tokens counts the prompt and the output so far.
	generated   int
	stage       int // stage is the index of the stage that is working or works next.
	ended       bool
	pathVersion int // pathVersion counts path changes, so that queued work of an older path is dropped.
}

// Open starts a request on a path. It returns an error if a target is dead or lacks the memory for the prompt.
func (e *Emulator) Open(p path.Path, size TokenCounts, callbacks Callbacks) (*Stream, error) {
	s := &Stream{emulator: e, size: size, callbacks: callbacks, path: p, allocated: make([]int64, len(p)), tokens: size.Prompt}
	for _, stage := range p {
		if err := e.checkCapacity(stage, size.Prompt); err != nil {
			return nil, err
		}
	}
	for i := range p {
		e.targets[p[i].Target.Name].allocate(s, i, size.Prompt)
	}
	s.startStage(0)
	return s, nil
}

// Path returns the current path of the stream.
func (s *Stream) Path() path.Path { return s.path }

// Ended reports whether the stream has generated all its tokens or was closed.
func (s *Stream) Ended() bool { return s.ended }

// Tokens returns the number of tokens of the prompt and of the output so far.
func (s *Stream) Tokens() int { return s.tokens }

// ChangePath changes the path of a stream. Stages on both paths keep their KV cells; new stages prefill all tokens so
// far. On an error the stream keeps its path.
func (s *Stream) ChangePath(p path.Path) error {
	e := s.emulator
	allocated := make([]int64, len(p))
	for i, stage := range p {
		if old := stageIndex(s.path, stage); old >= 0 && s.allocated[old] > 0 {
			allocated[i] = s.allocated[old]
		} else if err := e.checkCapacity(stage, s.tokens); err != nil {
			return err
		}
	}
	for i, stage := range s.path {
		if j := stageIndex(p, stage); j < 0 {
			e.targets[stage.Target.Name].release(s)
			s.allocated[i] = 0
		}
	}
	s.path, s.allocated = p, allocated
	s.pathVersion++
	s.startStage(0)
	return nil
}

// stageIndex returns the index in a path of the stage with the same target and layers, or -1.
func stageIndex(p path.Path, stage path.Stage) int {
	for i := range p {
		if p[i].Target.Name == stage.Target.Name && p[i].Layers == stage.Layers {
			return i
		}
	}
	return -1
}

// startStage queues the next work on a stage: a decode step, or the prefill of tokens whose KV cells the stage lacks.
func (s *Stream) startStage(stage int) {
	s.stage = stage
	t := s.target(stage)
	if t.dead {
		return
	}
	w := workItem{stream: s, stage: stage, pathVersion: s.pathVersion}
	switch {
	case s.allocated[stage] == 0: // The stage is new on the path, or its KV cells were preempted.
		t.allocate(s, stage, s.tokens)
		s.emulator.stats.RecomputedTokens += s.tokens
		w.prefillLeft = s.tokens
	case s.generated == 0:
		w.prefillLeft = s.tokens
	default:
		missing := kvCells(s.path[stage], s.tokens) - s.allocated[stage]
		t.allocate(s, stage, int(missing)/s.path[stage].Layers.Len())
	}
	t.enqueue(w)
}

// finishStage continues with the next stage, or after the last one emits an event and starts the next decode step.
func (s *Stream) finishStage(stage int) {
	if stage != s.stage || s.ended {
		return
	}
	if stage < len(s.path)-1 {
		pathVersion, tokens := s.pathVersion, s.emulator.tokensPerPass
		if s.generated == 0 {
			tokens = s.tokens
		}
		s.emulator.transfer(s.path[stage].Target, s.path[stage+1].Target, tokens, func() {
			if pathVersion == s.pathVersion {
				s.startStage(stage + 1)
			}
		})
		return
	}
	n := min(s.emulator.tokensPerPass, s.size.Output-s.generated)
	s.generated += n
	s.tokens += n
	if s.callbacks.Event != nil {
		s.callbacks.Event(s.emulator.now)
	}
	if s.generated < s.size.Output {
		s.startStage(0)
		return
	}
	s.close()
	if s.callbacks.End != nil {
		s.callbacks.End(s.emulator.now)
	}
}

// Close ends a stream before it has completed. The End callback is not called.
func (s *Stream) Close() {
	if !s.ended {
		s.close()
	}
}

func (s *Stream) close() {
	s.ended = true
	s.pathVersion++
	for i := range s.path {
		s.target(i).release(s)
	}
}

func (s *Stream) target(stage int) *simTarget { return s.emulator.targets[s.path[stage].Target.Name] }

// dropAllocation clears the stream's KV cells on a target and returns their number.
func (s *Stream) dropAllocation(t *simTarget) int64 {
	sum := int64(0)
	for i, stage := range s.path {
		if stage.Target.Name == t.spec.Name {
			sum += s.allocated[i]
			s.allocated[i] = 0
		}
	}
	return sum
}
