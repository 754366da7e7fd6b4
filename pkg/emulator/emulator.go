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
	// NoCapacity is the type of errors of targets that lack the memory for a request.
	NoCapacity = namespace.NewType("no_room")
	// Dead is the type of errors of paths that contain a dead or unknown target.
	Dead = namespace.NewType("dead")

	failedTarget = errorx.RegisterProperty("culprit")
)

// FailedTarget returns the name of the target that is dead or lacks memory, from an error of Open or ChangePath.
func FailedTarget(err error) (name string, ok bool) {
	value, ok := errorx.ExtractProperty(err, failedTarget)
	if !ok {
		return "", false
	}
	name, ok = value.(string)
	return name, ok
}

const (
	// defaultPrefillChunk is the number of prompt tokens that a target prefills in one pass.
	defaultPrefillChunk = 512
	// defaultTokensPerPass is the number of tokens that a request generates in one pass.
	defaultTokensPerPass = 2
)

// Emulator simulates targets that run one model.
type Emulator struct {
	engine        *catalogue.Engine
	targets       map[string]*simTarget
	tokensPerPass int
	prefillChunk  int

	now          time.Duration
	events       eventHeap
	lastSequence int                         // lastSequence numbers the events, so that those of the same time run in the order of scheduling.
	linkFreeAt   map[[2]string]time.Duration // linkFreeAt holds, by pair of data centres, the time at which the link becomes free.
	stats        Stats
}

// Stats are totals over all targets.
type Stats struct {
	Passes           int `json:"Passes"`
	PrefillTokens    int `json:"Read"`      // PrefillTokens counts the tokens prefilled, once for each target.
	RecomputedTokens int `json:"Again"`     // RecomputedTokens counts the tokens to prefill for a path change or after a preemption.
	Preempted        int `json:"Preempted"` // Preempted counts preemptions of requests for lack of memory.
}

// Option configures an Emulator.
type Option func(*Emulator)

// WithTokensPerPass sets the number of tokens that a request generates in one pass. They make one event.
func WithTokensPerPass(tokens int) Option {
	return func(e *Emulator) { e.tokensPerPass = tokens }
}

// WithPrefillChunk sets the maximum number of prompt tokens that a target prefills in one pass.
func WithPrefillChunk(tokens int) Option {
	return func(e *Emulator) { e.prefillChunk = tokens }
}

// New returns an emulator of the targets at virtual time 0.
func New(engine *catalogue.Engine, targets []target.Target, options ...Option) *Emulator {
	e := &Emulator{
		engine: engine, targets: make(map[string]*simTarget), tokensPerPass: defaultTokensPerPass, prefillChunk: defaultPrefillChunk,
		linkFreeAt: make(map[[2]string]time.Duration),
	}
	for _, o := range options {
		o(e)
	}
	for _, t := range targets {
		e.targets[t.Name] = newSimTarget(e, t)
	}
	return e
}

// Now returns the virtual time.
func (e *Emulator) Now() time.Duration { return e.now }

// Stats returns the totals so far.
func (e *Emulator) Stats() Stats { return e.stats }

// Schedule runs f at a virtual time, or at the current one if that has passed.
func (e *Emulator) Schedule(at time.Duration, f func()) {
	e.lastSequence++
	heap.Push(&e.events, event{at: max(at, e.now), sequence: e.lastSequence, run: f})
}

// after runs f once the given time has passed.
func (e *Emulator) after(delay time.Duration, f func()) { e.Schedule(e.now+delay, f) }

// Run runs the events up to the given virtual time and then sets the time to it.
func (e *Emulator) Run(end time.Duration) {
	for len(e.events) > 0 && e.events[0].at <= end {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.run()
	}
	e.now = max(e.now, end)
}

// Kill makes a target dead. Streams through it stall until their paths are changed.
func (e *Emulator) Kill(name string) {
	e.targets[name].kill()
}

// SetSlowdown multiplies the durations of all later passes of a target by a factor.
func (e *Emulator) SetSlowdown(name string, factor float64) {
	e.targets[name].slowdown = factor
}

// MemoryUsage returns the fraction of a target's memory that requests hold.
func (e *Emulator) MemoryUsage(name string) float64 {
	t := e.targets[name]
	if t.capacity <= 0 {
		return 0
	}
	return float64(t.used) / float64(t.capacity)
}

// checkCapacity returns an error if the target of a stage is dead or lacks the memory for the tokens.
func (e *Emulator) checkCapacity(stage path.Stage, tokens int) error {
	t := e.targets[stage.Target.Name]
	switch {
	case t == nil || t.dead:
		return Dead.New("target %s is dead or unknown", stage.Target.Name).WithProperty(failedTarget, stage.Target.Name)
	case t.used+kvCells(stage, tokens) > t.capacity:
		return NoCapacity.New("target %s lacks memory for %d tokens", stage.Target.Name, tokens).WithProperty(failedTarget, stage.Target.Name)
	}
	return nil
}

// transfer runs f when the activations of the tokens have arrived at the next target. Transfers over one link between
// data centres queue; transfers within a data centre take no time.
func (e *Emulator) transfer(from, to target.Target, tokens int, f func()) {
	if from.DataCentre == to.DataCentre {
		e.after(0, f)
		return
	}
	link := [2]string{from.DataCentre, to.DataCentre}
	sentAt := max(e.linkFreeAt[link], e.now) + e.engine.TransferTime(tokens)
	e.linkFreeAt[link] = sentAt
	e.Schedule(sentAt+e.engine.Delay(from.DataCentre, to.DataCentre), f)
}

// kvCells returns the memory that tokens take on a stage, in tokens times layers.
func kvCells(stage path.Stage, tokens int) int64 {
	return int64(tokens) * int64(stage.Layers.Len())
}

// event is a function scheduled at a virtual time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
