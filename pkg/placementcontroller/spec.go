package placementcontroller

import (
	"cmp"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/decision/placement"
	"github.com/cuminroute/cuminroute/pkg/decision/rollout"
)

// newSpec returns the desired state from the configuration, with its defaults.
func newSpec(cfg *configuration.Configuration) rollout.Spec {
	spec := rollout.Spec{Versions: map[string]string{}, LoadRate: float64(cfg.HeadOffice.Placement.Rate())}
	for _, m := range cfg.HeadOffice.Models {
		m = m.WithDefaults()
		spec.Versions[m.Name] = m.Version
		spec.Models = append(spec.Models, placement.Model{
			Name: m.Name, Layers: m.Layers, LayerBytes: int64(m.LayerBytes), LayerCost: float64(m.LayerCost),
			ActivationBytes: int64(m.ActivationBytes), TokenFraction: float64(m.Share),
		})
	}
	return spec
}

func findAccelerator(cfg *configuration.Configuration, name string) (configuration.Accelerator, bool) {
	for _, a := range cfg.HeadOffice.Accelerators {
		if a.Name == name {
			return a, true
		}
	}
	return configuration.Accelerator{}, false
}

func byName(a, b placement.Target) int {
	return cmp.Compare(a.Name, b.Name)
}
