package gateway

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// layerReport holds the layers that a target reported ahead of its entry.
type layerReport struct {
	layers layer.Range
	until  time.Time // until is when the report expires.
}

// applyReport uses the layers that a target reported in place of its entry's layers, until reportTTL expires or the
// layers of the entry change or agree. It publishes a new snapshot.
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

// target returns a target as last published in a snapshot.
func (s *stateCache) target(name string) (target.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.published[name]; t != nil {
		return *t, true
	}
	return target.Target{}, false
}

// put replaces the stored entry of a target, or deletes it if e is nil, and updates the digests.
func (s *stateCache) put(name string, e *entry) {
	difference := uint64(0)
	if old := s.targets[name]; old != nil {
		difference ^= old.digest
	}
	if e == nil {
		delete(s.targets, name)
	} else {
		s.targets[name] = e
		difference ^= e.digest
	}
	s.digest.Store(s.digest.Load() ^ difference)
	s.buckets[bucketOf(name)] ^= difference
	s.changed[name] = true
}

// mergeReport returns a target with the layers of its last report in place of its entry's, or nil if the target has no
// valid entry. It deletes the report once the entry shows the same layers.
func (s *stateCache) mergeReport(name string) *target.Target {
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

// publish replaces the snapshot by one with the changed entries, and calls onDrain for the targets to drain.
// Services that have not changed share their targets with the previous snapshot. The lock must be held.
func (s *stateCache) publish() {
	if s.catalogue == nil || !s.targetsLoaded {
		// Before the catalogue and the target list are loaded, a snapshot would make the proxy refuse requests that it
		// can serve.
		return
	}
	next := &proxy.Snapshot{Catalogue: s.catalogue, Targets: make(map[string]*proxy.Pool)}
	if old := s.snapshot.Load(); old != nil {
		maps.Copy(next.Targets, old.Targets)
	}
	drained, added := s.updatePublished()
	for service, list := range added {
		kept := make([]*target.Target, 0, len(next.Targets[service].Targets())+len(list))
		for _, t := range next.Targets[service].Targets() {
			if s.published[t.Name] == t {
				kept = append(kept, t)
			}
		}
		next.Targets[service] = proxy.NewPool(append(kept, list...)...)
	}
	s.snapshot.Store(next)
	for _, t := range drained {
		s.onDrain(*t)
	}
}

// updatePublished applies the changed entries to the published targets. It returns the targets to drain, which were
// removed, stopped accepting requests or no longer have all their layers, and, for each service that has changed, the
// new and changed targets.
func (s *stateCache) updatePublished() (drained []*target.Target, added map[string][]*target.Target) {
	added = make(map[string][]*target.Target)
	for name := range s.changed {
		before, after := s.published[name], s.mergeReport(name)
		if before != nil && after != nil && *before == *after {
			continue
		}
		if before != nil {
			delete(s.published, name)
			if _, ok := added[before.Service]; !ok {
				added[before.Service] = nil // The service has changed, even if no target is added to it.
			}
		}
		if after != nil {
			s.published[name] = after
			added[after.Service] = append(added[after.Service], after)
		}
		if before != nil && before.Layers.Valid() && before.AcceptsRequests() &&
			(after == nil || !after.AcceptsRequests() || !after.Layers.Contains(before.Layers)) {
			drained = append(drained, before)
		}
	}
	clear(s.changed)
	return drained, added
}

// targetDigest returns a hash of the fields that instances compare to detect that their target lists differ.
func targetDigest(t target.Target) uint64 {
	return xxhash.Sum64String(t.Name + " " + t.Address.String() + " " + string(t.State) + " " + t.Layers.String() + " " + t.Service)
}

// allTargets returns the targets of all services in the snapshot.
func (s *stateCache) allTargets() []target.Target {
	snapshot := s.Snapshot()
	if snapshot == nil {
		return nil
	}
	var targets []target.Target
	for _, pool := range snapshot.Targets {
		for _, t := range pool.Targets() {
			targets = append(targets, *t)
		}
	}
	return targets
}
