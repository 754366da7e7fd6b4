package daemon

import (
	"context"
	"errors"
	"net/http"

	"github.com/cuminroute/cuminroute/pkg/decision/admission"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/caller"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// gate turns the refusals of admission into those that callers see.
type gate struct {
	admission *admission.Gate
}

// Enter implements caller.Gate.
func (g *gate) Enter(ctx context.Context, t caller.Ticket) (release func(), err error) {
	release, err = g.admission.Enter(ctx, admission.Ticket{
		ID: t.ID, Workspace: t.Workspace, Weight: t.Weight, Priority: t.Priority, Cost: t.Cost, Deadline: t.Deadline,
	})
	var refused *admission.RefusedError
	if errors.As(err, &refused) {
		return nil, refusal.New(http.StatusServiceUnavailable, "overloaded", outcome.NotRun, "%s", refused.Decision.Reason).
			After(refused.Decision.RetryAfter)
	}
	return release, err
}
