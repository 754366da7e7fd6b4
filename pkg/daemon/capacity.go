package daemon

import "github.com/cuminroute/cuminroute/pkg/target"

// streamsPerSlot is the number of streams in flight for each place in a batch. Streams meet in the
// batches by chance, so that with one stream for each place many batches are not full: a client
// without a router got 947, 1,142 and 1,378 of 1,347 tokens/s from 40 workers with 160 places and
// 160, 240 and 320 streams.
const streamsPerSlot = 2

// streams returns how many streams the engines bear at once, over all models.
func (c *control) streams() float64 {
	engines := make(map[string][]target.Target)
	for _, t := range *c.targets.Load() {
		if t.Kind == target.Engine && t.AcceptsRequests() && t.Layers.Valid() && t.Layers.End <= t.ModelLayers {
			engines[t.Model] = append(engines[t.Model], t)
		}
	}
	sum := 0.0
	for _, held := range engines {
		sum += streamsPerSlot * c.slots(held)
	}
	return sum
}

// slots returns the places in the batches of one model's engines that routes can use. A stream is at
// one stage at a time, so all places count, as far as the layer with the fewest lets them: a route
// needs every layer.
func (c *control) slots(engines []target.Target) float64 {
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
	for _, places := range byLayer {
		fewest = min(fewest, places)
	}
	mean := covered / float64(layers)
	return total * fewest / mean
}
