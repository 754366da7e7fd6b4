package placement

import "math"

// What limits the bound.
const (
	// LimitedByCompute says that the sum of the workers' rates sets the bound.
	LimitedByCompute = "compute"
	// LimitedByLink says that the links of workers that hold no whole model lower the bound.
	LimitedByLink = "link"
	// LimitedByMemory says that the workers cannot hold every layer.
	LimitedByMemory = "memory"
	// LimitedByNothing says that there is nothing to place.
	LimitedByNothing = "nothing to place"
)

// bound returns a throughput that no schedule can exceed, and what sets it.
//
// A worker that holds n layers of a model runs at most Rate/LayerCost layers/s. Unless it holds
// the whole model, each token also crosses its link once in one direction, so it runs at most
// n*Link/ActivationBytes layers/s. With layers priced by their cost, the sum over workers of the
// better of these for the best model bounds the cost of all tokens/s. The same sum for each model
// alone, as if it had all workers, bounds that model's share.
func bound(workers []Target, models []Model) (float64, string) {
	if len(models) == 0 || len(workers) == 0 {
		return 0, LimitedByNothing
	}
	if !fits(workers, models) {
		return 0, LimitedByMemory
	}
	linked := lowest(workers, models, layerRate)
	unlinked := lowest(workers, models, computeRate)
	if linked < unlinked*0.999 {
		return linked, LimitedByLink
	}
	return linked, LimitedByCompute
}

// fits reports whether the workers together have room for each layer once.
func fits(workers []Target, models []Model) bool {
	need, have := 0.0, 0.0
	for _, m := range models {
		need += float64(m.Layers) * float64(m.LayerBytes)
		room := 0
		for _, w := range workers {
			room += maxLayers(w, m)
		}
		if room < m.Layers {
			return false
		}
	}
	for _, w := range workers {
		have += float64(w.Memory)
	}
	return have >= need
}

type rateFunc func(Target, Model) float64

// lowest returns the least of the bounds.
func lowest(workers []Target, models []Model, rate rateFunc) float64 {
	least := math.Inf(1)
	total, costs := 0.0, 0.0
	shares := shares(models)
	for i, m := range models {
		costs += shares[i] * float64(m.Layers) * m.LayerCost
		alone := 0.0
		for _, w := range workers {
			alone += rate(w, m)
		}
		least = min(least, alone/float64(m.Layers)/shares[i])
	}
	for _, w := range workers {
		best := 0.0
		for _, m := range models {
			best = max(best, rate(w, m)*m.LayerCost)
		}
		total += best
	}
	return min(least, total/costs)
}

// computeRate returns the layers/s of a worker by its accelerators alone.
func computeRate(w Target, m Model) float64 {
	if maxLayers(w, m) == 0 {
		return 0
	}
	return w.Rate / m.LayerCost
}

// layerRate returns the layers/s of a worker at best.
func layerRate(w Target, m Model) float64 {
	n := maxLayers(w, m)
	return float64(n) * tokenRate(w, m, n)
}

// tokenRate returns the tokens/s of a worker that holds n layers of the model.
func tokenRate(w Target, m Model, n int) float64 {
	if n == 0 {
		return 0
	}
	rate := w.Rate / (m.LayerCost * float64(n))
	if n == m.Layers || w.Link <= 0 || m.ActivationBytes == 0 {
		return rate
	}
	return min(rate, w.Link/float64(m.ActivationBytes))
}

// maxLayers returns the number of layers of the model that fit into the worker's memory.
func maxLayers(w Target, m Model) int {
	return int(min(int64(m.Layers), w.Memory/max(1, m.LayerBytes)))
}

// shares returns the models' parts of all tokens, which sum to 1.
func shares(models []Model) []float64 {
	parts := make([]float64, len(models))
	sum := 0.0
	for i, m := range models {
		parts[i] = m.TokenFraction
		if parts[i] <= 0 {
			parts[i] = 1
		}
		sum += parts[i]
	}
	for i := range parts {
		parts[i] /= sum
	}
	return parts
}
