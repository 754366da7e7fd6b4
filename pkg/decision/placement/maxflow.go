package placement

import (
	"math"
	"slices"

	"github.com/cuminroute/cuminroute/pkg/layer"
)

// flows is the token rate of each range of one model.
type flows map[layer.Range]float64

// through returns the maximum flow of tokens/s from layer 0 to the end of the model: ranges are
// edges between layer boundaries.
func (f flows) through(layers int) float64 {
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
	target, _ := slices.BinarySearch(nodes, layers)
	total := 0.0
	for {
		added := augment(residual, target)
		if added == 0 {
			return total
		}
		total += added
	}
}

func (f flows) boundaries(layers int) []int {
	nodes := []int{0, layers}
	for r := range f {
		nodes = append(nodes, r.First, r.End)
	}
	slices.Sort(nodes)
	return slices.Compact(nodes)
}

// augment sends flow along a shortest path from node 0 to target, and returns how much. Shortest
// paths bound the number of rounds (Edmonds and Karp).
func augment(residual [][]float64, target int) float64 {
	from := make([]int, len(residual))
	for i := range from {
		from[i] = -1
	}
	from[0] = 0
	queue := []int{0}
	for len(queue) > 0 && from[target] < 0 {
		at := queue[0]
		queue = queue[1:]
		for to, left := range residual[at] {
			if left > 1e-9 && from[to] < 0 {
				from[to] = at
				queue = append(queue, to)
			}
		}
	}
	if from[target] < 0 {
		return 0
	}
	added := math.Inf(1)
	for at := target; at != 0; at = from[at] {
		added = min(added, residual[from[at]][at])
	}
	for at := target; at != 0; at = from[at] {
		residual[from[at]][at] -= added
		residual[at][from[at]] += added
	}
	return added
}
