package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

// holding is what the engine has loaded.
type holding struct {
	model    string
	version  string
	layers   layer.Range
	adapters []string
	role     string
	fence    uint64
	loading  layer.Range // loading is the range that is being loaded, empty if none is.
	loads    int         // loads counts the orders that changed what is held.
}

// loadSample is the load at one time.
type loadSample struct {
	at      time.Time
	queued  int
	running int
}

// order brings the engine to the desired state, or refuses where the fencing number is old.
func (s *Server) order(o *enginepb.Assignment) *enginepb.AssignmentResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.checksFence && o.Fence < s.held.fence {
		message := fmt.Sprintf("fencing number %d is older than %d", o.Fence, s.held.fence)
		return &enginepb.AssignmentResult{Message: message, Fence: s.held.fence}
	}
	s.held.fence = max(s.held.fence, o.Fence)
	s.held.adapters = slices.Clone(o.Adapters)
	s.held.role = o.Role
	wanted := layer.Range{First: int(o.FirstLayer), End: int(o.EndLayer)}
	// An order that repeats what is being loaded does not start the load anew.
	aim := s.held.layers
	if s.held.loading.Valid() {
		aim = s.held.loading
	}
	if s.held.model != o.Model || s.held.version != o.Version || aim != wanted {
		s.load(o, wanted)
	}
	return &enginepb.AssignmentResult{Accepted: true, Fence: s.held.fence}
}

// load drops what is held and holds the wanted layers once they are loaded.
func (s *Server) load(o *enginepb.Assignment, wanted layer.Range) {
	s.held.loads++
	load := s.held.loads
	s.held.model, s.held.version, s.held.layers, s.held.loading = o.Model, o.Version, layer.Range{}, wanted
	s.kv = newKvMemory(s.options.generations)
	time.AfterFunc(time.Duration(wanted.Len())*s.options.loadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.held.loads == load {
			s.held.layers, s.held.loading = wanted, layer.Range{}
		}
	})
}

// sampleLoad keeps the load of the last report lags, as reports show an old one.
func (s *Server) sampleLoad() {
	const samplesPerLag = 4
	ticker := time.NewTicker(max(s.options.reportLag/samplesPerLag, 10*time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-s.closed:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			s.samples = append(s.samples, loadSample{now, len(s.queue), s.running})
			if len(s.samples) > 2*samplesPerLag {
				s.samples = s.samples[1:]
			}
			s.mu.Unlock()
		}
	}
}

// report describes the engine, with the newest load that is as old as the lag.
func (s *Server) report(now time.Time) *enginepb.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := loadSample{at: now.Add(-s.options.reportLag)}
	for _, sample := range s.samples {
		if now.Sub(sample.at) >= s.options.reportLag {
			load = sample
		}
	}
	return &enginepb.Report{
		Name: s.options.name, Model: s.held.model, ModelLayers: uint32(s.options.modelLayers),
		FirstLayer: uint32(s.held.layers.First), EndLayer: uint32(s.held.layers.End),
		Accelerator: s.options.accelerator.Name, Leaving: s.leaving,
		QueuedSteps: uint32(load.queued), RunningSteps: uint32(load.running), MeasuredUnixMilli: load.at.UnixMilli(),
		StepMicros: uint32(s.stepTime.Microseconds()), Fence: s.held.fence, ChecksFence: s.options.checksFence,
		MaxBatch: uint32(s.options.maxBatch), Version: s.held.version, Adapters: s.held.adapters, Role: s.held.role,
	}
}
