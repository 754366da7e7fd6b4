package daemon

import (
	"context"

	"github.com/cuminroute/cuminroute/pkg/claim"
	"github.com/cuminroute/cuminroute/pkg/peer/service"
)

// claimAdapter adapts a claim.Claimer to the service package. The handle of a service.Claim is the claim.Claim.
type claimAdapter struct {
	claimer *claim.Claimer
}

// Claim implements service.Claimer.
func (c *claimAdapter) Claim(ctx context.Context, key service.ClaimKey) (service.Claim, error) {
	held, err := c.claimer.Claim(ctx, claim.Key{Workspace: key.Workspace, Key: key.Key, Content: key.Content})
	if err != nil {
		return service.Claim{}, err
	}
	return service.Claim{
		ID: held.ID, State: service.ClaimState(held.State), Handle: held,
		Response: service.Response{
			Status: held.Response.Status, ContentType: held.Response.ContentType, Body: held.Response.Body, Omitted: held.Response.Omitted,
		},
	}, nil
}

// Finish implements service.Claimer. It may be called again after an error.
func (c *claimAdapter) Finish(ctx context.Context, t service.Claim, response service.Response) error {
	held, ok := t.Handle.(claim.Claim)
	if !ok {
		return claim.ErrNotHeld
	}
	return c.claimer.Finish(ctx, held, claim.Response{Status: response.Status, ContentType: response.ContentType, Body: response.Body})
}

// Abandon implements service.Claimer.
func (c *claimAdapter) Abandon(ctx context.Context, t service.Claim) error {
	held, ok := t.Handle.(claim.Claim)
	if !ok {
		return claim.ErrNotHeld
	}
	return c.claimer.Abandon(ctx, held)
}
