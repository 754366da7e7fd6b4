package emulator

import (
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
)

// Work is what a request wants.
type Work struct {
	Prompt, Answer int // Prompt and Answer are numbers of tokens, 1 or more.
}

// Watcher is told how a stream goes on.
type Watcher struct {
	Event func(at time.Duration)
	End   func(at time.Duration)
}

// Stream is a request that runs.
type Stream struct {
	emulator *Emulator
	work     Work
	watcher  Watcher
	path     path.Path
	held     []int64 // held is the memory held at each part.
	tokens   int     // tokens counts prompt and answer so far.
	written  int
	at       int // at is the part that works, or works next.
	ended    bool
	epoch    int // epoch counts the changes of path, so that work of an older path is dropped.
}

// Open starts a request on a path, or returns why a target does not take it.
func (e *Emulator) Open(p path.Path, w Work, watcher Watcher) (*Stream, error) {
	s := &Stream{emulator: e, work: w, watcher: watcher, path: p, held: make([]int64, len(p)), tokens: w.Prompt}
	for _, part := range p {
		if err := e.check(part, w.Prompt); err != nil {
			return nil, err
		}
	}
	for i := range p {
		e.machines[p[i].Target.Name].take(s, i, w.Prompt)
	}
	s.read(0)
	return s, nil
}

// Path returns the path that the stream takes.
func (s *Stream) Path() path.Path { return s.path }

// Ended reports whether the stream has written all its tokens.
func (s *Stream) Ended() bool { return s.ended }

// Tokens is the number of tokens, of prompt and answer, so far.
func (s *Stream) Tokens() int { return s.tokens }

// Repath changes the path of a stream. Parts that stay keep their memory; new ones read all tokens so far.
func (s *Stream) Repath(p path.Path) error {
	e := s.emulator
	held := make([]int64, len(p))
	for i, part := range p {
		if old := indexOf(s.path, part); old >= 0 && s.held[old] > 0 {
			held[i] = s.held[old]
		} else if err := e.check(part, s.tokens); err != nil {
			return err
		}
	}
	for i, part := range s.path {
		if j := indexOf(p, part); j < 0 {
			e.machines[part.Target.Name].release(s)
			s.held[i] = 0
		}
	}
	s.path, s.held = p, held
	s.epoch++
	s.read(0)
	return nil
}

// indexOf returns the place of a part in a path, or -1.
func indexOf(p path.Path, part path.Stage) int {
	for i := range p {
		if p[i].Target.Name == part.Target.Name && p[i].Layers == part.Layers {
			return i
		}
	}
	return -1
}

// read lets a part work: it writes a step, or first reads what it does not hold.
func (s *Stream) read(part int) {
	s.at = part
	m := s.machine(part)
	if m.dead {
		return
	}
	w := work{stream: s, part: part, epoch: s.epoch}
	switch {
	case s.held[part] == 0: // The part is new on the path, or was preempted.
		m.take(s, part, s.tokens)
		s.emulator.counts.Again += s.tokens
		w.read = s.tokens
	case s.written == 0:
		w.read = s.tokens
	default:
		grown := cells(s.path[part], s.tokens) - s.held[part]
		m.take(s, part, int(grown)/s.path[part].Layers.Len())
	}
	m.want(w)
}

// advance goes on after a part has done its work.
func (s *Stream) advance(part int) {
	if part != s.at || s.ended {
		return
	}
	if part < len(s.path)-1 {
		epoch, tokens := s.epoch, s.emulator.stride
		if s.written == 0 {
			tokens = s.tokens
		}
		s.emulator.carry(s.path[part].Target, s.path[part+1].Target, tokens, func() {
			if epoch == s.epoch {
				s.read(part + 1)
			}
		})
		return
	}
	n := min(s.emulator.stride, s.work.Answer-s.written)
	s.written += n
	s.tokens += n
	if s.watcher.Event != nil {
		s.watcher.Event(s.emulator.now)
	}
	if s.written < s.work.Answer {
		s.read(0)
		return
	}
	s.close()
	if s.watcher.End != nil {
		s.watcher.End(s.emulator.now)
	}
}

// Close ends a stream before its time.
func (s *Stream) Close() {
	if !s.ended {
		s.close()
	}
}

func (s *Stream) close() {
	s.ended = true
	s.epoch++
	for i := range s.path {
		s.machine(i).release(s)
	}
}

func (s *Stream) machine(part int) *machine { return s.emulator.machines[s.path[part].Target.Name] }

// forget drops the memory that the stream holds on a target, and returns how much it was.
func (s *Stream) forget(m *machine) int64 {
	sum := int64(0)
	for i, part := range s.path {
		if part.Target.Name == m.target.Name {
			sum += s.held[i]
			s.held[i] = 0
		}
	}
	return sum
}
