package placement

import "github.com/cuminroute/cuminroute/pkg/layer"

// separate exchanges workers of equal rate and memory between ranges, so that a range with several
// workers does not have all of them in one data centre. The rates of the ranges stay the same.
func separate(assignments []Assignment, byName map[string]Target) {
	members := map[layer.Range][]int{}
	var order []layer.Range
	for i, a := range assignments {
		if _, known := members[a.Layers]; !known {
			order = append(order, a.Layers)
		}
		members[a.Layers] = append(members[a.Layers], i)
	}
	for _, r := range order {
		if len(members[r]) > 1 && centresOf(members[r], assignments, byName) == 1 {
			exchange(r, members, assignments, byName)
		}
	}
}

// exchange swaps one of a range's workers with a like worker of another data centre, whose range stays
// in several data centres.
func exchange(r layer.Range, members map[layer.Range][]int, assignments []Assignment, byName map[string]Target) {
	for _, i := range members[r] {
		for j, other := range assignments {
			w, v := byName[assignments[i].Target], byName[other.Target]
			if w.DataCentre == v.DataCentre || w.Rate != v.Rate || w.Link != v.Link || w.Memory != v.Memory {
				continue
			}
			assignments[i].Target, assignments[j].Target = v.Name, w.Name
			theirs := members[other.Layers]
			if len(theirs) == 1 || centresOf(theirs, assignments, byName) > 1 {
				return
			}
			assignments[i].Target, assignments[j].Target = w.Name, v.Name
		}
	}
}

func centresOf(members []int, assignments []Assignment, byName map[string]Target) int {
	centres := map[string]bool{}
	for _, i := range members {
		centres[byName[assignments[i].Target].DataCentre] = true
	}
	return len(centres)
}
