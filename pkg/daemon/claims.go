package daemon

import (
	"context"

	"github.com/cuminroute/cuminroute/pkg/claim"
	"github.com/cuminroute/cuminroute/pkg/peer/service"
)

// claimAdapter adapts a claim.Claimer to the service package. It stores the claim.Claim as the Handle of the
// service.Claim.
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
func (c *claimAdapter) Finish(ctx context.Context, claimed service.Claim, response service.Response) error {
	held, ok := claimed.Handle.(claim.Claim)
	if !ok {
		return claim.ErrNotHeld
	}
	return c.claimer.Finish(ctx, held, claim.Response{Status: response.Status, ContentType: response.ContentType, Body: response.Body})
}

// Abandon implements service.Claimer.
func (c *claimAdapter) Abandon(ctx context.Context, claimed service.Claim) error {
	held, ok := claimed.Handle.(claim.Claim)
	if !ok {
		return claim.ErrNotHeld
	}
	return c.claimer.Abandon(ctx, held)
}
