package daemon

import (
	"context"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/decision/rollout"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// startupPolls is the number of reports that are requested at each tick of the report ticker until the
// instance knows enough engines, which makes 64 reports per second. At the usual 8 reports per second, a
// new instance of a fleet of 40 engines would refuse requests for 5 s.
const startupPolls = 8

// startupAttempts is how often an engine that does not respond is polled before the instance serves
// without that engine. A single lost poll on a busy host must not make the instance ready without any engine.
const startupAttempts = 3

// pollReports requests the next reports, startupPolls of them while the instance does not know enough engines.
// It then updates routesKnown.
func (c *control) pollReports(ctx context.Context) {
	polls := 1
	if !c.routesKnown.Load() {
		polls = startupPolls
	}
	for range polls {
		c.pollNextReport(ctx)
	}
	c.updateRoutesKnown()
}

// updateRoutesKnown sets routesKnown once the instance knows enough engines to serve: the model of every
// pipeline has a route, or every listed engine has responded or was polled several times. The flag is never
// cleared, since a loss of engines must not make the load balancer take all instances out of service.
func (c *control) updateRoutesKnown() {
	if c.routesKnown.Load() || !c.listed.Load() || !c.d.node.View().Ready() {
		return
	}
	if c.allEnginesPolled() || c.allPipelinesRoutable(c.d.configuration.current()) {
		c.routesKnown.Store(true)
	}
}

// allEnginesPolled reports whether every listed engine has responded or failed startupAttempts times.
func (c *control) allEnginesPolled() bool {
	for _, view := range c.engines {
		if view.requestedAt.IsZero() && view.failures < startupAttempts {
			return false
		}
	}
	return true
}

// allPipelinesRoutable reports whether the known engines hold every layer of the model of each pipeline.
func (c *control) allPipelinesRoutable(active *configuration.Configuration) bool {
	held := make(map[string][]layer.Range)
	for _, t := range *c.targets.Load() {
		if t.Kind == target.Engine && t.AcceptsRequests() && t.Layers.Valid() {
			held[t.Model] = append(held[t.Model], t.Layers)
		}
	}
	for _, w := range active.Workspaces {
		for _, p := range w.Pipelines {
			model, known := active.Model(p.Model)
			if known && !rollout.Covers(held[p.Model], model.Layers) {
				return false
			}
		}
	}
	return true
}
