package emulator

import (
	"container/heap"
	"time"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/target"
)

var (
	namespace = errorx.NewNamespace("emulator")
	// NoRoom is the type of refusals by a target without memory for the request.
	NoRoom = namespace.NewType("no_room")
	// Dead is the type of errors of paths through a dead target.
	Dead = namespace.NewType("dead")

	culprit = errorx.RegisterProperty("culprit")
)

// Culprit returns the name of the target that an error of Open or Repath is about.
func Culprit(err error) (name string, ok bool) {
	value, ok := errorx.ExtractProperty(err, culprit)
	if !ok {
		return "", false
	}
	name, ok = value.(string)
	return name, ok
}

const (
	// defaultChunk is the number of prompt tokens that a target reads in one pass.
	defaultChunk = 512
	// defaultStride is the number of tokens that a request writes in one pass.
	defaultStride = 2
)

// Emulator is a fleet of targets that run one model.
type Emulator struct {
	engine   *catalogue.Engine
	machines map[string]*machine
	stride   int
	chunk    int

	now    time.Duration
	events eventHeap
	order  int                         // order numbers the events, so that those of one moment run in the order of their making.
	pipes  map[[2]string]time.Duration // pipes holds until when the pipe between two data centres is taken.
	counts Counts
}

// Counts sums up what the targets did.
type Counts struct {
	Passes    int `json:"Passes"`
	Read      int `json:"Read"`      // Read counts prompt tokens read, through each target.
	Again     int `json:"Again"`     // Again counts those read once more.
	Preempted int `json:"Preempted"` // Preempted counts requests put back for want of memory.
}

// Option changes an emulator.
type Option func(*Emulator)

// WithStride sets the tokens that a request writes in one pass, which make one event.
func WithStride(tokens int) Option {
	return func(e *Emulator) { e.stride = tokens }
}

// WithChunk bounds the prompt tokens that a target reads in one pass.
func WithChunk(tokens int) Option {
	return func(e *Emulator) { e.chunk = tokens }
}

// New returns an emulator of the targets at time 0.
func New(engine *catalogue.Engine, targets []target.Target, options ...Option) *Emulator {
	e := &Emulator{
		engine: engine, machines: make(map[string]*machine), stride: defaultStride, chunk: defaultChunk,
		pipes: make(map[[2]string]time.Duration),
	}
	for _, o := range options {
		o(e)
	}
	for _, t := range targets {
		e.machines[t.Name] = newMachine(e, t)
	}
	return e
}

// Now returns the virtual time.
func (e *Emulator) Now() time.Duration { return e.now }

// Counts returns what the targets have done so far.
func (e *Emulator) Counts() Counts { return e.counts }

// At runs a function at a time, now at the earliest.
func (e *Emulator) At(at time.Duration, f func()) {
	e.order++
	heap.Push(&e.events, event{at: max(at, e.now), order: e.order, run: f})
}

// after runs a function after a time.
func (e *Emulator) after(wait time.Duration, f func()) { e.At(e.now+wait, f) }

// Run lets time pass until the end, or until nothing is left to do.
func (e *Emulator) Run(end time.Duration) {
	for len(e.events) > 0 && e.events[0].at <= end {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.run()
	}
	e.now = max(e.now, end)
}

// Kill lets a target die: what runs through it stands still until its paths are changed.
func (e *Emulator) Kill(name string) {
	e.machines[name].kill()
}

// Slow multiplies the times of a target.
func (e *Emulator) Slow(name string, factor float64) {
	e.machines[name].slow = factor
}

// Used returns the share of a target's memory that requests hold.
func (e *Emulator) Used(name string) float64 {
	m := e.machines[name]
	if m.total <= 0 {
		return 0
	}
	return float64(m.used) / float64(m.total)
}

// check returns why a target does not take a part of a request, or nil.
func (e *Emulator) check(part path.Stage, tokens int) error {
	m := e.machines[part.Target.Name]
	switch {
	case m == nil || m.dead:
		return Dead.New("%s does not answer", part.Target.Name).WithProperty(culprit, part.Target.Name)
	case m.used+cells(part, tokens) > m.total:
		return NoRoom.New("%s has no memory for %d tokens", part.Target.Name, tokens).WithProperty(culprit, part.Target.Name)
	}
	return nil
}

// carry runs a function when the activations of the tokens have come from one target to the next.
func (e *Emulator) carry(from, to target.Target, tokens int, f func()) {
	if from.DataCentre == to.DataCentre {
		e.after(0, f)
		return
	}
	pipe := [2]string{from.DataCentre, to.DataCentre}
	free := max(e.pipes[pipe], e.now) + e.engine.TransferTime(tokens)
	e.pipes[pipe] = free
	e.At(free+e.engine.Delay(from.DataCentre, to.DataCentre), f)
}

// cells is the memory that tokens take on a part.
func cells(part path.Stage, tokens int) int64 {
	return int64(tokens) * int64(part.Layers.Len())
}

// event is a function that runs at a time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
