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
	// jitter is the largest deviation of a target's random factor from 1.
	jitter = 0.15
	// maxUtilization is the largest fraction of a target's KV cache that requests may use. A request counts with its whole
	// output, although it needs half of its output's memory on average.
	maxUtilization = 1.0
	// pressureThreshold is the fraction of the KV cache in use above which the cost of a target rises steeply.
	pressureThreshold = 0.6
	// pressureWeight is the weight of the fraction above pressureThreshold.
	pressureWeight = 12.0
	// unknownSpread is the largest random factor of a target whose load is not known. Its logarithm is evenly distributed, and it is far above the
	// ratio of the paces of targets, so that instances that know nothing use the targets by their number rather than all the fastest ones.
	unknownSpread = 1e4
	// maxPresumed bounds the fraction of the KV cache that the load of others is presumed to use. It is above 1, since instances that know
	// nothing may ask for more than there is, and then a slower target is better.
	maxPresumed = 2.0
)

// profileKey identifies the targets that have the same profile: those with the same accelerator and number of layers.
type profileKey struct {
	accelerator string
	layers      int
}

// profile is the speed and memory of an idle target. Times are in seconds.
type profile struct {
	step     float64 // step is the time of a step of one sequence over one layer.
	sequence float64 // sequence is the time that each further sequence adds to the step over one layer.
	prefill  float64 // prefill is the time of one prompt token in one layer.
	wait     float64 // wait is how long a token waits for the step in progress, which may run all of the target's layers.
	kvCells  float64 // kvCells is the size of the KV cache in KV cells.
}

func newProfile(e *catalogue.Engine, k profileKey) profile {
	one, kind := layer.Range{First: 0, End: 1}, k.accelerator
	return profile{
		step:     e.StepTime(kind, one).Seconds(),
		sequence: e.StepTimePerSequence.Seconds() * e.Accelerators[kind].StepFactor / float64(max(e.Layers, 1)),
		prefill:  e.PrefillTime(kind, one, prefillSample).Seconds() / prefillSample,
		wait:     waitFactor * e.StepTime(kind, layer.Range{First: 0, End: k.layers}).Seconds(),
		kvCells:  float64(e.KVCells(kind, k.layers)),
	}
}

// prefillSample is the number of tokens whose prefill time is divided to get that of one token. The number is large, so
// that rounding to nanoseconds has no effect.
const prefillSample = 1e6

// estimate is the expected cost of one request at a target with the target's current load.
type estimate struct {
	factor   float64 // factor is drawn at random around 1; 0 marks an excluded target.
	fixed    float64 // fixed is the time, in seconds, that does not depend on the number of layers.
	perLayer float64 // perLayer is the time, in seconds, for each layer.
	used     float64 // used is the fraction of the KV cache in use.
	need     float64 // need is the fraction of the KV cache that the request takes for each layer.
	presumed float64 // presumed is the fraction of the KV cache that the load of others is presumed to use. It counts for the cost, not for the limit.
	limit    float64 // limit is the largest fraction of the KV cache that may be in use with the request.
}

// estimates returns the estimate for each of the finder's targets, in the same order.
func (f *Finder) estimates(r *rand.Rand, q Request) []estimate {
	list := make([]estimate, len(f.targets))
	output, prompt := float64(q.OutputTokens), float64(q.PromptTokens)
	for i, t := range f.targets {
		if q.Excluded != nil && q.Excluded(t.Name) {
			continue
		}
		e, s := &list[i], &f.profiles[i]
		e.limit = maxUtilization
		if q.MaxUtilization > 0 {
			e.limit = q.MaxUtilization
		}
		e.factor = 1 - jitter + 2*jitter*r.Float64()
		var load Load
		if i < len(q.Loads) {
			load = q.Loads[i]
		}
		if load.Unknown {
			e.factor *= math.Pow(unknownSpread, r.Float64())
		}
		streams := float64(load.Streams)
		slowdown := max(load.Slowdown, 1)
		e.fixed = slowdown * s.wait * output
		e.perLayer = slowdown * ((s.step+streams*s.sequence)*output + s.prefill*prompt*(1+streams))
		e.used, e.need = math.Inf(1), 0
		if s.kvCells > 0 {
			e.used, e.need = float64(load.KVCells)/s.kvCells, (prompt+output)/s.kvCells
			e.presumed = min(float64(load.Presumed)/s.kvCells, maxPresumed)
		}
	}
	return list
}

// cost estimates the time, in seconds, of the request in a number of the target's layers. The time is weighted by the
// KV cache utilization including the request. It is infinite if the target is excluded or has too little memory.
func (e *estimate) cost(layers int) float64 {
	utilization := e.used + e.need*float64(layers)
	if e.factor == 0 || utilization > e.limit {
		return math.Inf(1)
	}
	utilization += e.presumed
	return e.factor * (e.fixed + e.perLayer*float64(layers)) * (1 + utilization + pressureWeight*max(utilization-pressureThreshold, 0))
}
