package daemon

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/cuminroute/cuminroute/pkg/decision/admission"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/caller"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// costSmoothing is the weight of one request in the mean cost.
const costSmoothing = 0.02

// gate turns the refusals of admission into those that callers see, and keeps the mean cost of a
// request, by which the number of streams that the engines can hold becomes a capacity in tokens.
type gate struct {
	admission *admission.Controller
	mu        sync.Mutex
	mean      float64
}

// meanCost returns the mean cost of the requests so far, at least 1.
func (g *gate) meanCost() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.mean, 1)
}

func (g *gate) observe(cost float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.mean == 0 {
		g.mean = cost
	}
	g.mean += costSmoothing * (cost - g.mean)
}

// Acquire implements caller.AdmissionController.
func (g *gate) Acquire(ctx context.Context, t caller.AdmissionRequest) (release func(), err error) {
	g.observe(t.Cost)
	release, err = g.admission.Acquire(ctx, admission.Request{
		ID: t.ID, Workspace: t.Workspace, Weight: t.Weight, Priority: t.Priority, Cost: t.Cost, Deadline: t.Deadline,
	})
	var refused *admission.RefusedError
	if errors.As(err, &refused) {
		return nil, refusal.New(http.StatusServiceUnavailable, "overloaded", outcome.NotRun, "%s", refused.Decision.Reason).
			WithRetryAfter(refused.Decision.RetryAfter)
	}
	return release, err
}
