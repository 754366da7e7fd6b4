package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cuminroute/cuminroute/pkg/layer"
)

// Planner computes plans. It is stateless and deterministic.
type Planner struct{}

// New returns a planner.
func New() *Planner {
	return &Planner{}
}

// Plan assigns layer ranges to targets.
func (p *Planner) Plan(targets []Target, models []Model) Plan {
	targets = slices.Clone(targets)
	slices.SortFunc(targets, func(a, b Target) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name))
	})
	plan := Plan{}
	plan.Bound, plan.LimitedBy = bound(targets, models)
	if plan.Bound == 0 {
		return plan
	}
	for i, group := range divideTargets(targets, models) {
		plan.Assignments = append(plan.Assignments, planModel(group, models[i])...)
	}
	plan.Throughput = throughput(plan.Assignments, targets, models)
	return plan
}

// divideTargets assigns each target to one model: the one with the lowest rate relative to its token
// fraction. Models whose targets do not yet have memory for all layers take precedence.
func divideTargets(targets []Target, models []Model) [][]Target {
	groups := make([][]Target, len(models))
	rates := make([]float64, len(models))
	room := make([]int, len(models))
	fractions := tokenFractions(models)
	for _, t := range targets {
		chosen, least := -1, math.Inf(1)
		for i, m := range models {
			if maxLayers(t, m) == 0 {
				continue
			}
			value := rates[i] / (float64(m.Layers) * fractions[i])
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
		groups[chosen] = append(groups[chosen], t)
		rates[chosen] += bestLayerRate(t, m)
		room[chosen] += maxLayers(t, m)
	}
	return groups
}

// throughput returns the tokens/s that the assignments allow at the models' token fractions.
func throughput(assignments []Assignment, targets []Target, models []Model) float64 {
	byModel := ratesByModel(assignments, targets, models)
	least := math.Inf(1)
	for i, fraction := range tokenFractions(models) {
		least = min(least, byModel[models[i].Name].maxFlow(models[i].Layers)/fraction)
	}
	return least
}

// ratesByModel sums the token rates of the assignments for each range of each model.
func ratesByModel(assignments []Assignment, targets []Target, models []Model) map[string]rangeRates {
	rates := map[string]rangeRates{}
	byName := targetsByName(targets)
	for _, m := range models {
		rates[m.Name] = rangeRates{}
		for _, a := range assignments {
			if a.Model == m.Name {
				rates[m.Name][a.Layers] += tokenRate(byName[a.Target], m, a.Layers.Len())
			}
		}
	}
	return rates
}

func targetsByName(targets []Target) map[string]Target {
	byName := make(map[string]Target, len(targets))
	for _, t := range targets {
		byName[t.Name] = t
	}
	return byName
}

// equalRanges splits a model's layers into ranges of nearly equal length, at most longest each.
func equalRanges(layers, longest int) []layer.Range {
	count := (layers + longest - 1) / longest
	ranges := make([]layer.Range, count)
	for i := range ranges {
		ranges[i] = layer.Range{First: i * layers / count, End: (i + 1) * layers / count}
	}
	return ranges
}
