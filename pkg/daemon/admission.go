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

// costSmoothing is the weight of the newest request in the moving average of the request cost.
const costSmoothing = 0.02

// admissionController translates refusals of admission control into those that clients see. It also
// tracks the mean cost of a request in tokens, by which setCapacity converts the engines' stream capacity.
type admissionController struct {
	controller *admission.Controller
	mu         sync.Mutex
	mean       float64 // mean is the moving average of the request cost, 0 before the first request.
}

// meanCost returns the moving average of the request cost, at least 1.
func (a *admissionController) meanCost() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.mean, 1)
}

// observe updates the moving average with the cost of a new request.
func (a *admissionController) observe(cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mean == 0 {
		a.mean = cost
	}
	a.mean += costSmoothing * (cost - a.mean)
}

// Acquire implements caller.AdmissionController.
func (a *admissionController) Acquire(ctx context.Context, r caller.AdmissionRequest) (release func(), err error) {
	a.observe(r.Cost)
	release, err = a.controller.Acquire(ctx, admission.Request{
		ID: r.ID, Workspace: r.Workspace, Weight: r.Weight, Priority: r.Priority, Cost: r.Cost, Deadline: r.Deadline,
	})
	var refused *admission.RefusedError
	if errors.As(err, &refused) {
		return nil, refusal.New(http.StatusServiceUnavailable, "overloaded", outcome.NotRun, "%s", refused.Decision.Reason).
			WithRetryAfter(refused.Decision.RetryAfter)
	}
	return release, err
}
