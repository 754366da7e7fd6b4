package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cuminroute/cuminroute/pkg/layer"
)

const (
	// maxTiers bounds the number of distinct memory sizes, and with it the number of groupings that
	// are tried (2^(maxTiers-1)). Fleets have a handful of accelerator kinds.
	maxTiers = 8
	// nearMinimum is the rate, relative to the slowest range, up to which the spread over data centres
	// decides which range a target gets.
	nearMinimum = 1.05
)

// planModel tries every grouping of adjacent memory sizes into tiers and returns the one with the
// highest flow.
func planModel(targets []Target, m Model) []Assignment {
	sizes := memorySizes(targets, m)
	if len(sizes) == 0 {
		return nil
	}
	var best []Assignment
	bestFlow := -1.0
	for cuts := range 1 << (len(sizes) - 1) {
		assignments := planTiers(targets, m, sizes, cuts)
		flow := ratesByModel(assignments, targets, []Model{m})[m.Name].maxFlow(m.Layers)
		if flow > bestFlow {
			best, bestFlow = assignments, flow
		}
	}
	spreadOverDataCentres(best, targetsByName(targets))
	return best
}

// memorySizes returns the distinct numbers of layers that fit into the targets, largest first,
// merged to at most maxTiers.
func memorySizes(targets []Target, m Model) []int {
	var sizes []int
	for _, t := range targets {
		if n := maxLayers(t, m); n > 0 {
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

// planTiers splits the list of sizes into tiers after each bit that is set in cuts. A tier's ranges
// are at most as long as its smallest size.
func planTiers(targets []Target, m Model, sizes []int, cuts int) []Assignment {
	var assignments []Assignment
	largest := math.MaxInt
	for i, size := range sizes {
		last := i == len(sizes)-1
		if !last && cuts&(1<<i) == 0 {
			continue
		}
		tier := targetsBetween(targets, m, size, largest)
		assignments = append(assignments, assignToRanges(tier, m, equalRanges(m.Layers, size))...)
		largest = size - 1
	}
	return assignments
}

func targetsBetween(targets []Target, m Model, smallest, largest int) []Target {
	var tier []Target
	for _, t := range targets {
		if n := maxLayers(t, m); n >= smallest && n <= largest {
			tier = append(tier, t)
		}
	}
	return tier
}

// assignToRanges assigns each target, fastest first, to the range with the lowest rate. Among ranges
// with nearly the same rate it chooses the one with the fewest targets of the same data centre, so
// that the loss of a data centre leaves every range covered where possible.
func assignToRanges(targets []Target, m Model, ranges []layer.Range) []Assignment {
	rates := make([]float64, len(ranges))
	centres := make([]map[string]int, len(ranges))
	for i := range centres {
		centres[i] = map[string]int{}
	}
	assignments := make([]Assignment, 0, len(targets))
	for _, t := range targets {
		chosen := weakestRange(rates, centres, t.DataCentre)
		assignments = append(assignments, Assignment{Target: t.Name, Model: m.Name, Layers: ranges[chosen]})
		rates[chosen] += tokenRate(t, m, ranges[chosen].Len())
		centres[chosen][t.DataCentre]++
	}
	return assignments
}

// weakestRange returns the index of the range that assignToRanges chooses for a target of the data centre.
func weakestRange(rates []float64, centres []map[string]int, centre string) int {
	limit := slices.Min(rates) * nearMinimum
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
