package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

// weightState is the state of the model weights that the engine holds or loads.
type weightState struct {
	model    string
	version  string
	layers   layer.Range
	adapters []string
	role     string
	fence    uint64
	loading  layer.Range // loading is the range that is being loaded, or empty.
	loads    int         // loads counts the assignments that changed the weights.
}

// loadSample is the load at a point in time.
type loadSample struct {
	at      time.Time
	queued  int
	running int
}

// assign applies an assignment, or refuses it if its fencing token is old.
func (s *Server) assign(a *enginepb.Assignment) *enginepb.AssignmentResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.checksFence && a.Fence < s.weights.fence {
		message := fmt.Sprintf("fencing number %d is older than %d", a.Fence, s.weights.fence)
		return &enginepb.AssignmentResult{Message: message, Fence: s.weights.fence}
	}
	s.weights.fence = max(s.weights.fence, a.Fence)
	s.weights.adapters = slices.Clone(a.Adapters)
	s.weights.role = a.Role
	wanted := layer.Range{First: int(a.FirstLayer), End: int(a.EndLayer)}
	// A repeated assignment doesn't restart the load that is in progress.
	assigned := s.weights.layers
	if s.weights.loading.Valid() {
		assigned = s.weights.loading
	}
	if s.weights.model != a.Model || s.weights.version != a.Version || assigned != wanted {
		s.load(a, wanted)
	}
	return &enginepb.AssignmentResult{Accepted: true, Fence: s.weights.fence}
}

// load drops the held layers and holds the wanted ones after the load time.
func (s *Server) load(a *enginepb.Assignment, wanted layer.Range) {
	s.weights.loads++
	load := s.weights.loads
	s.weights.model, s.weights.version, s.weights.layers, s.weights.loading = a.Model, a.Version, layer.Range{}, wanted
	s.kv = newKvStore(s.options.maxGenerations)
	time.AfterFunc(time.Duration(wanted.Len())*s.options.loadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.weights.loads == load {
			s.weights.layers, s.weights.loading = wanted, layer.Range{}
		}
	})
}

// sampleLoad records the load of the last two report lags, since reports show a delayed load.
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

// report describes the engine, with the newest load sample that is at least as old as the report lag.
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
		Name: s.options.name, Model: s.weights.model, ModelLayers: uint32(s.options.modelLayers),
		FirstLayer: uint32(s.weights.layers.First), EndLayer: uint32(s.weights.layers.End),
		Accelerator: s.options.accelerator.Name, Leaving: s.leaving,
		QueuedSteps: uint32(load.queued), RunningSteps: uint32(load.running), MeasuredUnixMilli: load.at.UnixMilli(),
		StepMicros: uint32(s.stepTime.Microseconds()), Fence: s.weights.fence, ChecksFence: s.options.checksFence,
		MaxBatch: uint32(s.options.maxBatch), Version: s.weights.version, Adapters: s.weights.adapters, Role: s.weights.role,
	}
}
