package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cuminroute/cuminroute/pkg/layer"
)

// Planner makes plans. It has no state; equal inputs give equal plans.
type Planner struct{}

// New returns a planner.
func New() *Planner {
	return &Planner{}
}

// Plan assigns layer ranges to workers.
func (p *Planner) Plan(workers []Target, models []Model) Plan {
	workers = slices.Clone(workers)
	slices.SortFunc(workers, func(a, b Target) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name))
	})
	plan := Plan{}
	plan.Bound, plan.LimitedBy = bound(workers, models)
	if plan.Bound == 0 {
		return plan
	}
	for i, part := range divide(workers, models) {
		plan.Assignments = append(plan.Assignments, planModel(part, models[i])...)
	}
	plan.Throughput = throughput(plan.Assignments, workers, models)
	return plan
}

// divide gives each worker to one model: to the one with the least rate for its share. Models
// that do not have room for all their layers yet go first.
func divide(workers []Target, models []Model) [][]Target {
	parts := make([][]Target, len(models))
	rates := make([]float64, len(models))
	room := make([]int, len(models))
	shares := shares(models)
	for _, w := range workers {
		chosen, least := -1, math.Inf(1)
		for i, m := range models {
			if maxLayers(w, m) == 0 {
				continue
			}
			value := rates[i] / (float64(m.Layers) * shares[i])
			if room[i] < m.Layers {
				value = float64(room[i])/float64(m.Layers) - 1
			}
			if value < least {
				chosen, least = i, value
			}
		}
		if chosen < 0 {
			continue
		}
		m := models[chosen]
		parts[chosen] = append(parts[chosen], w)
		rates[chosen] += layerRate(w, m)
		room[chosen] += maxLayers(w, m)
	}
	return parts
}

// throughput returns the tokens/s that the assignments allow at the models' shares.
func throughput(assignments []Assignment, workers []Target, models []Model) float64 {
	byModel := ratesOf(assignments, workers, models)
	least := math.Inf(1)
	for i, share := range shares(models) {
		least = min(least, byModel[models[i].Name].through(models[i].Layers)/share)
	}
	return least
}

// ratesOf sums the token rates of the assignments for each range of each model.
func ratesOf(assignments []Assignment, workers []Target, models []Model) map[string]flows {
	rates := map[string]flows{}
	byName := workersByName(workers)
	for _, m := range models {
		rates[m.Name] = flows{}
		for _, a := range assignments {
			if a.Model == m.Name {
				rates[m.Name][a.Layers] += tokenRate(byName[a.Target], m, a.Layers.Len())
			}
		}
	}
	return rates
}

func workersByName(workers []Target) map[string]Target {
	byName := make(map[string]Target, len(workers))
	for _, w := range workers {
		byName[w.Name] = w
	}
	return byName
}

// equalRanges cuts layers into ranges of at most the given length, as equal as possible.
func equalRanges(layers, longest int) []layer.Range {
	count := (layers + longest - 1) / longest
	ranges := make([]layer.Range, count)
	for i := range ranges {
		ranges[i] = layer.Range{First: i * layers / count, End: (i + 1) * layers / count}
	}
	return ranges
}
