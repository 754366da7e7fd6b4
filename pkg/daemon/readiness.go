package daemon

import (
	"context"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/decision/rollout"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// startReports is how many reports are read at each poll until the instance knows the engines, 64
// a second. At the usual 8 a second, a new instance of a fleet of 40 engines would refuse answers for 5 s.
const startReports = 8

// startAttempts is how often an engine that does not answer is asked before the instance serves
// without it. A single lost poll on a busy machine must not make it ready without any engine.
const startAttempts = 3

// pollReports reads some more reports, of which a new instance needs many at once.
func (c *control) pollReports(ctx context.Context) {
	polls := 1
	if !c.routed.Load() {
		polls = startReports
	}
	for range polls {
		c.pollNextReport(ctx)
	}
	c.learnRoutes()
}

// learnRoutes notes when the instance knows enough of the engines to serve: every model that is
// offered has a route, or every listed engine has answered or was asked several times. It stays
// noted afterwards, since the loss of engines is not a reason for the load balancer to leave all
// instances.
func (c *control) learnRoutes() {
	if c.routed.Load() || !c.listed.Load() || !c.d.node.View().Ready() {
		return
	}
	if c.allAsked() || c.allReached(c.d.versions.current()) {
		c.routed.Store(true)
	}
}

func (c *control) allAsked() bool {
	for _, view := range c.engines {
		if view.asked.IsZero() && view.failures < startAttempts {
			return false
		}
	}
	return true
}

// allReached reports whether the engines known hold every layer of each model that a pipeline offers.
func (c *control) allReached(inForce *configuration.Configuration) bool {
	held := make(map[string][]layer.Range)
	for _, t := range *c.targets.Load() {
		if t.Kind == target.Engine && t.AcceptsRequests() && t.Layers.Valid() {
			held[t.Model] = append(held[t.Model], t.Layers)
		}
	}
	for _, w := range inForce.Workspaces {
		for _, p := range w.Pipelines {
			model, known := inForce.Model(p.Model)
			if known && !rollout.Covers(held[p.Model], model.Layers) {
				return false
			}
		}
	}
	return true
}
