package route

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

var namespace = errorx.NewNamespace("route")

// ErrNotPartition is the type of the error for stages whose ranges do not tile the model's layers.
var ErrNotPartition = namespace.NewType("tiling")

// Request states what a route is needed for.
type Request struct {
	Model       string
	Layers      int       // Layers is the number of layers of the whole model.
	PrefixHash  uint64    // PrefixHash names the prompt's prefix in ObservePrefix; 0 means none.
	PromptBytes int       // PromptBytes is the length of the prompt, from which the cost of the prefill is estimated.
	Excluded    []string  // Avoid names targets that are not chosen.
	Exclusive   bool      // Apart asks for targets that no other Apart request holds; see Picker.Release.
	Now         time.Time // Now is the time of the choice.
}

// Report is what a target last said about its load.
type Report struct {
	Queued   int
	Running  int
	MaxBatch int           // MaxBatch is the number of steps in one batch iteration; 0 counts as 1.
	StepTime time.Duration // StepTime is the time of one batch iteration as the target measured it.
	Measured time.Time     // Measured is when the load was measured, which is before the report arrives.
	Leaving  bool
}

// Route is a list of targets whose ranges tile the model's layers. It is made only by New.
type Route struct {
	Stages []target.Target
}

// New returns the route over stages. The error is of type ErrTiling if their ranges do not tile
// [0, layers) in the order given.
func New(stages []target.Target, layers int) (Route, error) {
	next := 0
	for _, s := range stages {
		if !s.Layers.Valid() || s.Layers.First != next {
			return Route{}, ErrNotPartition.New("stage %s holds layers %s, where layer %d is due", s.Name, s.Layers, next)
		}
		next = s.Layers.End
	}
	if next != layers || layers == 0 {
		return Route{}, ErrNotPartition.New("the stages end at layer %d of %d", next, layers)
	}
	return Route{Stages: stages}, nil
}

// Names returns the names of the route's targets in order.
func (r Route) Names() []string {
	names := make([]string, 0, len(r.Stages))
	for _, s := range r.Stages {
		names = append(names, s.Name)
	}
	return names
}

// NoRouteError reports that no permitted targets tile the model's layers.
type NoRouteError struct {
	Model    string
	Layers   int
	Missing  []layer.Range // Missing are the layers that no target holds. It is empty where the ranges held do not fit together.
	Excluded []layer.Range // Avoided are the layers held only by targets that the request excludes.
}

// Error names the layers that are not available.
func (e *NoRouteError) Error() string {
	switch {
	case len(e.Missing) > 0:
		return fmt.Sprintf("no target holds layers %s of model %s", ranges(e.Missing), e.Model)
	case len(e.Excluded) > 0:
		return fmt.Sprintf("layers %s of model %s are held only by targets that the request excludes", ranges(e.Excluded), e.Model)
	default:
		return fmt.Sprintf("the ranges held of model %s do not tile its %d layers", e.Model, e.Layers)
	}
}

func ranges(list []layer.Range) string {
	texts := make([]string, 0, len(list))
	for _, r := range list {
		texts = append(texts, r.String())
	}
	return strings.Join(texts, ", ")
}

// uncovered returns the parts of [0, layers) that lie in none of held.
func uncovered(held []layer.Range, layers int) []layer.Range {
	slices.SortFunc(held, func(a, b layer.Range) int { return a.First - b.First })
	var gaps []layer.Range
	next := 0
	for _, r := range held {
		if r.First > next {
			gaps = append(gaps, layer.Range{First: next, End: min(r.First, layers)})
		}
		next = max(next, r.End)
	}
	if next < layers {
		gaps = append(gaps, layer.Range{First: next, End: layers})
	}
	return gaps
}
