package emulator

import (
	"time"

	"github.com/cuminroute/cuminroute/pkg/target"
)

// work is what one request wants of a target: to read tokens, or to write a step.
type work struct {
	stream *Stream
	part   int
	epoch  int // epoch is the stream's when the work was wanted.
	read   int // read is the number of tokens left to read; 0 means a step.
}

// obsolete reports whether the stream has ended or changed its path since.
func (w work) obsolete() bool {
	return w.stream.ended || w.stream.epoch != w.epoch || w.stream.at != w.part
}

// machine is one target.
type machine struct {
	emulator *Emulator
	target   target.Target
	total    int64 // total is the memory for requests, in tokens times layers.
	used     int64
	slow     float64
	dead     bool
	busy     bool
	waiting  []work
	streams  []*Stream // streams hold memory here, the newest last.
}

func newMachine(e *Emulator, t target.Target) *machine {
	return &machine{emulator: e, target: t, total: e.engine.KVCells(t.Accelerator, t.Layers.Len()), slow: 1}
}

// kill stops the target and forgets what it held.
func (m *machine) kill() {
	m.dead, m.waiting, m.used = true, nil, 0
	for _, s := range m.streams {
		s.forget(m)
	}
	m.streams = nil
}

// want queues work.
func (m *machine) want(w work) {
	if m.dead {
		return
	}
	m.waiting = append(m.waiting, w)
	m.pass()
}

// pass starts a pass over what waits, unless one is under way.
func (m *machine) pass() {
	if m.busy || m.dead || len(m.waiting) == 0 {
		return
	}
	m.busy = true
	taken, left, chunk := m.waiting, []work(nil), m.emulator.chunk
	done := make([]work, 0, len(taken))
	took := m.step()
	for _, w := range taken {
		if w.obsolete() {
			continue
		}
		if w.read == 0 {
			took += m.write(w)
			done = append(done, w)
			continue
		}
		n := min(w.read, chunk)
		chunk -= n
		took += m.readTime(w, n)
		w.read -= n
		if w.read > 0 {
			left = append(left, w)
			continue
		}
		done = append(done, w)
	}
	m.waiting = left
	m.emulator.counts.Passes++
	m.emulator.after(time.Duration(float64(took)*m.slow), func() { m.end(done) })
}

// end hands on what a pass has done.
func (m *machine) end(done []work) {
	m.busy = false
	if m.dead {
		return
	}
	for _, w := range done {
		if !w.obsolete() {
			w.stream.advance(w.part)
		}
	}
	m.pass()
}

// step is the time of a pass without its requests.
func (m *machine) step() time.Duration {
	return time.Duration(m.emulator.stride) * m.emulator.engine.StepTime(m.target.Accelerator, m.target.Layers)
}

// write is what a request that writes adds to a pass.
func (m *machine) write(w work) time.Duration {
	e := m.emulator.engine
	each := float64(e.StepTimePerSequence) + float64(e.StepTimePerKToken)*float64(w.stream.tokens)/1000
	share := float64(w.stream.path[w.part].Layers.Len()) / float64(e.Layers)
	return time.Duration(each * e.Accelerators[m.target.Accelerator].StepFactor * share * float64(m.emulator.stride))
}

// readTime is what reading tokens adds to a pass.
func (m *machine) readTime(w work, tokens int) time.Duration {
	m.emulator.counts.Read += tokens
	return m.emulator.engine.PrefillTime(m.target.Accelerator, w.stream.path[w.part].Layers, tokens)
}

// take reserves memory for a stream; the newest is preempted where there is none left.
func (m *machine) take(s *Stream, part, tokens int) {
	n := cells(s.path[part], tokens)
	if n <= 0 {
		return
	}
	if s.held[part] == 0 {
		m.streams = append(m.streams, s)
	}
	s.held[part] += n
	m.used += n
	for m.used > m.total && len(m.streams) > 1 {
		newest := m.streams[len(m.streams)-1]
		m.emulator.counts.Preempted++
		m.release(newest)
	}
}

// release gives the memory of a stream back.
func (m *machine) release(s *Stream) {
	m.used -= s.forget(m)
	for i, other := range m.streams {
		if other == s {
			m.streams = append(m.streams[:i], m.streams[i+1:]...)
			break
		}
	}
}
