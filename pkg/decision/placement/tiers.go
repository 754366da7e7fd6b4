package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cuminroute/cuminroute/pkg/layer"
)

const (
	// maxTiers bounds the memory sizes that are told apart, and with it the ways of grouping them
	// (2^(maxTiers-1)). Fleets have a handful of accelerator kinds.
	maxTiers = 8
	// nearlyLeast is the rate, relative to the weakest range, up to which the spread over data
	// centres decides where a worker goes.
	nearlyLeast = 1.05
)

// planModel tries every grouping of neighbouring memory sizes into tiers and keeps the best.
func planModel(workers []Target, m Model) []Assignment {
	sizes := memorySizes(workers, m)
	if len(sizes) == 0 {
		return nil
	}
	var best []Assignment
	bestFlow := -1.0
	for cuts := range 1 << (len(sizes) - 1) {
		assignments := planTiers(workers, m, sizes, cuts)
		flow := ratesOf(assignments, workers, []Model{m})[m.Name].through(m.Layers)
		if flow > bestFlow {
			best, bestFlow = assignments, flow
		}
	}
	separate(best, workersByName(workers))
	return best
}

// memorySizes returns the distinct numbers of layers that fit into the workers, largest first,
// merged to at most maxTiers.
func memorySizes(workers []Target, m Model) []int {
	var sizes []int
	for _, w := range workers {
		if n := maxLayers(w, m); n > 0 {
			sizes = append(sizes, n)
		}
	}
	slices.SortFunc(sizes, func(a, b int) int { return cmp.Compare(b, a) })
	sizes = slices.Compact(sizes)
	if len(sizes) <= maxTiers {
		return sizes
	}
	merged := make([]int, maxTiers)
	for i := range merged {
		merged[i] = sizes[(i+1)*len(sizes)/maxTiers-1]
	}
	return merged
}

// planTiers cuts the list of sizes at the bits of cuts. A tier's ranges are as long as its
// smallest size.
func planTiers(workers []Target, m Model, sizes []int, cuts int) []Assignment {
	var assignments []Assignment
	largest := math.MaxInt
	for i, size := range sizes {
		last := i == len(sizes)-1
		if !last && cuts&(1<<i) == 0 {
			continue
		}
		tier := workersBetween(workers, m, size, largest)
		assignments = append(assignments, spread(tier, m, equalRanges(m.Layers, size))...)
		largest = size - 1
	}
	return assignments
}

func workersBetween(workers []Target, m Model, smallest, largest int) []Target {
	var tier []Target
	for _, w := range workers {
		if n := maxLayers(w, m); n >= smallest && n <= largest {
			tier = append(tier, w)
		}
	}
	return tier
}

// spread assigns each worker, fastest first, to the range with the least rate. Among ranges that
// are nearly as weak, it takes the one with the fewest workers of the same data centre, so that
// the loss of a data centre leaves every range covered where possible.
func spread(workers []Target, m Model, ranges []layer.Range) []Assignment {
	rates := make([]float64, len(ranges))
	centres := make([]map[string]int, len(ranges))
	for i := range centres {
		centres[i] = map[string]int{}
	}
	assignments := make([]Assignment, 0, len(workers))
	for _, w := range workers {
		chosen := weakest(rates, centres, w.DataCentre)
		assignments = append(assignments, Assignment{Target: w.Name, Model: m.Name, Layers: ranges[chosen]})
		rates[chosen] += tokenRate(w, m, ranges[chosen].Len())
		centres[chosen][w.DataCentre]++
	}
	return assignments
}

func weakest(rates []float64, centres []map[string]int, centre string) int {
	limit := slices.Min(rates) * nearlyLeast
	chosen := -1
	for i, rate := range rates {
		if rate > limit {
			continue
		}
		if chosen < 0 || centres[i][centre] < centres[chosen][centre] {
			chosen = i
		}
	}
	return chosen
}
