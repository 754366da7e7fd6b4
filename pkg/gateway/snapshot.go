package gateway

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// layerReport is the layers that a target reported.
type layerReport struct {
	layers layer.Range
	until  time.Time
}

// applyReport applies a target's report of its layers.
func (s *stateCache) applyReport(name string, layers layer.Range, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.targets[name]
	if e == nil || e.invalid {
		return
	}
	s.reports[name] = layerReport{layers: layers, until: now.Add(reportTTL)}
	s.changed[name] = true
	s.logger.Info().Str("Target", name).Str("Layers", layers.String()).Msg("target reported its layers")
	s.publish()
}

// target returns a target as it was last published.
func (s *stateCache) target(name string) (target.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.published[name]; t != nil {
		return *t, true
	}
	return target.Target{}, false
}

// put replaces an entry, or drops it if the new one is nil.
func (s *stateCache) put(name string, e *entry) {
	digest := s.digest.Load()
	if old := s.targets[name]; old != nil {
		digest ^= old.digest
	}
	if e == nil {
		delete(s.targets, name)
	} else {
		s.targets[name] = e
		digest ^= e.digest
	}
	s.digest.Store(digest)
	s.changed[name] = true
}

// current returns a target as its entry and its last report describe it, or nil if it has no valid entry.
func (s *stateCache) current(name string) *target.Target {
	e := s.targets[name]
	if e == nil || e.invalid {
		return nil
	}
	t := e.target
	if report, ok := s.reports[name]; ok {
		if t.Layers == report.layers {
			delete(s.reports, name)
		}
		t.Layers = report.layers
	}
	return &t
}

// publish replaces the snapshot by one with the changed entries. Services that have not changed share their targets with
// the previous snapshot. The lock must be held.
func (s *stateCache) publish() {
	if s.catalogue == nil || !s.targetsLoaded {
		return // Without the list, requests would be refused although there are targets for them.
	}
	v := &proxy.Snapshot{Catalogue: s.catalogue, Targets: make(map[string]*proxy.Pool)}
	if old := s.snapshot.Load(); old != nil {
		maps.Copy(v.Targets, old.Targets)
	}
	released, added := s.updatePublished()
	for service, list := range added {
		kept := make([]*target.Target, 0, len(v.Targets[service].Targets())+len(list))
		for _, t := range v.Targets[service].Targets() {
			if s.published[t.Name] == t {
				kept = append(kept, t)
			}
		}
		v.Targets[service] = proxy.NewPool(append(kept, list...)...)
	}
	s.snapshot.Store(v)
	for _, t := range released {
		s.onRelease(*t)
	}
}

// updatePublished applies the changed entries to the published targets. It returns the targets that release layers or
// leave, and the added targets of each service that has changed.
func (s *stateCache) updatePublished() (released []*target.Target, added map[string][]*target.Target) {
	added = make(map[string][]*target.Target)
	for name := range s.changed {
		before, after := s.published[name], s.current(name)
		if before != nil && after != nil && *before == *after {
			continue
		}
		if before != nil {
			delete(s.published, name)
			if _, ok := added[before.Service]; !ok {
				added[before.Service] = nil // The service has changed, though nothing may be added.
			}
		}
		if after != nil {
			s.published[name] = after
			added[after.Service] = append(added[after.Service], after)
		}
		if before != nil && before.Layers.Valid() && before.AcceptsRequests() &&
			(after == nil || !after.AcceptsRequests() || !after.Layers.Contains(before.Layers)) {
			released = append(released, before)
		}
	}
	clear(s.changed)
	return released, added
}

// targetDigest is a hash of what other instances must know of a target.
func targetDigest(t target.Target) uint64 {
	return xxhash.Sum64String(t.Name + " " + t.Address.String() + " " + string(t.State) + " " + t.Layers.String() + " " + t.Service)
}

// all returns the targets of all services.
func (s *stateCache) all() []target.Target {
	snapshot := s.Snapshot()
	if snapshot == nil {
		return nil
	}
	var all []target.Target
	for _, pool := range snapshot.Targets {
		for _, t := range pool.Targets() {
			all = append(all, *t)
		}
	}
	return all
}
