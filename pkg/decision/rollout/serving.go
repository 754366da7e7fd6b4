package rollout

import (
	"github.com/cuminroute/cuminroute/pkg/layer"
)

// HeldLayers is what one target that accepts work holds of a model.
type HeldLayers struct {
	Version string
	Layers  layer.Range
}

// ServingVersion returns the version of a model whose targets are to serve: of those that cover every
// layer, the one with the most targets, and the wanted one among equals. Without a version that
// covers every layer it is the wanted one.
func ServingVersion(held []HeldLayers, layers int, wanted string) string {
	ranges := map[string][]layer.Range{}
	for _, h := range held {
		ranges[h.Version] = append(ranges[h.Version], h.Layers)
	}
	best, most := wanted, 0
	if Covers(ranges[wanted], layers) {
		most = len(ranges[wanted])
	}
	for version, list := range ranges {
		if (len(list) > most || len(list) == most && best != wanted && version < best) && Covers(list, layers) {
			best, most = version, len(list)
		}
	}
	return best
}

// Covers reports whether some of the ranges, put end to end, are [0, layers).
func Covers(held []layer.Range, layers int) bool {
	boundaries := map[int]bool{0: true}
	for grown := true; grown; {
		grown = false
		for _, r := range held {
			if r.Valid() && boundaries[r.First] && !boundaries[r.End] {
				boundaries[r.End], grown = true, true
			}
		}
	}
	return layers > 0 && boundaries[layers]
}

// servedWithout reports whether every model that is served now stays served when the target
// changes as well.
func (t *turn) servedWithout(name string) bool {
	for _, m := range t.goal.Models {
		if t.served(m.Name, m.Layers, "") && !t.served(m.Name, m.Layers, name) {
			return false
		}
	}
	return true
}

// served reports whether one version of the model is held whole by targets that do not change, do
// not have the excluded name, and are known to every instance to hold it.
func (t *turn) served(model string, layers int, excluded string) bool {
	ranges := map[string][]layer.Range{}
	for name, target := range t.targets {
		if held := target.Reported; t.changes[name] == nil && name != excluded && held.Model == model && t.known(name) {
			ranges[held.Version] = append(ranges[held.Version], held.Layers)
		}
	}
	for _, list := range ranges {
		if Covers(list, layers) {
			return true
		}
	}
	return false
}
