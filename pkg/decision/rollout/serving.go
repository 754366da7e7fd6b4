package rollout

import (
	"github.com/cuminroute/cuminroute/pkg/layer"
)

// HeldLayers is the version and layers of a model that a target accepting requests holds.
type HeldLayers struct {
	Version string
	Layers  layer.Range
}

// ServingVersion returns the version of a model whose targets serve: among the versions that cover
// every layer, the one with the most targets, and on a tie the desired one. If no version covers
// every layer, it is the desired one.
func ServingVersion(held []HeldLayers, layers int, desired string) string {
	ranges := map[string][]layer.Range{}
	for _, h := range held {
		ranges[h.Version] = append(ranges[h.Version], h.Layers)
	}
	best, most := desired, 0
	if Covers(ranges[desired], layers) {
		most = len(ranges[desired])
	}
	for version, list := range ranges {
		if (len(list) > most || len(list) == most && best != desired && version < best) && Covers(list, layers) {
			best, most = version, len(list)
		}
	}
	return best
}

// Covers reports whether some of the ranges, placed end to end, form [0, layers).
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

// servedWithout reports whether every model that is served now is still served when the named target
// changes too.
func (t *iteration) servedWithout(name string) bool {
	for _, m := range t.spec.Models {
		if t.isServed(m.Name, m.Layers, "") && !t.isServed(m.Name, m.Layers, name) {
			return false
		}
	}
	return true
}

// isServed reports whether some version of the model is complete on targets that are not changing, are
// not the excluded one, and whose layers every instance has received.
func (t *iteration) isServed(model string, layers int, excluded string) bool {
	ranges := map[string][]layer.Range{}
	for name, target := range t.targets {
		if held := target.Reported; t.changes[name] == nil && name != excluded && held.Model == model && t.propagated(name) {
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
