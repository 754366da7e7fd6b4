package placementcontroller

import (
	"cmp"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/decision/placement"
	"github.com/cuminroute/cuminroute/pkg/decision/rollout"
)

// goalOf returns what the configuration wants, with its defaults.
func goalOf(c *configuration.Configuration) rollout.Spec {
	goal := rollout.Spec{Versions: map[string]string{}, LoadRate: float64(c.HeadOffice.Placement.Rate())}
	for _, m := range c.HeadOffice.Models {
		m = m.WithDefaults()
		goal.Versions[m.Name] = m.Version
		goal.Models = append(goal.Models, placement.Model{
			Name: m.Name, Layers: m.Layers, LayerBytes: int64(m.LayerBytes), LayerCost: float64(m.LayerCost),
			ActivationBytes: int64(m.ActivationBytes), TokenFraction: float64(m.Share),
		})
	}
	return goal
}

func acceleratorOf(c *configuration.Configuration, name string) (configuration.Accelerator, bool) {
	for _, a := range c.HeadOffice.Accelerators {
		if a.Name == name {
			return a, true
		}
	}
	return configuration.Accelerator{}, false
}

func byName(a, b placement.Target) int {
	return cmp.Compare(a.Name, b.Name)
}
