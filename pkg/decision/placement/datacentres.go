package placement

import "github.com/cuminroute/cuminroute/pkg/layer"

// spreadOverDataCentres swaps targets of equal rate, link and memory between ranges, so that a range
// with several targets does not have all of them in one data centre. The rates of the ranges stay
// the same.
func spreadOverDataCentres(assignments []Assignment, byName map[string]Target) {
	members := map[layer.Range][]int{}
	var order []layer.Range
	for i, a := range assignments {
		if _, known := members[a.Layers]; !known {
			order = append(order, a.Layers)
		}
		members[a.Layers] = append(members[a.Layers], i)
	}
	for _, r := range order {
		if len(members[r]) > 1 && countDataCentres(members[r], assignments, byName) == 1 {
			swapTarget(r, members, assignments, byName)
		}
	}
}

// swapTarget swaps one of a range's targets with an equal target of another data centre, provided
// that the other target's range still spans several data centres or has only one target.
func swapTarget(r layer.Range, members map[layer.Range][]int, assignments []Assignment, byName map[string]Target) {
	for _, i := range members[r] {
		for j, other := range assignments {
			t, v := byName[assignments[i].Target], byName[other.Target]
			if t.DataCentre == v.DataCentre || t.Rate != v.Rate || t.Link != v.Link || t.Memory != v.Memory {
				continue
			}
			assignments[i].Target, assignments[j].Target = v.Name, t.Name
			otherMembers := members[other.Layers]
			if len(otherMembers) == 1 || countDataCentres(otherMembers, assignments, byName) > 1 {
				return
			}
			assignments[i].Target, assignments[j].Target = t.Name, v.Name
		}
	}
}

func countDataCentres(members []int, assignments []Assignment, byName map[string]Target) int {
	centres := map[string]bool{}
	for _, i := range members {
		centres[byName[assignments[i].Target].DataCentre] = true
	}
	return len(centres)
}
