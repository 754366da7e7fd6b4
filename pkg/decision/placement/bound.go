package placement

import "math"

// Values of Plan.LimitedBy.
const (
	// LimitedByCompute means that the sum of the targets' compute rates sets the bound.
	LimitedByCompute = "compute"
	// LimitedByLink means that the links of targets that hold only part of a model lower the bound.
	LimitedByLink = "link"
	// LimitedByMemory means that the targets together can't hold every layer.
	LimitedByMemory = "memory"
	// LimitedByNothing means that there are no models or no targets.
	LimitedByNothing = "nothing to place"
)

// bound returns an upper bound on the throughput of any placement and routing, and the resource that
// sets the bound.
//
// A target that holds n layers of a model runs at most Rate/LayerCost layers/s. Unless the target
// holds the complete model, each token also crosses its link once in one direction, so it runs at most
// n*Link/ActivationBytes layers/s. Weighting layers by their cost and summing each target's best
// rate over the models bounds the total cost of all tokens/s. The same sum for one model alone, as
// if it had all targets, bounds that model's fraction.
func bound(targets []Target, models []Model) (float64, string) {
	if len(models) == 0 || len(targets) == 0 {
		return 0, LimitedByNothing
	}
	if !fits(targets, models) {
		return 0, LimitedByMemory
	}
	linked := throughputBound(targets, models, bestLayerRate)
	unlinked := throughputBound(targets, models, computeRate)
	if linked < unlinked*0.999 {
		return linked, LimitedByLink
	}
	return linked, LimitedByCompute
}

// fits reports whether the targets together have memory for one replica of each layer.
func fits(targets []Target, models []Model) bool {
	need, have := 0.0, 0.0
	for _, m := range models {
		need += float64(m.Layers) * float64(m.LayerBytes)
		room := 0
		for _, t := range targets {
			room += maxLayers(t, m)
		}
		if room < m.Layers {
			return false
		}
	}
	for _, t := range targets {
		have += float64(t.Memory)
	}
	return have >= need
}

// rateFunc returns a target's highest rate for a model in layers/s.
type rateFunc func(Target, Model) float64

// throughputBound returns the lower of the bound over all models together and the bounds of each
// model alone, in tokens/s.
func throughputBound(targets []Target, models []Model, rate rateFunc) float64 {
	least := math.Inf(1)
	total, costs := 0.0, 0.0
	fractions := tokenFractions(models)
	for i, m := range models {
		costs += fractions[i] * float64(m.Layers) * m.LayerCost
		alone := 0.0
		for _, t := range targets {
			alone += rate(t, m)
		}
		least = min(least, alone/float64(m.Layers)/fractions[i])
	}
	for _, t := range targets {
		best := 0.0
		for _, m := range models {
			best = max(best, rate(t, m)*m.LayerCost)
		}
		total += best
	}
	return min(least, total/costs)
}

// computeRate returns the layers/s that a target's accelerators allow, without regard to its link.
func computeRate(t Target, m Model) float64 {
	if maxLayers(t, m) == 0 {
		return 0
	}
	return t.Rate / m.LayerCost
}

// bestLayerRate returns the layers/s of a target that holds as many layers as fit into its memory.
func bestLayerRate(t Target, m Model) float64 {
	n := maxLayers(t, m)
	return float64(n) * tokenRate(t, m, n)
}

// tokenRate returns the tokens/s of a target that holds n layers of the model.
func tokenRate(t Target, m Model, n int) float64 {
	if n == 0 {
		return 0
	}
	rate := t.Rate / (m.LayerCost * float64(n))
	if n == m.Layers || t.Link <= 0 || m.ActivationBytes == 0 {
		return rate
	}
	return min(rate, t.Link/float64(m.ActivationBytes))
}

// maxLayers returns the number of layers of the model that fit into the target's memory.
func maxLayers(t Target, m Model) int {
	return int(min(int64(m.Layers), t.Memory/max(1, m.LayerBytes)))
}

// tokenFractions returns each model's fraction of all tokens. The fractions sum to 1.
func tokenFractions(models []Model) []float64 {
	fractions := make([]float64, len(models))
	sum := 0.0
	for i, m := range models {
		fractions[i] = m.TokenFraction
		if fractions[i] <= 0 {
			fractions[i] = 1
		}
		sum += fractions[i]
	}
	for i := range fractions {
		fractions[i] /= sum
	}
	return fractions
}
