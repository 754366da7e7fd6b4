package station

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminroute/cuminroute/pkg/exchange"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// heard is what a target reported.
type heard struct {
	layers layer.Range
	until  time.Time
}

// hear takes in that a target reported its layers.
func (k *knowledge) hear(name string, layers layer.Range, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.targets[name]
	if l == nil || l.refused {
		return
	}
	k.heard[name] = heard{layers: layers, until: now.Add(heardLife)}
	k.logger.Info().Str("Target", name).Str("Layers", layers.String()).Msg("target reported its layers")
	k.publish()
}

// target returns what is known of a target.
func (k *knowledge) target(name string) (target.Target, bool) {
	all := k.all()
	i := slices.IndexFunc(all, func(t target.Target) bool { return t.Name == name })
	if i < 0 {
		return target.Target{}, false
	}
	return all[i], true
}

// publish replaces the view. The lock must be held.
func (k *knowledge) publish() {
	if k.catalogue == nil || !k.listed {
		return // Without a list, requests would be refused for want of targets that are there.
	}
	v := &exchange.View{Catalogue: k.catalogue, Targets: make(map[string][]target.Target)}
	digest := uint64(0)
	for _, l := range k.targets {
		if l.refused {
			continue
		}
		t := l.target
		digest ^= digestOf(t)
		if h, ok := k.heard[t.Name]; ok {
			if t.Layers == h.layers || time.Now().After(h.until) {
				delete(k.heard, t.Name)
			} else {
				t.Layers = h.layers
			}
		}
		v.Targets[t.Service] = append(v.Targets[t.Service], t)
	}
	k.digest.Store(digest)
	k.vacate(k.view.Swap(v), v)
}

// vacate tells of targets that gave up layers or are leaving.
func (k *knowledge) vacate(old, now *exchange.View) {
	if old == nil {
		return
	}
	present := make(map[string]target.Target)
	for _, list := range now.Targets {
		for _, t := range list {
			present[t.Name] = t
		}
	}
	for _, list := range old.Targets {
		for _, before := range list {
			after, ok := present[before.Name]
			if before.Layers.Valid() && before.Accepting() && (!ok || !after.Accepting() || !after.Layers.Contains(before.Layers)) {
				k.vacated(before)
			}
		}
	}
}

// digestOf is a hash of what other instances must know of a target.
func digestOf(t target.Target) uint64 {
	return xxhash.Sum64String(t.Name + " " + t.Address.String() + " " + string(t.State) + " " + t.Layers.String() + " " + t.Service)
}

// all returns the targets of all services.
func (k *knowledge) all() []target.Target {
	view := k.View()
	if view == nil {
		return nil
	}
	return slices.Concat(slices.Collect(maps.Values(view.Targets))...)
}
