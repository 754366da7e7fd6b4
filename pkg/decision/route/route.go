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

// ErrNotPartition is the type of the error for stages whose ranges do not cover the model's layers exactly once.
var ErrNotPartition = namespace.NewType("tiling")

// Request describes the request that needs a route.
type Request struct {
	Model       string
	Layers      int       // Layers is the number of layers of the model.
	PrefixHash  uint64    // PrefixHash identifies the prompt's prefix as in UpdatePrefix; 0 means none.
	PromptBytes int       // PromptBytes is the length of the prompt, from which the cost of the prefill is estimated.
	Excluded    []string  // Excluded names targets that must not be chosen.
	Exclusive   bool      // Exclusive asks for targets without another exclusive request; see Picker.ReleaseExclusive.
	Now         time.Time // Now is the current time.
}

// Report is the load that a target last reported.
type Report struct {
	Queued   int           // Queued is the number of queued steps.
	Running  int           // Running is the number of running steps.
	MaxBatch int           // MaxBatch is the number of steps in one batch iteration; 0 counts as 1.
	StepTime time.Duration // StepTime is the time of one batch iteration as the target measured it.
	Measured time.Time     // Measured is when the load was measured, which is earlier than the arrival of the report.
	Leaving  bool          // Leaving means that the target accepts no new work.
}

// Route is a list of targets whose ranges cover the model's layers exactly once. Routes are made only by New, which
// checks this.
type Route struct {
	Stages []target.Target
}

// New returns the route over stages. The error is of type ErrNotPartition if their ranges, in the order given, do not
// cover [0, layers) exactly once.
func New(stages []target.Target, layers int) (Route, error) {
	next := 0
	for _, s := range stages {
		if !s.Layers.Valid() || s.Layers.First != next {
			return Route{}, ErrNotPartition.New("stage %s holds layers %s, but the next layer of the route is %d", s.Name, s.Layers, next)
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

// NoRouteError reports that no permitted targets cover the model's layers exactly once.
type NoRouteError struct {
	Model    string
	Layers   int
	Missing  []layer.Range // Missing are the layers that no target holds, none if the held ranges merely do not fit together.
	Excluded []layer.Range // Excluded are the layers held only by targets that the request excludes.
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

// uncovered returns the parts of [0, layers) that none of the held ranges covers. It sorts held in place.
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
