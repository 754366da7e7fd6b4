package daemon

import "github.com/cuminroute/cuminroute/pkg/target"

// streamsPerSlot is the number of concurrent streams per batch slot, the place of one stream in the batch
// of an engine. Streams reach the batches at random
// times, so that with one stream per slot many batches are not full: a client that sent requests
// directly to 40 engines with 160 slots got 947, 1,142 and 1,378 tokens/s with 160, 240 and 320
// streams, against a reference of 1,347 tokens/s.
const streamsPerSlot = 2

// streamCapacity returns how many concurrent streams the engines support, over all models.
func (c *control) streamCapacity() float64 {
	engines := make(map[string][]target.Target)
	for _, t := range *c.targets.Load() {
		if t.Kind == target.Engine && t.AcceptsRequests() && t.Layers.Valid() && t.Layers.End <= t.ModelLayers {
			engines[t.Model] = append(engines[t.Model], t)
		}
	}
	sum := 0.0
	for _, modelEngines := range engines {
		sum += streamsPerSlot * c.usableSlots(modelEngines)
	}
	return sum
}

// usableSlots returns the number of batch slots of one model's engines that routes can use. A stream
// occupies one stage at a time, so the slots of all stages count. A route needs every layer, so the
// total is scaled by the ratio of the fewest slots of any layer to the mean number of slots of a layer.
func (c *control) usableSlots(engines []target.Target) float64 {
	layers := engines[0].ModelLayers
	byLayer := make([]float64, layers)
	total, covered := 0.0, 0.0
	for _, t := range engines {
		batch := float64(max(c.engines[t.Name].maxBatch, 1))
		total += batch
		for l := t.Layers.First; l < min(t.Layers.End, layers); l++ {
			byLayer[l] += batch
			covered += batch
		}
	}
	fewest := byLayer[0]
	for _, slots := range byLayer {
		fewest = min(fewest, slots)
	}
	mean := covered / float64(layers)
	return total * fewest / mean
}
