package placement

import (
	"math"
	"slices"

	"github.com/cuminroute/cuminroute/pkg/layer"
)

// rangeRates holds, for each range of one model, the sum of the token rates of the targets with that
// range.
type rangeRates map[layer.Range]float64

// maxFlow returns the maximum flow of tokens/s from layer 0 to the end of the model, in the graph
// whose nodes are layer boundaries and whose edges are the ranges. This is the model's flow.
func (f rangeRates) maxFlow(layers int) float64 {
	nodes := f.boundaries(layers)
	residual := make([][]float64, len(nodes))
	for i := range residual {
		residual[i] = make([]float64, len(nodes))
	}
	for r, rate := range f {
		from, _ := slices.BinarySearch(nodes, r.First)
		to, _ := slices.BinarySearch(nodes, r.End)
		residual[from][to] += rate
	}
	sink, _ := slices.BinarySearch(nodes, layers)
	total := 0.0
	for {
		added := augment(residual, sink)
		if added == 0 {
			return total
		}
		total += added
	}
}

// boundaries returns the distinct layer boundaries of the ranges in ascending order.
func (f rangeRates) boundaries(layers int) []int {
	nodes := []int{0, layers}
	for r := range f {
		nodes = append(nodes, r.First, r.End)
	}
	slices.Sort(nodes)
	return slices.Compact(nodes)
}

// augment adds flow along a shortest augmenting path from node 0 to sink, and returns the added
// amount, 0 when there is no path. Shortest paths bound the number of rounds (Edmonds-Karp).
func augment(residual [][]float64, sink int) float64 {
	from := make([]int, len(residual))
	for i := range from {
		from[i] = -1
	}
	from[0] = 0
	queue := []int{0}
	for len(queue) > 0 && from[sink] < 0 {
		at := queue[0]
		queue = queue[1:]
		for to, left := range residual[at] {
			if left > 1e-9 && from[to] < 0 {
				from[to] = at
				queue = append(queue, to)
			}
		}
	}
	if from[sink] < 0 {
		return 0
	}
	added := math.Inf(1)
	for at := sink; at != 0; at = from[at] {
		added = min(added, residual[from[at]][at])
	}
	for at := sink; at != 0; at = from[at] {
		residual[from[at]][at] -= added
		residual[at][from[at]] += added
	}
	return added
}
