package path

import (
	"math"
	"math/rand/v2"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/layer"
)

const (
	// waitFactor is the time that a token waits at each target, in steps over all of the target's layers.
	waitFactor = 1.5
	// spreadFactor is how far the random factor of a target lies from 1.
	spreadFactor = 0.15
	// fullShare is the share of a target's memory up to which it takes requests, counted with their whole answers. A
	// request needs half of its answer's memory on average.
	fullShare = 1.0
	// noRoom is the memory share from which a target is avoided.
	noRoom = 0.6
	// pressure is the weight of the memory share above noRoom.
	pressure = 12.0
)

// shape is what the speed of a target depends on.
type shape struct {
	accelerator string
	layers      int
}

// speed is what an idle target takes for requests. Times are in seconds.
type speed struct {
	step     float64 // step is the time of a pass of one sequence over one layer.
	sequence float64 // sequence is what each other sequence adds to it.
	read     float64 // read is the time to read a prompt token through one layer.
	wait     float64 // wait is how long a token waits for the pass under way, which may run all of the target's layers.
	cells    float64 // cells is the memory for requests, in tokens times layers.
}

func speedOf(e *catalogue.Engine, s shape) speed {
	one, kind := layer.Range{First: 0, End: 1}, s.accelerator
	return speed{
		step:     e.StepTime(kind, one).Seconds(),
		sequence: e.StepTimePerSequence.Seconds() * e.Accelerators[kind].StepFactor / float64(max(e.Layers, 1)),
		read:     e.PrefillTime(kind, one, readUnit).Seconds() / readUnit,
		wait:     waitFactor * e.StepTime(kind, layer.Range{First: 0, End: s.layers}).Seconds(),
		cells:    float64(e.KVCells(kind, s.layers)),
	}
}

// readUnit is the number of tokens for which the reading time is taken, so that rounding to nanoseconds does not show.
const readUnit = 1e6

// estimate is what one request would take at a target, at its present load.
type estimate struct {
	factor float64 // factor is drawn at random around 1; 0 marks a target to avoid.
	fixed  float64 // fixed is the time, in seconds, that does not depend on the layers run.
	layer  float64 // layer is the time, in seconds, for each layer.
	used   float64 // used is the memory in use, as a share of all.
	need   float64 // need is the share of the memory that each layer takes.
}

// estimates returns the estimates for the finder's targets.
func (f *Finder) estimates(r *rand.Rand, q Request) []estimate {
	list := make([]estimate, len(f.targets))
	answer, prompt := float64(q.OutputTokens), float64(q.PromptTokens)
	for i, t := range f.targets {
		if q.Excluded != nil && q.Excluded(t.Name) {
			continue
		}
		e, s := &list[i], &f.speeds[i]
		e.factor = 1 - spreadFactor + 2*spreadFactor*r.Float64()
		var load Load
		if i < len(q.Loads) {
			load = q.Loads[i]
		}
		streams := float64(load.Streams)
		slow := max(load.Slowdown, 1)
		e.fixed = slow * s.wait * answer
		e.layer = slow * ((s.step+streams*s.sequence)*answer + s.read*prompt*(1+streams))
		e.used, e.need = math.Inf(1), 0
		if s.cells > 0 {
			e.used, e.need = float64(load.KVCells)/s.cells, (prompt+answer)/s.cells
		}
	}
	return list
}

// cost estimates the time, in seconds, that the request spends on a number of the target's layers, weighted by how full
// the target's memory is then. It is infinite for a target that is full or to be avoided.
func (e *estimate) cost(layers int) float64 {
	fill := e.used + e.need*float64(layers)
	if e.factor == 0 || fill > fullShare {
		return math.Inf(1)
	}
	return e.factor * (e.fixed + e.layer*float64(layers)) * (1 + fill + pressure*max(fill-noRoom, 0))
}
