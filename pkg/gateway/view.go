package gateway

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/proxy"
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
	k.changed[name] = true
	k.logger.Info().Str("Target", name).Str("Layers", layers.String()).Msg("target reported its layers")
	k.publish()
}

// target returns what is known of a target.
func (k *knowledge) target(name string) (target.Target, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.shown[name]; t != nil {
		return *t, true
	}
	return target.Target{}, false
}

// put replaces an entry, or drops it if the new one is nil.
func (k *knowledge) put(name string, l *listed) {
	digest := k.digest.Load()
	if old := k.targets[name]; old != nil {
		digest ^= old.digest
	}
	if l == nil {
		delete(k.targets, name)
	} else {
		k.targets[name] = l
		digest ^= l.digest
	}
	k.digest.Store(digest)
	k.changed[name] = true
}

// current returns a target as its entry and its last report say, or nil if it is not there.
func (k *knowledge) current(name string) *target.Target {
	l := k.targets[name]
	if l == nil || l.refused {
		return nil
	}
	t := l.target
	if h, ok := k.heard[name]; ok {
		if t.Layers == h.layers {
			delete(k.heard, name)
		}
		t.Layers = h.layers
	}
	return &t
}

// publish replaces the view by one with the entries that have changed. What has not changed is shared with the view
// before. The lock must be held.
func (k *knowledge) publish() {
	if k.catalogue == nil || !k.listed {
		return // Without a list, requests would be refused for want of targets that are there.
	}
	v := &proxy.Snapshot{Catalogue: k.catalogue, Targets: make(map[string]*proxy.Pool)}
	if old := k.view.Load(); old != nil {
		maps.Copy(v.Targets, old.Targets)
	}
	vacated, added := k.update()
	for service, list := range added {
		kept := make([]*target.Target, 0, len(v.Targets[service].Targets())+len(list))
		for _, t := range v.Targets[service].Targets() {
			if k.shown[t.Name] == t {
				kept = append(kept, t)
			}
		}
		v.Targets[service] = proxy.NewPool(append(kept, list...)...)
	}
	k.view.Store(v)
	for _, t := range vacated {
		k.vacated(*t)
	}
}

// update takes the changed entries into the targets shown. It returns those that gave up layers or are leaving, and
// what is new in each service that has changed.
func (k *knowledge) update() (vacated []*target.Target, added map[string][]*target.Target) {
	added = make(map[string][]*target.Target)
	for name := range k.changed {
		before, after := k.shown[name], k.current(name)
		if before != nil && after != nil && *before == *after {
			continue
		}
		if before != nil {
			delete(k.shown, name)
			if _, ok := added[before.Service]; !ok {
				added[before.Service] = nil // The service has changed, though nothing may be added.
			}
		}
		if after != nil {
			k.shown[name] = after
			added[after.Service] = append(added[after.Service], after)
		}
		if before != nil && before.Layers.Valid() && before.AcceptsRequests() &&
			(after == nil || !after.AcceptsRequests() || !after.Layers.Contains(before.Layers)) {
			vacated = append(vacated, before)
		}
	}
	clear(k.changed)
	return vacated, added
}

// digestOf is a hash of what other instances must know of a target.
func digestOf(t target.Target) uint64 {
	return xxhash.Sum64String(t.Name + " " + t.Address.String() + " " + string(t.State) + " " + t.Layers.String() + " " + t.Service)
}

// all returns the targets of all services.
func (k *knowledge) all() []target.Target {
	view := k.Snapshot()
	if view == nil {
		return nil
	}
	var all []target.Target
	for _, pool := range view.Targets {
		for _, t := range pool.Targets() {
			all = append(all, *t)
		}
	}
	return all
}
